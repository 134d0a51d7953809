#pragma once

#include "node/callersink.h"

#include <string>

namespace Daemon {

/// Returns the type's name in error bodies, such as "overloaded".
const char *typeName(Node::FailureType type);
/// Returns the HTTP status that belongs to the type.
int statusOf(Node::FailureType type);
/// Returns the JSON body of a response that reports a failure.
std::string failureBody(const Node::Failure &failure);
/// Does the same with a type that only the HTTP server uses, such as "too_large".
std::string failureBody(const std::string &type, const Node::Failure &failure);
/// Returns the value of a Retry-After header: whole seconds, rounded up.
std::string retryAfterSeconds(Base::Milliseconds retryAfter);

} // namespace Daemon
