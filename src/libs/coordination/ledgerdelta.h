#pragma once

#include "base/ids.h"

#include <chrono>
#include <compare>
#include <cstdint>
#include <vector>

namespace Coordination {

/// One run of counters: a start of a router, and within it an epoch. A router begins a new
/// epoch when it learns that others have closed the books on its current one.
struct LedgerStart
{
    Base::HostId host;
    Base::Incarnation incarnation = 0;
    std::uint32_t epoch = 0;

    auto operator<=>(const LedgerStart &) const = default;
};

/// "All counters of this start and of earlier ones of its host are in my settled sums."
struct FoldedStart
{
    LedgerStart start;
    /// How long ago they were folded.
    std::chrono::seconds age{0};

    bool operator==(const FoldedStart &) const = default;
};

/// What the sender has seen charged by LedgerDelta::starts[start].
struct SeenCharge
{
    std::uint32_t start = 0;
    Base::ServiceUnits charged = 0;

    bool operator==(const SeenCharge &) const = default;
};

/// One customer's entry as one router knows it. Every number only grows while the round and
/// the sender's start last, so that lost, doubled and reordered deltas do no harm.
struct LedgerEntry
{
    Base::CustomerId customer;
    /// Weighed tokens charged at the sender, in this round and this start of the sender.
    Base::ServiceUnits charged = 0;
    /// Level at which the customer entered the round, and all lifts since (largest known).
    Base::ServiceUnits lifted = 0;
    /// Sum of all debt forgiven in this round (largest known).
    Base::ServiceUnits forgiven = 0;
    /// The level at which some router took the customer in that did not know it, or had dropped
    /// it. A larger round replaces the counters of a smaller one: they are below that level.
    std::uint64_t round = 0;
    /// Only where LedgerDelta::isFull: charged by all folded starts together.
    Base::ServiceUnits settled = 0;
    /// Only in a snapshot: what each other start has charged.
    std::vector<SeenCharge> seen;

    bool operator==(const LedgerEntry &) const = default;
};

/// Entries of one pool: those that changed since the last exchange, or (isSnapshot) all that a
/// router that starts or takes over needs.
struct LedgerDelta
{
    Base::HostId sender;
    Base::Incarnation incarnation = 0;
    Base::PoolId pool;
    std::vector<LedgerEntry> entries;
    std::uint32_t epoch = 0;
    /// Least position of a customer that waits at the sender; 0 if none waits.
    Base::ServiceUnits floor = 0;
    /// The entries' settled sums hold, together with \a folded.
    bool isFull = false;
    /// All that a warm sender knows, as an answer to isSnapshotRequest.
    bool isSnapshot = false;
    /// The sender started cold and asks for a snapshot.
    bool isSnapshotRequest = false;
    std::vector<FoldedStart> folded;
    /// Starts that SeenCharge::start points into.
    std::vector<LedgerStart> starts;

    bool operator==(const LedgerDelta &) const = default;
};

} // namespace Coordination
