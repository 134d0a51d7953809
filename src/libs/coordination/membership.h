#pragma once

#include "base/result.h"
#include "base/time.h"
#include "coordination/heartbeat.h"
#include "coordination/leavingmarks.h"
#include "storage/hostlist.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Coordination {

/// Error of Membership::create(): the interval, the timeout, maxStretch or the period of full
/// heartbeats is out of range.
struct InvalidMembershipPolicy
{};

/// Intervals and limits of Membership.
struct MembershipPolicy
{
    Base::Duration heartbeatInterval = std::chrono::milliseconds(500);
    /// A member that was silent for this long is regarded as dead, but stays known. The time is
    /// three heartbeats plus the network delay, so that two heartbeats may be lost without an
    /// effect. It grows with the interval that the member announces.
    Base::Duration suspectAfter = std::chrono::milliseconds(1600);
    /// Largest factor by which the interval may be stretched to save bytes. With a larger one the
    /// loss of a router would be detected only after four seconds.
    double maxStretch = 2;
    /// One of this many heartbeats is full, so that what lost ones have left out is repaired
    /// within 15 s. With one in eight, thirty leaving marks would take 8 KB/s.
    std::uint64_t heartbeatsPerFull = 30;
    /// Shortest time between two updates of a changing pool. Newly spare permits are sent
    /// without this delay.
    Base::Duration poolUpdateInterval = std::chrono::seconds(1);
    /// Flap damping: from the second loss within flapWindow on, heartbeats of a member must arrive
    /// for holdDownStep times the number of losses, at most maxHoldDown, before the member is used
    /// again.
    Base::Duration flapWindow = std::chrono::seconds(60);
    Base::Duration holdDownStep = std::chrono::seconds(1);
    Base::Duration maxHoldDown = std::chrono::seconds(5);
    /// A dead member that the list no longer contains is forgotten when it has been silent for this
    /// long.
    Base::Duration forgetAfter = std::chrono::seconds(60);
    LeavingPolicy leaving;
};

/// Identity and addresses of this router, as it announces them in full heartbeats.
struct RouterIdentity
{
    Base::HostId host;
    Base::Incarnation incarnation = 0;
    Base::ZoneId zone;
    std::string peerAddress;
    std::string callerAddress;
};

/// A router as this router sees it.
struct Member
{
    Base::HostId host;
    Base::Incarnation incarnation = 0;
    MemberState state = MemberState::Live;
    Base::ZoneId zone;
    std::string peerAddress;
    std::string callerAddress;
    bool isAlive = false;
    /// Whether the platform's newest list contains the router.
    bool isListed = false;
    Base::TimePoint lastHeardAt;
    /// Time to the next heartbeat, as announced in the last one.
    Base::Duration interval{};
    std::uint64_t sequence = 0;
    Settings::ConfigurationVersion configurationVersion = 0;
    std::vector<PoolSummary> pools;
    /// Number of losses within the flap window.
    std::uint32_t losses = 0;
    /// Time of the last loss.
    Base::TimePoint lostAt;
    /// Time since which heartbeats of the router have arrived without a gap.
    Base::TimePoint steadySince;
};

/// Tracks which routers are alive and which hosts are leaving. The members are seeded from the
/// platform's list, which lags, and their liveness is determined by heartbeats.
///
/// The list contains candidates; only a heartbeat proves that a router is alive. A list that is
/// old, flaps or is missing therefore neither makes a dead router a home (a router that grants
/// permits) nor removes a live one. Without flap damping a router at the edge of its capacity
/// would be lost and found every few seconds, and its pool shards would move twice each time.
class Membership
{
public:
    /// Fails with InvalidMembershipPolicy.
    static Base::Result<Membership> create(const MembershipPolicy &policy,
                                           const RouterIdentity &self);

