#pragma once

#include "node/callersink.h"

#include <string>

#include <ulfius.h>

namespace Daemon {

/// Sets a complete JSON response.
void respondJson(_u_response &response, int status, const std::string &body);
/// Sets a complete response; an empty \a contentType sets no Content-Type.
void respondText(_u_response &response, int status, const std::string &contentType,
                 const std::string &body);
/// Sets the error response of \a failure, with X-Request-Id and, where it applies, Retry-After.
void respondFailure(_u_response &response, const Node::Failure &failure);
/// Does the same with a status and a type that only the HTTP server uses.
void respondFailure(_u_response &response, int status, const std::string &type,
                    const Node::Failure &failure);
void respondEntryHosts(_u_response &response, const Node::EntryHostList &list);
void respondTargets(_u_response &response, const Node::TargetList &list);
void respondStatus(_u_response &response, const Node::NodeStatus &status);
void setHeader(_u_response &response, const char *name, const std::string &value);

} // namespace Daemon
