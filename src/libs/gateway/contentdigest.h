#pragma once

#include "gateway/httptext.h"

#include <cstdint>
#include <string_view>

namespace Gateway {

/// Returns a digest of what \a message with \a body asks a server to do. It is the same for all
/// tries of one request by its caller, also when a stream is resumed, and on all hosts. It says
/// nothing about who asks.
std::uint64_t contentDigest(const Request &message, std::string_view body,
                            const HeaderNames &names);

} // namespace Gateway
