#pragma once

#include "node/callerport.h"
#include "node/peermessage.h"

#include <string>

namespace Node {

/// A failure after which nothing ran.
Failure makeFailure(FailureType type, std::string message);
/// What the caller is told when its home turned it away.
Failure makeFailure(const PermitRefusal &refusal);

} // namespace Node
