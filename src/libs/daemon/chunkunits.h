#pragma once

#include "base/ids.h"

#include <string>

namespace Daemon {

/// Weighed tokens that one chunk of a model's stream adds: its generated tokens, and in the
/// chunk with the usage those of the prompt. 0 for a chunk that cannot be read.
Base::ServiceUnits chunkUnits(const std::string &chunk);

} // namespace Daemon
