#pragma once

#include "gateway/headernames.h"

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Gateway {

namespace Http = boost::beast::http;
using Request = Http::request<Http::string_body>;
using ResponseHead = Http::response_header<>;

/// What is added to a caller's request when it goes to a server.
struct ForwardedFields
{
    std::int64_t timeLeftMs = 0;
    std::string customer;
    std::string expectedServer;
    /// "IP:PORT"; empty if the server reads the whole prompt itself.
    std::string fetchFrom;
    /// Replaces the caller's own; empty leaves it as it is.
    std::string lastEventId;
    /// Whether the caller's key must not reach the server.
    bool dropsAuthorization = true;
};

/// The text of \a request as it is sent to a server: method, target and body unchanged, without
/// fields that concern one connection only, and with the length of the body told anew, so that no
/// second request can hide in it.
std::string forwardedText(const Request &request, const ForwardedFields &added,
                          const HeaderNames &names);

enum class BodyFraming { Length, Chunked };

/// Head of an answer to a caller, made of a server's \a head. \a length is left out where chunked.
std::string answerHeadText(const ResponseHead &head, BodyFraming framing, std::size_t length,
                           bool closes);

/// One chunk of a chunked body.
std::string chunkText(std::string_view data);
inline constexpr std::string_view lastChunkText = "0\r\n\r\n";

std::string_view field(const Http::fields &fields, const std::string &name);
/// A whole number without sign; empty for any other text.
std::optional<std::uint64_t> parseNumber(std::string_view text, int base = 10);

} // namespace Gateway
