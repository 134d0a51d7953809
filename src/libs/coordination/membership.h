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

/// A MembershipPolicy that cannot work.
struct InvalidMembershipPolicy
{};

struct MembershipPolicy
{
    Base::Duration heartbeatInterval = std::chrono::milliseconds(500);
    /// A member not heard of for this long is not used; it stays known. Three heartbeats and a
    /// little for the way: two may be lost without anything moving. It grows with the
    /// interval that the member announces.
    Base::Duration suspectAfter = std::chrono::milliseconds(1600);
    /// How far a heartbeat may be stretched to save bytes. More would make the loss of a router
    /// known only after four seconds.
    double largestStretch = 2;
    /// Every so many heartbeats one is full: what lost ones left out is mended in 15 s. Thirty
    /// leaving marks in each eighth took 8 KB a second.
    std::uint64_t heartbeatsPerFull = 30;
    /// A pool whose numbers move is told again no sooner than this, but for new spare permits.
    Base::Duration poolInterval = std::chrono::seconds(1);
    /// From the second loss within flapWindow on, a member must be heard for flapHold times the
    /// losses before it is used again, flapHoldLargest at most.
    Base::Duration flapWindow = std::chrono::seconds(60);
    Base::Duration flapHold = std::chrono::seconds(1);
    Base::Duration flapHoldLargest = std::chrono::seconds(5);
    /// A member that the list no longer has and that is silent for this long is forgotten.
    Base::Duration forgetAfter = std::chrono::seconds(60);
    LeavingPolicy leaving;
};

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
    /// Whether the platform's newest list has it.
    bool isListed = false;
    Base::TimePoint heardAt;
    Base::Duration interval{};
    std::uint64_t sequence = 0;
    Settings::ConfigurationVersion configurationVersion = 0;
    std::vector<PoolSummary> pools;
    /// Losses within the flap window, the last of them, and since when it is heard again.
    std::uint32_t losses = 0;
    Base::TimePoint lostAt;
    Base::TimePoint steadySince;
};

/// Which routers are alive and which hosts are leaving, seeded from the platform's lagging
/// list and kept by heartbeats.
///
/// The list says who might be there; only a heartbeat says who is. So a list that is old, or
/// flaps, or is not there at all, neither makes a dead router a home nor takes a live one away.
/// Without flap damping a router at the edge of its capacity would be lost and found every few
/// seconds, and each time its pool shards would move twice.
class Membership
{
public:
    /// Fails with InvalidMembershipPolicy.
    static Base::Result<Membership> create(const MembershipPolicy &policy,
                                           const RouterIdentity &self);

    void seed(const Storage::HostListing &listing, Base::TimePoint now);
    void receive(const Heartbeat &heartbeat, Base::TimePoint now);
    /// A connection to \a host was refused or cut.
    void recordUnreachable(const Base::HostId &host, Base::TimePoint now);
    void advance(Base::TimePoint now);
    void beginLeaving();

    /// The next heartbeat if one is due; the caller fills in the version and all pools, then
    /// calls omitUnchanged().
    std::optional<Heartbeat> dueHeartbeat(Base::TimePoint now);
    /// Leaves out of a heartbeat that is not full the pools that were told a moment ago or
    /// have moved by less than a half since: the summary steers where spare work goes, and
    /// only spare permits where none were are news that cannot wait.
    void omitUnchanged(Heartbeat &heartbeat);
    /// Stretches the interval between heartbeats, within the policy.
    void setStretch(double stretch);
    Base::TimePoint nextDue() const { return m_nextHeartbeat; }

    const RouterIdentity &self() const { return m_self; }
    /// Asked to leave, or said to be leaving by the platform or a peer.
    bool isSelfLeaving() const { return m_isSelfLeaving; }
    /// All known routers but this one, by host.
    const std::map<Base::HostId, Member> &others() const { return m_others; }
    bool isAlive(const Base::HostId &host) const;
    /// Whether this start of a host (router or backend server) is leaving.
    bool isLeaving(const std::string &name, Base::Incarnation incarnation) const;
    /// Routers that may be homes: alive and not leaving, this one included, sorted.
    std::vector<Base::HostId> usableRouters() const;
    /// The live router that polls the table for this one's zone.
    Base::HostId zonePoller() const;
    /// Changes whenever usableRouters() or isLeaving() may have changed.
    std::uint64_t viewVersion() const { return m_viewVersion; }
    std::size_t leavingMarks() const { return m_marks.size(); }

private:
    struct ToldPool
    {
        PoolSummary summary;
        Base::TimePoint at;
    };

    Membership(const MembershipPolicy &policy, const RouterIdentity &self);
    void markLeaving(const std::string &name, Base::Incarnation incarnation);
    Member *learn(const Heartbeat &heartbeat);
    void begin(Member &member, const Heartbeat &heartbeat);
    bool isNews(const PoolSummary &summary) const;
    void takePools(Member &member, const Heartbeat &heartbeat);
    void takeLife(Member &member, Base::TimePoint now);
    void lose(Member &member, Base::TimePoint now);
    Base::Duration holdFor(const Member &member) const;
    Base::Duration patience(const Member &member) const;
    void seedRouter(const Storage::ListedHost &listed);

    MembershipPolicy m_policy;
    RouterIdentity m_self;
    std::map<Base::HostId, Member> m_others;
    LeavingMarks m_marks;
    std::map<std::pair<Base::PoolId, std::uint32_t>, ToldPool> m_toldPools;
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
