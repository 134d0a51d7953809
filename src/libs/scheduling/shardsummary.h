#pragma once

#include "base/time.h"

#include <cstddef>
#include <cstdint>

namespace Scheduling {

/// What the last heartbeat of a home said of its pool shard. It is up to one heartbeat
/// interval old.
struct ShardSummary
{
    std::uint32_t shard = 0;
    std::size_t waiting = 0;
    std::size_t freePermits = 0;
    /// Permits given back a second when all are in use; 0 when not known.
    double drainRate = 0;
    /// When the summary arrived here.
    Base::TimePoint receivedAt;
};

} // namespace Scheduling
