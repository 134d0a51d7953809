#include "daemon/requestparser.h"

#include "daemon/chatbody.h"
#include "daemon/daemonconstants.h"
#include "daemon/keydigest.h"
#include "untrusted/jsonbytes.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>

namespace Daemon {

namespace {

using Base::Result;
using Json = nlohmann::json;

constexpr std::string_view chatPath = "/v1/chat/completions";
constexpr std::string_view servicesPath = "/v1/services/";
constexpr std::string_view targetsPath = "/v1/targets";
constexpr std::string_view bearerPrefix = "Bearer ";
/// Longest accepted deadline or start target in milliseconds, 30 days. Larger values would overflow
/// when added to a point in time.
constexpr std::uint64_t maxMilliseconds = 1000ULL * 3600 * 24 * 30;

boost::leaf::error_id badRequest(RequestFault fault)
{
    return boost::leaf::new_error(BadRequest{fault});
}

std::optional<std::uint64_t> parseNumber(std::string_view text)
{
    std::uint64_t number = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (ec != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return number;
}

/// Whether a header value can be forwarded: printable ASCII of limited length.
///
/// Prevents header injection: a value with a line break would add headers of the caller's choice to
/// the router's request at the next hop.
bool isPrintable(std::string_view value)
{
    return value.size() <= maxHeaderValueBytes
           && std::all_of(value.begin(), value.end(),
                          [](char it) { return it >= ' ' && it <= '~'; });
}

bool isPrintablePath(std::string_view path)
{
    return std::all_of(path.begin(), path.end(), [](char it) { return it > ' ' && it <= '~'; });
}

bool areFieldsPrintable(const RequestFields &fields)
{
    return isPrintable(fields.authorization) && isPrintable(fields.contentType)
           && isPrintable(fields.workClass) && isPrintable(fields.repeatable)
           && isPrintable(fields.idempotencyKey) && isPrintable(fields.deadline)
           && isPrintable(fields.traceparent) && isPrintable(fields.ifMatch);
}

/// Whether the value consists of version, trace id, parent id and flags in lower-case hex. Other
/// values are not forwarded.
bool isTraceparent(std::string_view value)
{
    constexpr std::string_view shape = "00-tttttttttttttttttttttttttttttttt-pppppppppppppppp-ff";
    if (value.size() != shape.size())
        return false;
    for (std::size_t i = 0; i < shape.size(); ++i) {
        const char it = value[i];
        const bool isHex = (it >= '0' && it <= '9') || (it >= 'a' && it <= 'f');
        if (shape[i] == '-' ? it != '-' : !isHex)
            return false;
    }
    return true;
}

Result<Node::CallerRequest> parseFields(const RequestFields &fields)
{
    Node::CallerRequest asked;
    asked.contentType = fields.contentType;
    asked.workClass = Base::ClassId(fields.workClass);
    asked.idempotencyKey = fields.idempotencyKey;
    if (fields.authorization.rfind(bearerPrefix, 0) == 0)
        asked.keyDigest = keyDigest(fields.authorization.substr(bearerPrefix.size()));
    if (isTraceparent(fields.traceparent))
        asked.traceparent = fields.traceparent;
    const std::string &repeatable = fields.repeatable;
    if (!repeatable.empty() && repeatable != "no" && repeatable != "yes")
        return badRequest(RequestFault::MalformedHeader);
    asked.isRepeatable = repeatable != "no";
    if (!asked.isRepeatable && asked.idempotencyKey.empty())
        return badRequest(RequestFault::MissingIdempotencyKey);
    if (fields.deadline.empty())
        return asked;
    const std::optional<std::uint64_t> deadline = parseNumber(fields.deadline);
    if (!deadline || *deadline == 0 || *deadline > maxMilliseconds)
        return badRequest(RequestFault::MalformedDeadline);
    asked.deadline = Base::Milliseconds(*deadline);
    return asked;
}

Result<ParsedRequest> parseChat(const HttpRequest &request)
{
    BOOST_LEAF_AUTO(asked, parseFields(request.fields));
    BOOST_LEAF_AUTO(chat, parseChatBody(request.body));
    asked.kind = Node::WorkKind::ChatCompletion;
    asked.target = chat.model;
    asked.path = chatPath;
    asked.contentType = "application/json";
    asked.body = std::move(chat.forwardedBody);
    asked.isStreaming = chat.isStreaming;
    asked.promptTokens = chat.promptTokens;
    asked.maxTokens = chat.maxTokens;
    asked.prefix = chat.prefix;
    return ParsedRequest(Node::Event(std::move(asked)));
}

Result<ParsedRequest> parseService(const HttpRequest &request)
{
    const std::string rest = request.target.substr(servicesPath.size());
    const std::size_t slash = rest.find('/');
    if (slash == 0 || slash == std::string::npos)
        return badRequest(RequestFault::UnknownPath);
    BOOST_LEAF_AUTO(asked, parseFields(request.fields));
    asked.kind = Node::WorkKind::ServiceCall;
    asked.target = rest.substr(0, slash);
    asked.path = rest.substr(slash);
    asked.body = request.body;
    asked.promptTokens = request.body.size() / bytesPerToken;
    return ParsedRequest(Node::Event(std::move(asked)));
}

Result<ParsedRequest> parseTargetWrite(const HttpRequest &request, const std::string &name)
{
    std::string etag = request.fields.ifMatch;
    if (etag.empty())
        return badRequest(RequestFault::MissingVersion);
    if (etag.size() >= 2 && etag.front() == '"' && etag.back() == '"')
        etag = etag.substr(1, etag.size() - 2);
    const std::optional<std::uint64_t> version = parseNumber(etag);
    if (!version || name.empty())
        return badRequest(RequestFault::MalformedTarget);
    const Json json = Untrusted::readJson(request.body);
    if (!json.is_object())
        return badRequest(RequestFault::MalformedBody);
    for (const auto &[key, value] : json.items()) {
        if (key != "startWithinMs" && key != "claim")
            return badRequest(RequestFault::MalformedTarget);
    }
    const auto startWithin = json.find("startWithinMs");
    const bool hasValidStart = startWithin != json.end() && startWithin->is_number_unsigned()
                               && startWithin->get<std::uint64_t>() > 0
                               && startWithin->get<std::uint64_t>() <= maxMilliseconds;
    if (!hasValidStart)
        return badRequest(RequestFault::MalformedTarget);
    Node::TargetWriteRequested asked;
    asked.seen = *version;
    asked.target.name = Base::ClassId(name);
    asked.target.startWithin = Base::Milliseconds(startWithin->get<std::uint64_t>());
    const auto claim = json.find("claim");
    if (claim != json.end() && !claim->is_null()) {
        const bool isShare =
            claim->is_number() && claim->get<double>() > 0 && claim->get<double>() <= 1;
        if (!isShare)
            return badRequest(RequestFault::MalformedTarget);
        asked.target.claim = claim->get<double>();
    }
    return ParsedRequest(Node::Event(asked));
}

Result<ParsedRequest> expectMethod(const HttpRequest &request, const char *method,
                                   ParsedRequest parsed)
{
    if (request.method != method)
        return badRequest(RequestFault::WrongMethod);
    return parsed;
}

Result<ParsedRequest> parseByPath(const HttpRequest &request)
{
    const std::string path = pathOf(request.target);
    const bool isPost = request.method == "POST";
    if (path == chatPath)
        return isPost ? parseChat(request) : badRequest(RequestFault::WrongMethod);
    if (path.rfind(servicesPath, 0) == 0)
        return isPost ? parseService(request) : badRequest(RequestFault::WrongMethod);
    if (path == "/v1/entry-hosts") {
        const Base::ZoneId zone(queryValue(request.target, "zone"));
        return expectMethod(request, "GET", Node::Event(Node::EntryHostsRequested{0, zone}));
    }
    if (path == targetsPath)
        return expectMethod(request, "GET", Node::Event(Node::TargetsRequested{}));
    if (path.rfind(std::string(targetsPath) + '/', 0) == 0) {
        if (request.method != "PUT")
            return badRequest(RequestFault::WrongMethod);
        return parseTargetWrite(request, path.substr(targetsPath.size() + 1));
    }
    if (path == "/v1/status")
        return expectMethod(request, "GET", Node::Event(Node::StatusRequested{}));
    if (path == "/healthz")
        return expectMethod(request, "GET", LocalPage::Health);
    if (path == "/readyz")
        return expectMethod(request, "GET", LocalPage::Readiness);
    if (path == "/metrics")
        return expectMethod(request, "GET", LocalPage::Metrics);
    return badRequest(RequestFault::UnknownPath);
}

} // namespace

int statusOf(RequestFault fault)
{
    switch (fault) {
    case RequestFault::UnknownPath:
        return 404;
    case RequestFault::WrongMethod:
        return 405;
    case RequestFault::TooLarge:
        return 413;
    case RequestFault::MissingVersion:
        return 428;
    default:
        return 400;
    }
}

const char *typeName(RequestFault fault)
{
    return fault == RequestFault::TooLarge ? "too_large" : "bad_request";
}

const char *messageOf(RequestFault fault)
{
    switch (fault) {
    case RequestFault::UnknownPath:
        return "there is nothing at this path";
    case RequestFault::WrongMethod:
        return "the path does not take this method";
    case RequestFault::TooLarge:
        return "the body is larger than this host takes";
    case RequestFault::MalformedBody:
        return "the body is not the JSON expected here";
    case RequestFault::MissingModel:
        return "the body names no model";
    case RequestFault::MalformedHeader:
        return "a header has a value that is not allowed";
    case RequestFault::MalformedDeadline:
        return "X-Lagoonmast-Deadline-Ms is not a number of milliseconds";
    case RequestFault::MissingIdempotencyKey:
        return "work that is not repeatable needs an Idempotency-Key";
    case RequestFault::MissingVersion:
        return "a change of a target needs If-Match";
    case RequestFault::MalformedTarget:
        return "the target, its name or its version is malformed";
    }
    return "";
}

Result<ParsedRequest> parseRequest(const HttpRequest &request, std::size_t maxBodyBytes)
{
    if (request.body.size() > maxBodyBytes)
        return badRequest(RequestFault::TooLarge);
    if (!isPrintablePath(request.target) || !areFieldsPrintable(request.fields))
        return badRequest(RequestFault::MalformedHeader);
    return parseByPath(request);
}

} // namespace Daemon
