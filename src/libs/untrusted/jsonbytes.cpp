#include "untrusted/jsonbytes.h"

#include <algorithm>
#include <cstdint>
#include <exception>
#include <optional>
#include <utility>
#include <vector>

namespace Untrusted {

namespace {

template <typename Value>
Value discarded()
{
    return Value(Value::value_t::discarded);
}

/// Returns where the comment at \a at ends; \a at if there is none.
std::size_t endOfComment(std::string_view text, std::size_t at)
{
    using namespace std::string_view_literals;
    const std::string_view rest = text.substr(at);
    std::size_t end = 0;
    if (rest.starts_with("//"))
        end = std::min(rest.find_first_of("\n\r\0"sv), rest.size());
    else if (rest.starts_with("/*"))
        end = std::min(rest.find("*/", 2), rest.size() - 2) + 2;
    return at + end;
}

/// Returns where the string at \a at ends, whose first byte is a quote.
std::size_t endOfString(std::string_view text, std::size_t at)
{
    for (++at; at < text.size() && text[at] != '"'; ++at) {
        if (text[at] == '\\')
            ++at;
    }
    return at + 1;
}

/// Counts levels and elements without parsing. A text that is no JSON may be within the limits.
bool isTextWithin(std::string_view text, const JsonLimits &limits, bool hasComments)
{
    if (text.size() > limits.bytes)
        return false;
    std::size_t levels = 0;
    std::size_t elements = 1;
    std::size_t at = 0;
    while (at < text.size()) {
        const char c = text[at];
        if (c == '"') {
            at = endOfString(text, at);
            continue;
        }
        if (const std::size_t end = hasComments ? endOfComment(text, at) : at; end != at) {
            at = end;
            continue;
        }
        ++at;
        if (c == '[' || c == '{') {
            ++levels;
            ++elements;
        } else if (c == ',') {
            ++elements;
        } else if ((c == ']' || c == '}') && levels > 0) {
            --levels;
        }
        if (levels > limits.levels || elements > limits.elements)
            return false;
    }
    return true;
}

/// Reads the heads of CBOR items one after the other and follows their levels without recursion.
class CborScanner
{
public:
    CborScanner(std::string_view bytes, const JsonLimits &limits)
        : m_rest(bytes)
        , m_limits(limits)
    {}

    /// Whether the bytes are one item within the limits. What a simple value means, and whether
    /// names are texts, is not looked at.
    bool isOneItem()
    {
        if (m_rest.size() > m_limits.bytes)
            return false;
        m_left = {1};
        while (!m_left.empty()) {
            if (m_left.back() == 0) {
                m_left.pop_back();
                continue;
            }
            --m_left.back();
            if (!takeItem())
                return false;
        }
        return m_rest.empty();
    }

private:
    enum Major : unsigned { Unsigned, Negative, Bytes, Text, Array, Map, Tag, Simple };

    bool takeItem()
    {
        if (m_rest.empty() || ++m_elements > m_limits.elements)
            return false;
        const auto head = static_cast<std::uint8_t>(m_rest.front());
        m_rest.remove_prefix(1);
        const std::optional<std::uint64_t> number = takeNumber(head & 31U);
        if (!number)
            return false;
        switch (static_cast<Major>(head >> 5U)) {
        case Unsigned:
        case Negative:
        case Simple:
            return true;
        case Bytes:
        case Text:
            if (*number > m_rest.size())
                return false;
            m_rest.remove_prefix(*number);
            return true;
        case Array:
            return enter(*number, 1);
        case Map:
            return enter(*number, 2);
        case Tag:
            break;
        }
        return false;
    }

    /// Returns the number that belongs to a head; empty if it is cut off or indefinite.
    std::optional<std::uint64_t> takeNumber(unsigned info)
    {
        constexpr unsigned oneByte = 24;
        constexpr unsigned eightBytes = 27;
        if (info < oneByte)
            return info;
        if (info > eightBytes)
            return std::nullopt;
        const std::size_t size = std::size_t(1) << (info - oneByte);
        if (m_rest.size() < size)
            return std::nullopt;
        std::uint64_t number = 0;
        for (const char c : m_rest.substr(0, size))
            number = (number << 8U) | static_cast<std::uint8_t>(c);
        m_rest.remove_prefix(size);
        return number;
    }

    /// Begins an array or a map of \a count members. Each item takes at least a byte.
    bool enter(std::uint64_t count, std::size_t itemsOfMember)
    {
        if (count > m_rest.size() / itemsOfMember || m_left.size() > m_limits.levels)
            return false;
        m_left.push_back(count * itemsOfMember);
        return true;
    }

    std::string_view m_rest;
    const JsonLimits &m_limits;
    /// Items that are still to come at each level.
    std::vector<std::uint64_t> m_left;
    std::size_t m_elements = 0;
};

/// Returns what \a read returns. The library throws in places even if exceptions are disabled, and
/// memory may end.
template <typename Value, typename Read>
Value withoutException(Read read)
{
    try {
        return read();
    } catch (const std::exception &) {
        return discarded<Value>();
    }
}

template <typename Value>
Value readText(std::string_view text, const JsonLimits &limits)
{
    if (!isTextWithin(text, limits, false))
        return discarded<Value>();
    return withoutException<Value>([&] { return Value::parse(text, nullptr, false); });
}

} // namespace

Json readJson(std::string_view text, const JsonLimits &limits)
{
    return readText<Json>(text, limits);
}

OrderedJson readOrderedJson(std::string_view text, const JsonLimits &limits)
{
    return readText<OrderedJson>(text, limits);
}

Base::Result<Json> readCommentedJson(std::string_view text, const Json::parser_callback_t &callback,
                                     const JsonLimits &limits)
{
    using boost::leaf::new_error;
    if (!isTextWithin(text, limits, true))
        return new_error(OutsideLimits());
    // The library reports the position of a syntax error only with its exception.
    try {
        return Json::parse(text, callback, true, true);
    } catch (const Json::parse_error &ec) {
        return new_error(JsonSyntaxError{ec.byte});
    } catch (const Json::exception &) {
        return new_error(NumberOutOfRange());
    } catch (const std::exception &) {
        return new_error(OutsideLimits());
    }
}

Json readCbor(std::string_view bytes, const JsonLimits &limits)
{
    if (!CborScanner(bytes, limits).isOneItem())
        return discarded<Json>();
    return withoutException<Json>(
        [&] { return Json::from_cbor(bytes.begin(), bytes.end(), true, false); });
}

} // namespace Untrusted
