#pragma once

#include "base/ids.h"
#include "node/event.h"

#include <cstdint>

namespace Node {

/// The pool whose servers can run the request.
Base::PoolId poolOf(const CallerRequest &asked);
/// Rough cost in weighed tokens, from the hints that came with the request.
Base::ServiceUnits expectedCost(const CallerRequest &asked);
/// Hash of all that makes two calls with one idempotency key the same call.
std::uint64_t contentHash(const CallerRequest &asked);

} // namespace Node
