#pragma once

#include "base/ids.h"

#include <chrono>
#include <compare>
#include <cstdint>
#include <vector>

namespace Coordination {

/// Identifies one set of a router's charge counters: one run of its process (a start) and an
/// epoch within it. A router begins a new epoch when it learns that peers have folded its
/// current one.
struct LedgerStart
{
    Base::HostId host;
    Base::Incarnation incarnation = 0;
    std::uint32_t epoch = 0;

    auto operator<=>(const LedgerStart &) const = default;
};

/// Tells peers that the sender has folded \a start and all earlier starts of the same host:
/// their charges are part of LedgerEntry::settled and are no longer counted one by one.
struct FoldedStart
{
    LedgerStart start;
    /// Time since the start was folded.
    std::chrono::seconds age{0};

    bool operator==(const FoldedStart &) const = default;
};

/// The charge of the start with index \a start in LedgerDelta::starts, as far as the sender knows
/// it.
struct SeenCharge
{
    std::uint32_t start = 0;
    Base::ServiceUnits charged = 0;

    bool operator==(const SeenCharge &) const = default;
};

/// One customer's entry as one router knows it. No number decreases within a round and a start
/// of the sender, so that lost, duplicated and reordered deltas do no harm.
struct LedgerEntry
{
    Base::CustomerId customer;
    /// Weighted tokens charged at the sender in this round and this start of the sender.
    Base::ServiceUnits charged = 0;
    /// Position at which the customer entered the round plus all lifts since then; the largest
    /// value that the sender knows.
    Base::ServiceUnits lifted = 0;
    /// Sum of all debt forgiven in this round; the largest value that the sender knows.
    Base::ServiceUnits forgiven = 0;
    /// Generation of the customer's counters: the position at which some router added the
    /// customer, which it did not know or had dropped. A larger round replaces the counters of a
    /// smaller one, which are below that position.
    std::uint64_t round = 0;
    /// Sum charged by all folded starts. Valid only if LedgerDelta::isFull.
    Base::ServiceUnits settled = 0;
    /// What each other start has charged. Filled only in a snapshot.
    std::vector<SeenCharge> seen;

    bool operator==(const LedgerEntry &) const = default;
};

/// Entries of one pool that a router sends to its peers: those changed since the last exchange or,
/// if isSnapshot, everything that a router needs when it starts or takes over a home.
struct LedgerDelta
{
    Base::HostId sender;
    Base::Incarnation incarnation = 0;
    Base::PoolId pool;
    std::vector<LedgerEntry> entries;
    std::uint32_t epoch = 0;
    /// Smallest position of a customer that waits at the sender; 0 if none waits.
    Base::ServiceUnits floor = 0;
    /// Whether the entries' settled sums and \a folded are filled in.
    bool isFull = false;
    /// Whether this is the complete state of a sender that is not cold.
    bool isSnapshot = false;
    /// Whether the sender has started cold and requests a snapshot.
    bool isSnapshotRequest = false;
    std::vector<FoldedStart> folded;
    /// The starts that SeenCharge::start refers to by index.
    std::vector<LedgerStart> starts;

    bool operator==(const LedgerDelta &) const = default;
};

} // namespace Coordination
