#pragma once

#include "slopes/report.h"

#include <cstdint>

namespace Slopes {

/// Heartbeats: build, encode, decode, receive; bytes a second to all peers.
void measureHeartbeats(const Report &report, std::uint64_t seed);
/// Deltas of the service ledger, and its memory.
void measureLedger(const Report &report);
/// Configuration changes and snapshots.
void measureConfiguration(const Report &report);
/// The order of homes.
void measureHomeOrder(const Report &report);
/// One permit at a pool home, with customers backlogged.
void measureHome(const Report &report, std::uint64_t seed);
/// Memory of an open request at its entry host.
void measureEntry(const Report &report);
/// Whole node cores in virtual time, idle and under load.
void measureFleet(const Report &report, std::uint64_t seed);

} // namespace Slopes
