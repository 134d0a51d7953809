#pragma once

#include "base/result.h"
#include "base/time.h"
#include "coordination/heartbeat.h"
#include "platform/hostlist.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Coordination {

struct MembershipPolicy
{
    Base::Duration heartbeatInterval = std::chrono::milliseconds(500);
    /// A member not heard of for this long is not used; it stays known.
    Base::Duration suspectAfter = std::chrono::milliseconds(1600);
};

struct MembershipSelf
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
    Base::TimePoint heardAt;
    Settings::ConfigurationVersion configurationVersion = 0;
    std::vector<PoolSummary> pools;
};

/// Which routers are alive and which hosts are leaving, seeded from the platform's lagging
/// list and kept by heartbeats. Thin version: all listed routers, leaving marks are sticky.
class Membership
{
public:
    static Base::Result<Membership> create(const MembershipPolicy &policy,
                                           const MembershipSelf &self);

    void seed(const Platform::HostListing &listing, Base::TimePoint now);
    void receive(const Heartbeat &heartbeat, Base::TimePoint now);
    /// A connection to \a host was refused or cut.
    void recordUnreachable(const Base::HostId &host, Base::TimePoint now);
    void advance(Base::TimePoint now);
    void beginLeaving();

    /// The next heartbeat if one is due; the caller fills in versions and pools.
    std::optional<Heartbeat> dueHeartbeat(Base::TimePoint now);
    Base::TimePoint nextDue() const { return m_nextHeartbeat; }

    const MembershipSelf &self() const { return m_self; }
    bool isSelfLeaving() const { return m_isSelfLeaving; }
    /// All known routers but this one, by host.
    const std::map<Base::HostId, Member> &others() const { return m_others; }
    bool isAlive(const Base::HostId &host) const;
    /// Whether this start of a host (router or backend server) is leaving.
    bool isLeaving(const std::string &name, Base::Incarnation incarnation) const;
    /// Routers that may be homes: alive and not leaving, this one included, sorted.
    std::vector<Base::HostId> usableRouters() const;
    /// Changes whenever usableRouters() may have changed.
    std::uint64_t viewVersion() const { return m_viewVersion; }

private:
    Membership(const MembershipPolicy &policy, const MembershipSelf &self);
    void markLeaving(const std::string &name, Base::Incarnation incarnation);

    MembershipPolicy m_policy;
    MembershipSelf m_self;
    std::map<Base::HostId, Member> m_others;
    std::map<std::string, Base::Incarnation> m_leaving;
    Base::TimePoint m_nextHeartbeat{};
    std::uint64_t m_sequence = 0;
    std::uint64_t m_viewVersion = 1;
    bool m_isSelfLeaving = false;
};

} // namespace Coordination
