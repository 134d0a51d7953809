#pragma once

#include "base/result.h"
#include "daemon/httprequest.h"
#include "node/event.h"

#include <cstddef>
#include <string>
#include <variant>

namespace Daemon {

/// Pages that the process serves without the node.
enum class LocalPage { Health, Readiness, Metrics };

/// What a request asks for: a page of this process, or an event for the node. The caller of the
/// event is not set yet.
using ParsedRequest = std::variant<LocalPage, Node::Event>;

/// Why a request is refused before it reaches the node.
enum class RequestFault {
    UnknownPath,
    WrongMethod,
    TooLarge,
    MalformedBody,
    MissingModel,
    MalformedHeader,
    MalformedDeadline,
    MissingIdempotencyKey,
    MissingVersion, ///< A class target is to be changed without If-Match.
    MalformedTarget,
};

/// The error of parseRequest().
struct BadRequest
{
    RequestFault fault = RequestFault::UnknownPath;
};

/// Returns the HTTP status of a fault.
int statusOf(RequestFault fault);
/// Returns the type of a fault in the error body.
const char *typeName(RequestFault fault);
/// Returns the message of a fault in the error body.
const char *messageOf(RequestFault fault);

/// Parses the request of a caller or an operator. Bodies may have at most \a maxBodyBytes. Fails
/// with BadRequest; safe for any input.
Base::Result<ParsedRequest> parseRequest(const HttpRequest &request, std::size_t maxBodyBytes);

} // namespace Daemon
