#include "coordination/membership.h"

#include <algorithm>

namespace Coordination {

Base::Result<Membership> Membership::create(const MembershipPolicy &policy,
                                            const MembershipSelf &self)
{
    return Membership(policy, self);
}

Membership::Membership(const MembershipPolicy &policy, const MembershipSelf &self)
    : m_policy(policy)
    , m_self(self)
{}

void Membership::seed(const Platform::HostListing &listing, Base::TimePoint)
{
    for (const Platform::ListedHost &listed : listing.hosts) {
        if (listed.state == Platform::HostState::Leaving)
            markLeaving(listed.name, listed.incarnation);
        if (listed.role != Platform::HostRole::Router)
            continue;
        const Base::HostId host(listed.name);
        if (host == m_self.host)
            continue;
        Member &member = m_others[host];
        member.host = host;
        member.zone = listed.zone;
        member.peerAddress = listed.address;
        member.callerAddress = listed.callerAddress;
    }
}

void Membership::receive(const Heartbeat &heartbeat, Base::TimePoint now)
{
    Member &member = m_others[heartbeat.host];
    if (heartbeat.incarnation < member.incarnation)
        return;
    if (!member.isAlive || member.state != heartbeat.state
        || member.incarnation != heartbeat.incarnation)
        ++m_viewVersion;
    member.host = heartbeat.host;
    member.incarnation = heartbeat.incarnation;
    member.state = heartbeat.state;
    member.isAlive = true;
    member.heardAt = now;
    member.configurationVersion = heartbeat.configurationVersion;
    member.pools = heartbeat.pools;
    for (const LeavingMark &mark : heartbeat.leaving)
        markLeaving(mark.name, mark.incarnation);
}

void Membership::recordUnreachable(const Base::HostId &host, Base::TimePoint)
{
    const auto it = m_others.find(host);
    if (it == m_others.end() || !it->second.isAlive)
        return;
    it->second.isAlive = false;
    ++m_viewVersion;
}

void Membership::advance(Base::TimePoint now)
{
    for (auto &[host, member] : m_others) {
        if (!member.isAlive || now - member.heardAt < m_policy.suspectAfter)
            continue;
        member.isAlive = false;
        ++m_viewVersion;
    }
}

void Membership::beginLeaving()
{
    m_isSelfLeaving = true;
    m_nextHeartbeat = {};
    ++m_viewVersion;
}

std::optional<Heartbeat> Membership::dueHeartbeat(Base::TimePoint now)
{
    if (now < m_nextHeartbeat)
        return std::nullopt;
    m_nextHeartbeat = now + m_policy.heartbeatInterval;
    Heartbeat heartbeat;
    heartbeat.host = m_self.host;
    heartbeat.incarnation = m_self.incarnation;
    heartbeat.sequence = ++m_sequence;
    heartbeat.state = m_isSelfLeaving ? MemberState::Leaving : MemberState::Live;
    for (const auto &[name, incarnation] : m_leaving)
        heartbeat.leaving.push_back({name, incarnation});
    return heartbeat;
}

bool Membership::isAlive(const Base::HostId &host) const
{
    if (host == m_self.host)
        return true;
    const auto it = m_others.find(host);
    return it != m_others.end() && it->second.isAlive;
}

bool Membership::isLeaving(const std::string &name, Base::Incarnation incarnation) const
{
    const auto it = m_leaving.find(name);
    return it != m_leaving.end() && incarnation <= it->second;
}

std::vector<Base::HostId> Membership::usableRouters() const
{
    std::vector<Base::HostId> routers;
    if (!m_isSelfLeaving)
        routers.push_back(m_self.host);
    for (const auto &[host, member] : m_others) {
        if (!member.isAlive || member.state == MemberState::Leaving)
            continue;
        routers.push_back(host);
    }
    std::sort(routers.begin(), routers.end());
    return routers;
}

void Membership::markLeaving(const std::string &name, Base::Incarnation incarnation)
{
    Base::Incarnation &marked = m_leaving[name];
    marked = std::max(marked, incarnation);
}

} // namespace Coordination
