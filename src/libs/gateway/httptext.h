#pragma once

#include "gateway/headernames.h"

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Gateway {

namespace Http = boost::beast::http;
using Request = Http::request<Http::string_body>;
using RequestHead = Http::request_header<>;
using ResponseHead = Http::response_header<>;

/// Fields that are added to a caller's request, or replaced in it, when it is sent to a server.
struct ForwardedFields
{
    std::int64_t timeLeftMs = 0;
    std::string customer;
    std::string expectedServer;
    /// "IP:PORT" of the server to fetch the beginning of the prompt from; empty if the server
    /// processes the whole prompt itself.
    std::string fetchFrom;
    /// Replaces the caller's value; if empty, the caller's value is kept.
    std::string lastEventId;
    /// Whether the Authorization field, which holds the caller's key, is removed.
    bool dropsAuthorization = true;
};

/// Serializes the head of \a request for a server. Method and target are unchanged, hop-by-hop
/// fields are removed, and the field with the length of the body, \a bodyBytes, is recomputed,
/// which prevents request smuggling.
std::string forwardedHead(const Request &request, std::size_t bodyBytes,
                          const ForwardedFields &added, const HeaderNames &names);

/// How the end of a body is marked.
enum class BodyFraming { Length, Chunked };

/// Serializes the head of an answer to a caller from a server's \a head, without hop-by-hop fields.
/// \a length is ignored for a chunked body. \a closes adds "Connection: close".
std::string answerHeadText(const ResponseHead &head, BodyFraming framing, std::size_t length,
                           bool closes);

/// Encodes \a data as one chunk of a chunked body.
std::string chunkText(std::string_view data);
inline constexpr std::string_view lastChunkText = "0\r\n\r\n";

/// Value of the field \a name; empty if there is no such field or \a name is empty.
std::string_view field(const Http::fields &fields, const std::string &name);
/// How often the field \a name is given; zero if \a name is empty.
std::size_t countOf(const Http::fields &fields, const std::string &name);
/// Parses an unsigned whole number; empty if \a text is anything else.
std::optional<std::uint64_t> parseNumber(std::string_view text, int base = 10);

} // namespace Gateway
