#include "tracing/traceparent.h"

#include <algorithm>
#include <charconv>
#include <optional>

namespace Tracing {

namespace {

// Layout of the header: "VV-TTTTTTTTTTTTTTTTTTTTTTTTTTTTTTTT-SSSSSSSSSSSSSSSS-FF"
constexpr std::size_t headerLength = 55;
constexpr std::size_t traceIdOffset = 3;
constexpr std::size_t spanIdOffset = 36;
constexpr std::size_t flagsOffset = 53;
constexpr std::size_t idDigits = 16;
constexpr std::size_t byteDigits = 2;
constexpr std::uint64_t invalidVersion = 0xFF;

/// Parses hexadecimal digits, which must be lower-case as the standard requires.
std::optional<std::uint64_t> readHex(std::string_view text)
{
    const auto isDigit = [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); };
    std::uint64_t number = 0;
    if (!std::all_of(text.begin(), text.end(), isDigit))
        return std::nullopt;
    std::from_chars(text.data(), text.data() + text.size(), number, 16);
    return number;
}

std::string hex(std::uint64_t number, std::size_t digits)
{
    char buf[idDigits];
    const auto [end, ec] = std::to_chars(buf, buf + sizeof buf, number, 16);
    std::string text(buf, end);
    text.insert(0, digits - text.size(), '0');
    return text;
}

} // namespace

Base::Result<TraceParent> TraceParent::parse(std::string_view text)
{
    const bool hasDashes = text.size() >= headerLength && text[traceIdOffset - 1] == '-'
                           && text[spanIdOffset - 1] == '-' && text[flagsOffset - 1] == '-';
    if (!hasDashes)
        return boost::leaf::new_error(MalformedTraceParent());
    const auto version = readHex(text.substr(0, byteDigits));
    const auto high = readHex(text.substr(traceIdOffset, idDigits));
    const auto low = readHex(text.substr(traceIdOffset + idDigits, idDigits));
    const auto span = readHex(text.substr(spanIdOffset, idDigits));
    const auto flags = readHex(text.substr(flagsOffset, byteDigits));
    if (!version || !high || !low || !span || !flags || *version == invalidVersion)
        return boost::leaf::new_error(MalformedTraceParent());
    const bool isLonger = text.size() > headerLength;
    const bool hasOtherFields = *version > 0 && isLonger && text[headerLength] == '-';
    const bool isZero = (*high == 0 && *low == 0) || *span == 0;
    if (isZero || (isLonger && !hasOtherFields))
        return boost::leaf::new_error(MalformedTraceParent());
    return TraceParent{*high, *low, *span, static_cast<std::uint8_t>(*flags)};
}

std::string toString(const TraceParent &parent)
{
    std::string text = "00-" + traceIdText(parent);
    text += '-';
    text += spanIdText(parent.spanId);
    text += '-';
    text += hex(parent.flags, byteDigits);
    return text;
}

std::string traceIdText(const TraceParent &parent)
{
    return hex(parent.traceIdHigh, idDigits) + hex(parent.traceIdLow, idDigits);
}

std::string spanIdText(std::uint64_t spanId)
{
    return hex(spanId, idDigits);
}

} // namespace Tracing
