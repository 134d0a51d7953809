#pragma once

#include "node/callerport.h"
#include "node/peermessage.h"

#include <string>

namespace Node {

/// A failure after which nothing ran.
Failure failureOf(FailureType type, std::string message);
/// What the caller is told when its home turned it away.
Failure failureOf(const PermitRefusal &refusal);

} // namespace Node
