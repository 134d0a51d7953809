#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "node/peermessage.h"
#include "node/waitingset.h"

#include <compare>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace Node {

struct HomeMonitorPolicy
{
    /// Between two digests to a home where requests wait. A lost message is found after at
    /// most one of these and a round trip.
    Base::Duration digestInterval = std::chrono::milliseconds(500);
    /// Digests without a reply after which a home counts as gone: one may be lost.
    int maxUnansweredDigests = 2;
};

/// The entry side's watch over the homes at which its requests wait.
///
/// Guards against a home that is frozen, cut off or restarted, and against lost messages:
/// without it such a request would wait for ever while nobody knows of it. A digest per home
/// costs the same however many requests wait.
class HomeMonitor
{
public:
    struct ShardHome
    {
        Base::HostId home;
        Base::PoolId pool;
        std::uint32_t shard = 0;

        auto operator<=>(const ShardHome &) const = default;
    };

    struct Difference
    {
        /// Waiting here, unknown there.
        std::vector<AttemptId> missing;
        /// Waiting there, not wanted here.
        std::vector<AttemptId> unwanted;
    };

    struct Digest
    {
        Base::HostId home;
        WaitingDigest message;
    };

    explicit HomeMonitor(const HomeMonitorPolicy &policy);

    void add(const ShardHome &shardHome, const AttemptId &attempt, Base::TimePoint now);
    void remove(const ShardHome &shardHome, const AttemptId &attempt);
    Difference compare(const Base::HostId &home, const WaitingReply &reply);

    /// Digests due at \a now.
    std::vector<Digest> takeDigests(Base::TimePoint now);
    /// Homes that left too many digests unanswered; told once.
    std::vector<Base::HostId> takeUnresponsiveHomes();

private:
    struct WaitState
    {
        WaitingSet waiting;
        /// What was waiting when the last digest was made.
        std::vector<AttemptId> digested;
        std::uint64_t number = 0;
        int unanswered = 0;
        Base::TimePoint nextDigest{};
    };

    HomeMonitorPolicy m_policy;
    std::map<ShardHome, WaitState> m_waitStates;
    std::vector<Base::HostId> m_unresponsive;
};

} // namespace Node
