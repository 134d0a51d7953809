#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "settings/configuration.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Coordination {

enum class MemberState { Live, Leaving };

/// "Every start of \a name up to \a incarnation is leaving."
struct LeavingMark
{
    std::string name;
    Base::Incarnation incarnation = 0;

    bool operator==(const LeavingMark &) const = default;
};

/// What a home router says of one pool shard that it holds.
struct PoolSummary
{
    Base::PoolId pool;
    std::uint32_t shard = 0;
    std::uint32_t waiting = 0;
    std::uint32_t freePermits = 0;
    /// Permits given back a second, smoothed.
    double drainRate = 0;

    bool operator==(const PoolSummary &) const = default;
};

/// Sent by every router to every other router of its region. Most are minimal: what has not
/// changed is left out, and a full one comes every few seconds and whenever somebody needs it.
struct Heartbeat
{
    Base::HostId host;
    Base::Incarnation incarnation = 0;
    std::uint64_t sequence = 0;
    MemberState state = MemberState::Live;
    Settings::ConfigurationVersion configurationVersion = 0;
    /// All marks if isFull, else only young ones.
    std::vector<LeavingMark> leaving;
    /// All pool shards held if isFull, else only those whose numbers have moved.
    std::vector<PoolSummary> pools;
    bool isFull = false;
    /// After how long the sender sends the next one.
    Base::Milliseconds interval{0};
    /// Only where isFull; a receiver whose list does not have the sender learns it from these.
    Base::ZoneId zone;
    std::string peerAddress;
    std::string callerAddress;

    bool operator==(const Heartbeat &) const = default;
};

} // namespace Coordination
