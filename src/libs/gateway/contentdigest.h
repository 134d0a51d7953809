#pragma once

#include "gateway/httptext.h"

#include <cstdint>

namespace Gateway {

/// Returns a digest of what \a message asks a server to do. It is the same for all tries of one
/// request by its caller, also when a stream is resumed, and on all hosts. It says nothing about
/// who asks.
std::uint64_t contentDigest(const Request &message, const HeaderNames &names);

} // namespace Gateway
