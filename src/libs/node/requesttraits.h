#pragma once

#include "base/ids.h"
#include "node/event.h"

#include <cstdint>

namespace Node {

/// Returns the pool whose backend servers can run the request.
Base::PoolId poolOf(const CallerRequest &callerRequest);
/// Returns the estimated cost in weighted tokens, from the number of prompt tokens and the caller's
/// limit on generated tokens.
Base::ServiceUnits expectedCost(const CallerRequest &callerRequest);
/// Returns a hash of target, path and body. Two calls with one idempotency key count as the same
/// call only if these hashes are equal.
std::uint64_t contentHash(const CallerRequest &callerRequest);

} // namespace Node
