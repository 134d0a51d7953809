#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <cstdint>
#include <optional>

namespace Scheduling {

/// One request that waits for a permit, as its home router knows it. The request itself stays
/// at its entry host.
struct WaitingWork
{
    Base::RequestKey request;
    /// Number of the attempt at this request; a grant names it, so that a late grant for an
    /// earlier attempt is recognised.
    std::uint32_t attempt = 0;
    Base::CustomerId customer;
    Base::ClassId workClass;
    /// When the caller's request arrived, in this process's time.
    Base::TimePoint arrivedAt;
    /// When the answer must start to meet the class's target.
    Base::TimePoint startBy;
    /// When the caller gives up; empty if it did not say.
    std::optional<Base::TimePoint> deadline;
    /// Rough cost, before the work is run.
    Base::ServiceUnits expectedCost = 0;
    /// Hash of the prompt's start; 0 when the work has none.
    std::uint64_t prefix = 0;
};

} // namespace Scheduling
