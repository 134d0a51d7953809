#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "settings/configuration.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Coordination {

enum class MemberState { Live, Leaving };

/// States that every start of the host \a name up to \a incarnation is leaving. The host is a
/// router or a backend server.
struct LeavingMark
{
    std::string name;
    Base::Incarnation incarnation = 0;

    bool operator==(const LeavingMark &) const = default;
};

/// Load of one pool shard, as reported by its home: the router that grants permits for the
/// shard's servers.
struct PoolSummary
{
    Base::PoolId pool;
    std::uint32_t shard = 0;
    std::uint32_t waiting = 0;
    std::uint32_t freePermits = 0;
    /// Permits returned per second, smoothed.
    double drainRate = 0;

    bool operator==(const PoolSummary &) const = default;
};

/// Message that every router sends to every other router of its region. Most heartbeats omit
/// what has not changed; a full one is sent every few seconds and whenever a receiver needs it.
struct Heartbeat
{
    Base::HostId host;
    Base::Incarnation incarnation = 0;
    std::uint64_t sequence = 0;
    MemberState state = MemberState::Live;
    Settings::ConfigurationVersion configurationVersion = 0;
    /// All marks that are in force or fresh if isFull, otherwise a few fresh ones; see
    /// LeavingMarks.
    std::vector<LeavingMark> leaving;
    /// All pool shards of the sender if isFull, otherwise only those with changed numbers.
    std::vector<PoolSummary> pools;
    bool isFull = false;
    /// Time until the sender's next heartbeat.
    Base::Milliseconds interval{0};
    /// The zone and the addresses are set only if isFull. A receiver whose list lacks the sender
    /// learns them from here.
    Base::ZoneId zone;
    std::string peerAddress;
    std::string callerAddress;

    bool operator==(const Heartbeat &) const = default;
};

} // namespace Coordination
