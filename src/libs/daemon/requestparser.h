#pragma once

#include "base/result.h"
#include "daemon/httprequest.h"
#include "node/event.h"

#include <cstddef>
#include <string>
#include <variant>

namespace Daemon {

/// What the process answers by itself.
enum class LocalPage { Health, Readiness, Metrics };

/// What a request asks for: a page of this process, or an event for the node, whose caller is
/// not filled in yet.
using ParsedRequest = std::variant<LocalPage, Node::Event>;

/// Why a request is turned away before the node sees it.
enum class RequestFault {
    UnknownPath,
    WrongMethod,
    TooLarge,
    MalformedBody,
    MissingModel,
    MalformedHeader,
    MalformedDeadline,
    MissingIdempotencyKey,
    MissingVersion, ///< A change of a target without If-Match.
    MalformedTarget,
};

/// Error of parseRequest().
struct BadRequest
{
    RequestFault fault = RequestFault::UnknownPath;
};

/// HTTP status of a fault.
int statusOf(RequestFault fault);
/// Its type towards callers.
const char *typeName(RequestFault fault);
const char *messageOf(RequestFault fault);

/// Reads a caller's or an operator's request. Fails with BadRequest; any content is safe.
Base::Result<ParsedRequest> parseRequest(const HttpRequest &request, std::size_t maxBodyBytes);

} // namespace Daemon
