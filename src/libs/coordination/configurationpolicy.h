#pragma once

#include "base/time.h"

#include <cstddef>

namespace Coordination {

/// A ConfigurationPolicy that cannot work, or no name for the writer.
struct InvalidConfigurationPolicy
{};

struct ConfigurationPolicy
{
    /// A zone's poller reads the table this often. With one heartbeat to a peer and one push
    /// back a change is everywhere in about 2.5 s, of the 4 s allowed.
    Base::Duration pollInterval = std::chrono::milliseconds(1000);
    /// The others look this often, in case no poller of the region reaches the table: 390
    /// routers make 39 reads a second, of the two thousand that the table gives.
    Base::Duration idlePollInterval = std::chrono::seconds(10);
    /// A poll without an answer for this long is not waited for.
    Base::Duration pollTimeout = std::chrono::seconds(3);
    /// Rows read at once; more are read in further polls without a pause.
    std::size_t pollLimit = 500;
    /// Changes kept in memory for peers: more than half an hour of 62,000 a day.
    std::size_t keptChanges = 1500;
    /// A router that has a change only from a peer pushes it on after this long: two heartbeats.
    Base::Duration pushPatience = std::chrono::milliseconds(1000);
    /// A router that knows itself behind asks a peer this often, one peer at a time.
    Base::Duration pullInterval = std::chrono::milliseconds(1500);
    /// A peer silent for this long no longer tells what the newest version is.
    Base::Duration peerLife = std::chrono::seconds(3);
    /// An operator's write gets its answer within this time, be it Unknown.
    Base::Duration writeDeadline = std::chrono::seconds(4);
    /// Pause before a write whose answer was lost is looked for again.
    Base::Duration writeRetry = std::chrono::milliseconds(250);
    /// A snapshot is written after this many changes: 31 a day at 62,000 changes.
    std::size_t compactEvery = 2000;
    /// Change rows kept below the snapshot, for routers that are a little behind and for
    /// writers that look for their own row: 23 minutes' worth.
    std::size_t keptRows = 1000;
    /// How often a poller looks whether a snapshot is due.
    Base::Duration compactInterval = std::chrono::seconds(60);
};

} // namespace Coordination