    /// Adds the routers and the leaving marks of the platform's list. If the list is older than the
    /// newest one seen, only its leaving marks are used.
    void seed(const Storage::HostListing &listing, Base::TimePoint now);
    /// Applies a heartbeat of another router.
    void receive(const Heartbeat &heartbeat, Base::TimePoint now);
    /// Regards \a host as lost because a connection to it was refused or cut.
    void recordUnreachable(const Base::HostId &host, Base::TimePoint now);
    /// Detects silent members and forgets those that are gone.
    void advance(Base::TimePoint now);
    /// Announces at once that this router is leaving.
    void beginLeaving();

    /// Returns the next heartbeat if one is due. The caller fills in the configuration version and
    /// all pools and then calls omitUnchanged().
    std::optional<Heartbeat> dueHeartbeat(Base::TimePoint now);
    /// Removes pools from a heartbeat that is not full: those that were sent less than
    /// MembershipPolicy::poolUpdateInterval ago, and those whose numbers are within a factor of two
    /// of the ones sent last. Receivers use the summary only to place spare work, so that nothing
    /// but newly spare permits is urgent.
    void omitUnchanged(Heartbeat &heartbeat);
    /// Multiplies the heartbeat interval by \a stretch, limited to 1..MembershipPolicy::maxStretch.
    void setStretch(double stretch);
    Base::TimePoint nextDue() const { return m_nextHeartbeat; }

    const RouterIdentity &self() const { return m_self; }
    /// Whether this router was asked to leave or is marked as leaving by the platform or a peer.
    bool isSelfLeaving() const { return m_isSelfLeaving; }
    /// All known routers except this one, by host.
    const std::map<Base::HostId, Member> &others() const { return m_others; }
    bool isAlive(const Base::HostId &host) const;
    /// Whether this start of a host (router or backend server) is leaving.
    bool isLeaving(const std::string &name, Base::Incarnation incarnation) const;
    /// Routers that may be homes, sorted: those that are alive and not leaving, including this one.
    std::vector<Base::HostId> usableRouters() const;
    /// The usable router that polls the configuration table for this router's zone; this router if
    /// the zone has none.
    Base::HostId zonePoller() const;
    /// Grows whenever the result of usableRouters() or isLeaving() may have changed.
    std::uint64_t viewVersion() const { return m_viewVersion; }
    /// Number of leaving marks.
    std::size_t leavingMarks() const { return m_marks.size(); }

private:
    /// The last summary of a pool shard that was sent, and when.
    struct SentPool
    {
        PoolSummary summary;
        Base::TimePoint sentAt;
    };

    Membership(const MembershipPolicy &policy, const RouterIdentity &self);
    void markLeaving(const std::string &name, Base::Incarnation incarnation);
    /// Returns the sender with its addresses updated; null if it is unknown and the heartbeat has
    /// no addresses.
    Member *findOrAdd(const Heartbeat &heartbeat);
    void resetForNewStart(Member &member, const Heartbeat &heartbeat);
    bool isWorthSending(const PoolSummary &summary) const;
    void applyPools(Member &member, const Heartbeat &heartbeat);
    /// Records that a heartbeat of the member arrived and marks it alive after its hold-down time.
    void recordHeartbeat(Member &member, Base::TimePoint now);
    void markLost(Member &member, Base::TimePoint now);
    /// Time for which heartbeats of a lost member must arrive before it is used again.
    Base::Duration holdDownTime(const Member &member) const;
    /// Silence after which the member is regarded as dead.
    Base::Duration suspectTimeout(const Member &member) const;
    void seedRouter(const Storage::ListedHost &listed);

    MembershipPolicy m_policy;
    RouterIdentity m_self;
    std::map<Base::HostId, Member> m_others;
    LeavingMarks m_marks;
    std::map<std::pair<Base::PoolId, std::uint32_t>, SentPool> m_sentPools;
    Base::TimePoint m_nextHeartbeat{};
    Base::TimePoint m_sentAt{};
    Base::TimePoint m_lastAdvance{};
    std::uint64_t m_listVersion = 0;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_viewVersion = 1;
    double m_stretch = 1;
    bool m_isFullDue = true;
    bool m_isSelfLeaving = false;
};

} // namespace Coordination
