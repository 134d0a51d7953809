#pragma once

#include "node/callerport.h"

#include <string>

#include <ulfius.h>

namespace Daemon {

/// Fills in a whole JSON answer.
void respondJson(_u_response &response, int status, const std::string &body);
void respondText(_u_response &response, int status, const std::string &contentType,
                 const std::string &body);
/// Fills in the error response of \a failure, with X-Request-Id and Retry-After.
void respondFailure(_u_response &response, const Node::Failure &failure);
/// As above with a status and a type that only the HTTP front knows.
void respondFailure(_u_response &response, int status, const std::string &type,
                    const Node::Failure &failure);
void respondEntryHosts(_u_response &response, const Node::EntryHostList &list);
void respondTargets(_u_response &response, const Node::TargetList &list);
void respondStatus(_u_response &response, const Node::NodeStatus &status);
void setHeader(_u_response &response, const char *name, const std::string &value);

} // namespace Daemon
