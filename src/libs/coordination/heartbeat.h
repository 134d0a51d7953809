#pragma once

#include "base/ids.h"
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

/// Sent by every router to every other router of its region.
struct Heartbeat
{
    Base::HostId host;
    Base::Incarnation incarnation = 0;
    std::uint64_t sequence = 0;
    MemberState state = MemberState::Live;
    Settings::ConfigurationVersion configurationVersion = 0;
    std::vector<LeavingMark> leaving;
    std::vector<PoolSummary> pools;

    bool operator==(const Heartbeat &) const = default;
};

} // namespace Coordination
