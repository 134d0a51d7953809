#pragma once

#include "slopes/report.h"

#include <cstdint>

namespace Slopes {

/// Measures the times to build, encode, decode and receive heartbeats, and the bytes a second that
/// a router sends to all its peers.
void measureHeartbeats(const Report &report, std::uint64_t seed);
/// Measures deltas of the service ledger and the ledger's memory.
void measureLedger(const Report &report);
/// Measures changes and snapshots of the configuration.
void measureConfiguration(const Report &report);
/// Measures how long it takes to order the routers that may be the home of a pool's shard, that is,
/// give out its permits.
void measureHomeOrder(const Report &report);
/// Measures one permit from request to release at the home of a pool with backlogged customers, and
/// the messages about permits.
void measureHome(const Report &report, std::uint64_t seed);
/// Measures the memory of an open request at its entry host.
void measureEntry(const Report &report);
/// Measures the processor time and the traffic of whole node cores in virtual time, idle and under
/// load.
void measureFleet(const Report &report, std::uint64_t seed);

} // namespace Slopes
