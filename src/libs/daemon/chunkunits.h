#pragma once

#include "base/ids.h"

#include <string>

namespace Daemon {

/// Returns the weighted tokens that one chunk of a model's stream accounts for: its generated
/// tokens, and in the chunk with the usage also the tokens of the prompt. Returns 0 for a chunk
/// that cannot be parsed.
Base::ServiceUnits chunkUnits(const std::string &chunk);

} // namespace Daemon
