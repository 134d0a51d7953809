#pragma once

#include "node/callerport.h"

#include <string>

namespace Daemon {

/// The type's name towards callers, as docs/PROTOCOLS.md lists it.
const char *typeName(Node::FailureType type);
/// The HTTP status that goes with the type.
int statusOf(Node::FailureType type);
/// The JSON body of a refusal or failure.
std::string failureBody(const Node::Failure &failure);
/// As above for a type that only the HTTP front knows, such as "too_large".
std::string failureBody(const std::string &type, const Node::Failure &failure);
/// Whole seconds for Retry-After, rounded up.
std::string retryAfterSeconds(Base::Milliseconds retryAfter);

} // namespace Daemon
