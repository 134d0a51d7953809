#pragma once

#include "base/time.h"

#include <cstddef>
#include <cstdint>

namespace Scheduling {

/// State of a pool shard as reported by the last heartbeat of its home, the router that queues the
/// shard's work and grants its permits. The state is up to one heartbeat interval old.
struct ShardSummary
{
    std::uint32_t shard = 0;
    std::size_t waiting = 0;
    std::size_t freePermits = 0;
    /// Permits returned per second while all are in use; 0 if unknown.
    double drainRate = 0;
    /// When this host received the summary.
    Base::TimePoint receivedAt;
};

} // namespace Scheduling
