#pragma once

#include "node/callersink.h"
#include "node/peermessage.h"

#include <string>

namespace Node {

/// Returns a failure of a request whose work did not run.
Failure makeFailure(FailureType type, std::string message);
/// Returns the failure that a caller gets when the home refuses its permit request.
Failure makeFailure(const PermitRefusal &refusal);

} // namespace Node
