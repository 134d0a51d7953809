#include "gateway/httptext.h"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>

#include <algorithm>
#include <array>
#include <charconv>

namespace Gateway {

namespace {

using boost::beast::iequals;

/// Hop-by-hop fields (RFC 9110, 7.6.1), and the field with the length of the body, which is
/// recomputed.
constexpr std::array connectionFields = {
    Http::field::connection,
    Http::field::keep_alive,
    Http::field::proxy_connection,
    Http::field::te,
    Http::field::trailer,
    Http::field::transfer_encoding,
    Http::field::upgrade,
    Http::field::content_length,
    Http::field::proxy_authenticate,
    Http::field::proxy_authorization,
    Http::field::expect,
};

bool isConnectionField(Http::field name)
{
    return std::find(connectionFields.begin(), connectionFields.end(), name)
           != connectionFields.end();
}

/// Whether the sender lists \a name in its Connection field, that is, as a hop-by-hop field.
bool isListedInConnection(const Http::fields &fields, std::string_view name)
{
    const auto connection = fields.find(Http::field::connection);
    if (connection == fields.end() || iequals(name, "host"))
        return false;
    return Http::token_list(connection->value()).exists({name.data(), name.size()});
}

void append(std::string &text, std::string_view name, std::string_view value)
{
    text.append(name).append(": ").append(value).append("\r\n");
}

bool isAnyOf(std::string_view name, const std::vector<std::string> &names)
{
    return std::any_of(names.begin(), names.end(),
                       [name](const std::string &it) { return iequals(name, it); });
}

/// Whether the gateway replaces or removes the field on the way to a server.
bool isReplacedOrDropped(std::string_view name, const ForwardedFields &added,
                         const HeaderNames &names)
{
    return iequals(name, names.timeLeft) || iequals(name, names.customer)
           || iequals(name, names.expectedServer) || isAnyOf(name, names.reserved)
           || (!added.lastEventId.empty() && iequals(name, names.lastEventId))
           || (added.dropsAuthorization && iequals(name, "authorization"));
}

/// Converts Beast's own string_view type.
std::string_view viewOf(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

} // namespace

std::string forwardedHead(const Request &request, std::size_t bodyBytes,
                          const ForwardedFields &added, const HeaderNames &names)
{
    std::string text;
    text.reserve(512);
    text.append(viewOf(request.method_string())).append(" ");
    text.append(viewOf(request.target())).append(" HTTP/1.1\r\n");
    for (const auto &it : request) {
        const std::string_view name = viewOf(it.name_string());
        if (isConnectionField(it.name()) || isReplacedOrDropped(name, added, names)
            || isListedInConnection(request, name))
            continue;
        append(text, name, viewOf(it.value()));
    }
    append(text, names.timeLeft, std::to_string(added.timeLeftMs));
    append(text, names.expectedServer, added.expectedServer);
    if (!added.fetchFrom.empty() && !names.fetchFrom.empty())
        append(text, names.fetchFrom, added.fetchFrom);
    if (!added.customer.empty())
        append(text, names.customer, added.customer);
    if (!added.lastEventId.empty())
        append(text, names.lastEventId, added.lastEventId);
    const bool hasBody = bodyBytes > 0 || request.count(Http::field::content_length) > 0
                         || request.count(Http::field::transfer_encoding) > 0;
    if (hasBody)
        append(text, "Content-Length", std::to_string(bodyBytes));
    return text.append("\r\n");
}

std::string answerHeadText(const ResponseHead &head, BodyFraming framing, std::size_t length,
                           bool closes)
{
    std::string text = "HTTP/1.1 ";
    text.reserve(512);
    text.append(std::to_string(head.result_int())).append(" ");
    text.append(viewOf(head.reason())).append("\r\n");
    for (const auto &it : head) {
        const std::string_view name = viewOf(it.name_string());
        if (isConnectionField(it.name()) || isListedInConnection(head, name))
            continue;
        append(text, name, viewOf(it.value()));
    }
    const bool hasNoBody = head.result_int() == 204 || head.result_int() == 304;
    if (framing == BodyFraming::Chunked)
        append(text, "Transfer-Encoding", "chunked");
    else if (!hasNoBody)
        append(text, "Content-Length", std::to_string(length));
    if (closes)
        append(text, "Connection", "close");
    return text.append("\r\n");
}

std::string chunkText(std::string_view data)
{
    std::array<char, 20> size{};
    const auto [end, ec] = std::to_chars(size.data(), size.data() + size.size(), data.size(), 16);
    std::string text(size.data(), end);
    text.reserve(text.size() + data.size() + 4);
    return text.append("\r\n").append(data).append("\r\n");
}

std::string_view field(const Http::fields &fields, const std::string &name)
{
    if (name.empty())
        return {};
    const auto it = fields.find(name);
    return it == fields.end() ? std::string_view() : viewOf(it->value());
}

std::size_t countOf(const Http::fields &fields, const std::string &name)
{
    return name.empty() ? 0 : fields.count(name);
}

std::optional<std::uint64_t> parseNumber(std::string_view text, int base)
{
    std::uint64_t number = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), number, base);
    if (ec != std::errc() || end != text.data() + text.size() || text.empty())
        return std::nullopt;
    return number;
}

} // namespace Gateway
