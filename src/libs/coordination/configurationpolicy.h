#pragma once

#include "base/time.h"

#include <cstddef>

namespace Coordination {

/// Error of ConfigurationReplica::create(): the policy's intervals or limits are out of range, or
/// the writer has no name.
struct InvalidConfigurationPolicy
{};

/// Intervals and limits of ConfigurationReplica, TargetWriter and ConfigurationCompactor.
struct ConfigurationPolicy
{
    /// Interval at which a zone's poller reads the table. With one heartbeat to a peer and one
    /// push back, a change reaches every router in about 2.5 s of the 4 s allowed.
    Base::Duration pollInterval = std::chrono::milliseconds(1000);
    /// Interval at which all other routers read the table, in case no poller of the region
    /// reaches it. 390 routers make 39 reads per second of the 2,000 that the table can serve.
    Base::Duration idlePollInterval = std::chrono::seconds(10);
    /// Time after which a poll without an answer is given up.
    Base::Duration pollTimeout = std::chrono::seconds(3);
    /// Largest number of rows per read. If there are more, the next poll follows at once.
    std::size_t pollLimit = 500;
    /// Number of changes kept in memory for peers: more than half an hour's worth at 62,000
    /// changes a day.
    std::size_t keptChanges = 1500;
    /// Delay of two heartbeats after which a router pushes a change that it got from a peer.
    Base::Duration relayDelay = std::chrono::milliseconds(1000);
    /// Interval at which a router that is behind its peers pulls from one of them.
    Base::Duration pullInterval = std::chrono::milliseconds(1500);
    /// Silence after which the version that a peer has announced is ignored.
    Base::Duration peerTimeout = std::chrono::seconds(3);
    /// Time within which an operator's write gets its result, even if that is Unknown.
    Base::Duration writeDeadline = std::chrono::seconds(4);
    /// Pause before a write whose answer was lost is read back.
    Base::Duration writeRetryInterval = std::chrono::milliseconds(250);
    /// Number of changes between two snapshots: 31 snapshots a day at 62,000 changes.
    std::size_t compactEvery = 2000;
    /// Number of change rows kept below the snapshot for routers that are slightly behind and
    /// for writers that read back their own row: 23 minutes' worth at 62,000 changes a day.
    std::size_t keptRows = 1000;
    /// Interval at which a poller checks whether a snapshot is due.
    Base::Duration compactInterval = std::chrono::seconds(60);
};

} // namespace Coordination
