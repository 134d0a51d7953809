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
    /// Interval between two digests to a home where requests wait. A lost message is detected
    /// after at most one interval and a round trip.
    Base::Duration digestInterval = std::chrono::milliseconds(500);
    /// Number of consecutive digests without a reply that is still tolerated; at the next due
    /// digest the home counts as unresponsive. More than one, because a single message may be lost.
    int maxUnansweredDigests = 2;
};

/// Monitors the homes at which the requests of this entry host wait for permits.
///
/// The monitor detects homes that are frozen, cut off or restarted, and lost messages. Without it
/// a request could wait forever while no home knows it. The entry host sends one digest per home,
/// pool and shard, whose size does not depend on the number of waiting requests.
class HomeMonitor
{
public:
    /// A home and the pool shard that it schedules.
    struct ShardHome
    {
        Base::HostId home;
        Base::PoolId pool;
        std::uint32_t shard = 0;

        auto operator<=>(const ShardHome &) const = default;
    };

    /// Difference between the attempts that wait at a home and those that this entry host expects.
    struct Difference
    {
        /// Attempts that wait at this entry host but are unknown to the home.
        std::vector<AttemptId> missing;
        /// Attempts that wait at the home but no longer at this entry host.
        std::vector<AttemptId> unwanted;
    };

    struct Digest
    {
        Base::HostId home;
        WaitingDigest message;
    };

    explicit HomeMonitor(const HomeMonitorPolicy &policy);

    /// Starts monitoring an attempt that waits at a home.
    void add(const ShardHome &shardHome, const AttemptId &attempt, Base::TimePoint now);
    /// Stops monitoring an attempt.
    void remove(const ShardHome &shardHome, const AttemptId &attempt);
    /// Compares the reply of \a home to the latest digest with the waiting attempts. A reply to an
    /// older digest gives no difference.
    Difference compare(const Base::HostId &home, const WaitingReply &reply);

    /// Returns the digests that are due at \a now.
    std::vector<Digest> takeDigests(Base::TimePoint now);
    /// Returns each home that left too many digests unanswered, once.
    std::vector<Base::HostId> takeUnresponsiveHomes();

private:
    struct WaitState
    {
        WaitingSet waiting;
        /// The attempts that the last digest covered.
        std::vector<AttemptId> digested;
        /// Serial number of the last digest.
        std::uint64_t number = 0;
        /// Number of digests since the last reply.
        int unanswered = 0;
        Base::TimePoint nextDigest{};
    };

    HomeMonitorPolicy m_policy;
    std::map<ShardHome, WaitState> m_waitStates;
    std::vector<Base::HostId> m_unresponsive;
};

} // namespace Node
