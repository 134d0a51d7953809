#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <cstdint>
#include <optional>

namespace Scheduling {

/// A request that waits for a permit, as the home of its pool shard stores it. The home is the
/// router that queues the shard's work and grants its permits. The content of the request stays at
/// the entry host, which took it from the caller.
struct WaitingWork
{
    Base::RequestKey request;
    /// Number of the attempt at this request. A grant contains it, so that a late grant for an
    /// earlier attempt is recognised.
    std::uint32_t attempt = 0;
    Base::CustomerId customer;
    Base::ClassId workClass;
    /// When the caller's request arrived, on the clock of this process.
    Base::TimePoint arrivedAt;
    /// Start target: the time by which the answer must start to meet the target of the class.
    Base::TimePoint startBy;
    /// When the caller gives up; empty if it gave no deadline.
    std::optional<Base::TimePoint> deadline;
    /// Estimate of the cost before the work runs, in weighted tokens.
    Base::ServiceUnits expectedCost = 0;
    /// Hash of the beginning of the prompt; 0 if the work has none.
    std::uint64_t prefix = 0;
};

} // namespace Scheduling
