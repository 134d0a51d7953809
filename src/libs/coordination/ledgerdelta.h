#pragma once

#include "base/ids.h"

#include <cstdint>
#include <vector>

namespace Coordination {

/// One customer's entry as one router has counted it. Every number only grows while the
/// sender's incarnation lasts, so that lost, doubled and reordered deltas do no harm.
struct LedgerEntry
{
    Base::CustomerId customer;
    /// Weighed tokens charged at the sender since its start.
    Base::ServiceUnits charged = 0;
    /// Sum of all lifts to the floor (largest known).
    Base::ServiceUnits lifted = 0;
    /// Sum of all debt forgiven (largest known).
    Base::ServiceUnits forgiven = 0;

    bool operator==(const LedgerEntry &) const = default;
};

/// Entries of one pool that changed since the last exchange.
struct LedgerDelta
{
    Base::HostId sender;
    Base::Incarnation incarnation = 0;
    Base::PoolId pool;
    std::vector<LedgerEntry> entries;

    bool operator==(const LedgerDelta &) const = default;
};

} // namespace Coordination
