#include "gateway/messageframing.h"

#include "untrusted/answerhead.h"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <string>

namespace Gateway {

namespace {

using boost::beast::iequals;

constexpr std::string_view chunkedCoding = "chunked";
constexpr unsigned firstVersionWithCodings = 11;

/// The fields that tell where a message ends.
struct FramingFields
{
    int codings = 0;
    int lengths = 0;
    int hosts = 0;
    std::string_view length;
};

std::string_view viewOf(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

FramingFields framingFields(const Http::fields &fields)
{
    FramingFields found;
    for (const auto &it : fields) {
        if (it.name() == Http::field::transfer_encoding) {
            ++found.codings;
        } else if (it.name() == Http::field::content_length) {
            ++found.lengths;
            found.length = viewOf(it.value());
        } else if (it.name() == Http::field::host) {
            ++found.hosts;
        }
    }
    return found;
}

bool isNumber(std::string_view text)
{
    return !text.empty()
           && std::ranges::all_of(text, [](char it) { return it >= '0' && it <= '9'; });
}

std::string_view trimmed(std::string_view text)
{
    constexpr std::string_view blanks = " \t";
    const std::size_t begin = std::min(text.find_first_not_of(blanks), text.size());
    const std::size_t end = text.find_last_not_of(blanks);
    return text.substr(begin, end == std::string_view::npos ? 0 : end + 1 - begin);
}

/// Whether the list of all codings has no empty element, and "chunked" as its last element only.
bool endsWithOnlyChunked(const Http::fields &fields)
{
    bool isChunkedLast = false;
    const auto [begin, end] = fields.equal_range(Http::field::transfer_encoding);
    for (auto it = begin; it != end; ++it) {
        std::string_view rest = viewOf(it->value());
        while (true) {
            const std::size_t comma = rest.find(',');
            const std::string_view coding = trimmed(rest.substr(0, comma));
            if (coding.empty() || isChunkedLast)
                return false;
            isChunkedLast = iequals(coding, chunkedCoding);
            if (comma == std::string_view::npos)
                break;
            rest.remove_prefix(comma + 1);
        }
    }
    return isChunkedLast;
}

Framing framingOf(const Http::fields &fields, const FramingFields &found, unsigned version)
{
    if (found.codings == 0) {
        const bool isClear = found.lengths == 0 || (found.lengths == 1 && isNumber(found.length));
        return isClear ? Framing::Clear : Framing::Malformed;
    }
    if (found.lengths > 0 || version < firstVersionWithCodings || !endsWithOnlyChunked(fields))
        return Framing::Malformed;
    const bool isChunkedAlone =
        found.codings == 1 && iequals(fields[Http::field::transfer_encoding], chunkedCoding);
    return isChunkedAlone ? Framing::Clear : Framing::UnknownCoding;
}

} // namespace

Framing requestFraming(const RequestHead &head)
{
    const FramingFields found = framingFields(head);
    return found.hosts > 1 ? Framing::Malformed : framingOf(head, found, head.version());
}

bool isAnswerHead(const ResponseHead &head)
{
    return Untrusted::isAnswerStatus(head.result_int())
           && framingOf(head, framingFields(head), head.version()) == Framing::Clear;
}

bool endsWithConnection(const ResponseHead &head)
{
    return head.count(Http::field::content_length) == 0
           && head.count(Http::field::transfer_encoding) == 0;
}

unsigned framingStatus(Framing framing)
{
    return framing == Framing::UnknownCoding ? 501 : 400;
}

bool hasFoldedLine(std::string_view lines)
{
    for (std::size_t at = lines.find('\n'); at < lines.size(); at = lines.find('\n', at + 1)) {
        const std::string_view next = lines.substr(at + 1, 1);
        if (next == " " || next == "\t")
            return true;
    }
    return false;
}

bool takeAbsoluteTarget(RequestHead &head)
{
    constexpr std::string_view scheme = "http://";
    const std::string_view target = viewOf(head.target());
    if (!iequals(target.substr(0, scheme.size()), scheme))
        return true;
    const std::string_view rest = target.substr(scheme.size());
    const std::size_t end = std::min(rest.find_first_of("/?"), rest.size());
    const std::string host(rest.substr(0, end));
    if (host.empty() || host.find('@') != std::string::npos)
        return false;
    const bool hasPath = rest.substr(end).starts_with('/');
    std::string path(hasPath ? "" : "/");
    path += rest.substr(end);
    head.target(path);
    head.set(Http::field::host, host);
    return true;
}

void checkChunkExtensions(std::uint64_t /*size*/, boost::beast::string_view extensions,
                          boost::system::error_code &ec)
{
    const bool isPrintable = std::ranges::all_of(
        extensions, [](unsigned char it) { return it == '\t' || (it >= ' ' && it != 0x7f); });
    if (!isPrintable)
        ec = Http::error::bad_chunk_extension;
}

} // namespace Gateway
