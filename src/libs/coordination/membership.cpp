#include "coordination/membership.h"

#include "coordination/homemap.h"

#include <algorithm>

namespace Coordination {

namespace {

/// Key of the rendezvous hash that elects a zone's poller. It is no pool of servers.
const Base::PoolId pollerElection("duty/configuration");

bool hasSparePermits(const PoolSummary &pool)
{
    return pool.freePermits > 0 && pool.waiting == 0;
}

/// Whether neither value is more than twice the other. Zero is only within range of zero.
bool isWithinFactorTwo(double a, double b)
{
    return std::max(a, b) <= 2 * std::min(a, b);
}

bool isWithinFactorTwo(const PoolSummary &a, const PoolSummary &b)
{
    return isWithinFactorTwo(a.waiting, b.waiting)
           && isWithinFactorTwo(a.freePermits, b.freePermits)
           && isWithinFactorTwo(a.drainRate, b.drainRate);
}

void replaceOrAdd(std::vector<PoolSummary> &pools, const PoolSummary &summary)
{
    std::erase_if(pools, [&](const PoolSummary &pool) {
        return pool.pool == summary.pool && pool.shard == summary.shard;
    });
    pools.push_back(summary);
}

} // namespace

Base::Result<Membership> Membership::create(const MembershipPolicy &policy,
                                            const RouterIdentity &self)
{
    const bool isValid = policy.heartbeatInterval > Base::Duration::zero()
                         && policy.suspectAfter > policy.heartbeatInterval && policy.maxStretch >= 1
                         && policy.heartbeatsPerFull > 0;
    if (!isValid)
        return boost::leaf::new_error(InvalidMembershipPolicy{});
    return Membership(policy, self);
}

Membership::Membership(const MembershipPolicy &policy, const RouterIdentity &self)
    : m_policy(policy)
    , m_self(self)
    , m_marks(policy.leaving)
{}

void Membership::seed(const Storage::HostListing &listing, Base::TimePoint now)
{
    // A start that is leaving never becomes live again, so that marks of an old list are valid.
    for (const Storage::ListedHost &listed : listing.hosts) {
        if (listed.state == Storage::HostState::Leaving)
            markLeaving(listed.name, listed.incarnation);
    }
    if (listing.version < m_listVersion)
        return;
    m_listVersion = listing.version;
    for (auto &[host, member] : m_others)
        member.isListed = false;
    for (const Storage::ListedHost &listed : listing.hosts) {
        if (listed.role == Storage::HostRole::Router && listed.name != m_self.host.value())
            seedRouter(listed);
    }
    m_marks.reconcile(listing, now);
}

void Membership::seedRouter(const Storage::ListedHost &listed)
{
    Member &member = m_others[Base::HostId(listed.name)];
    member.isListed = true;
    // The addresses from a heartbeat of a later start are newer than those in the list.
    if (member.incarnation > listed.incarnation && !member.peerAddress.empty())
        return;
    member.host = Base::HostId(listed.name);
    member.zone = listed.zone;
    member.peerAddress = listed.address;
    member.callerAddress = listed.callerAddress;
}

void Membership::receive(const Heartbeat &heartbeat, Base::TimePoint now)
{
    if (heartbeat.host == m_self.host)
        return;
    for (const LeavingMark &mark : heartbeat.leaving)
        markLeaving(mark.name, mark.incarnation);
    if (heartbeat.state == MemberState::Leaving)
        markLeaving(heartbeat.host.value(), heartbeat.incarnation);
    Member *member = findOrAdd(heartbeat);
    if (!member)
        return;
    if (heartbeat.incarnation > member->incarnation)
        resetForNewStart(*member, heartbeat);
    // A delayed or duplicated heartbeat does not prove that the member is alive now.
    const bool isOld = member->sequence != 0 && heartbeat.sequence <= member->sequence;
    if (heartbeat.incarnation < member->incarnation || isOld)
        return;
    member->sequence = heartbeat.sequence;
    member->interval = heartbeat.interval;
    member->configurationVersion =
        std::max(member->configurationVersion, heartbeat.configurationVersion);
    const bool isLeaving = m_marks.covers(heartbeat.host.value(), heartbeat.incarnation);
    const MemberState state = isLeaving ? MemberState::Leaving : MemberState::Live;
    if (member->state != state)
        ++m_viewVersion;
    member->state = state;
    applyPools(*member, heartbeat);
    recordHeartbeat(*member, now);
}

Member *Membership::findOrAdd(const Heartbeat &heartbeat)
{
    const auto it = m_others.find(heartbeat.host);
    const bool hasAddresses = heartbeat.isFull && !heartbeat.peerAddress.empty();
    if (it == m_others.end() && !hasAddresses)
        return nullptr;
    Member &member = m_others[heartbeat.host];
    member.host = heartbeat.host;
    if (!hasAddresses || heartbeat.incarnation < member.incarnation)
        return &member;
    member.zone = heartbeat.zone;
    member.peerAddress = heartbeat.peerAddress;
    member.callerAddress = heartbeat.callerAddress;
    return &member;
}

void Membership::resetForNewStart(Member &member, const Heartbeat &heartbeat)
{
    member.incarnation = heartbeat.incarnation;
    member.sequence = 0;
    member.configurationVersion = 0;
    member.pools.clear();
    ++m_viewVersion;
    // The new start knows no leaving marks yet and needs all of them at once.
    m_isFullDue = true;
}

void Membership::applyPools(Member &member, const Heartbeat &heartbeat)
{
    if (heartbeat.isFull) {
        member.pools = heartbeat.pools;
        return;
    }
    for (const PoolSummary &summary : heartbeat.pools)
        replaceOrAdd(member.pools, summary);
}

void Membership::recordHeartbeat(Member &member, Base::TimePoint now)
{
    if (!member.isAlive && now - member.lastHeardAt >= suspectTimeout(member))
        member.steadySince = now;
    member.lastHeardAt = now;
    if (member.isAlive)
        return;
    if (now - member.lostAt >= m_policy.flapWindow)
        member.losses = 0;
    if (now - member.steadySince < holdDownTime(member))
        return;
    member.isAlive = true;
    m_isFullDue = true;
    ++m_viewVersion;
}

Base::Duration Membership::holdDownTime(const Member &member) const
{
    if (member.losses < 2)
        return Base::Duration::zero();
    return std::min<Base::Duration>(member.losses * m_policy.holdDownStep, m_policy.maxHoldDown);
}

Base::Duration Membership::suspectTimeout(const Member &member) const
{
    const Base::Duration extraInterval = member.interval - m_policy.heartbeatInterval;
    const auto missedHeartbeats = m_policy.suspectAfter / m_policy.heartbeatInterval;
    return m_policy.suspectAfter
           + std::max(extraInterval, Base::Duration::zero()) * missedHeartbeats;
}

void Membership::markLost(Member &member, Base::TimePoint now)
{
    member.isAlive = false;
    if (now - member.lostAt >= m_policy.flapWindow)
        member.losses = 0;
    ++member.losses;
    member.lostAt = now;
    member.steadySince = now;
    ++m_viewVersion;
}

void Membership::recordUnreachable(const Base::HostId &host, Base::TimePoint now)
{
    const auto it = m_others.find(host);
    if (it != m_others.end() && it->second.isAlive)
        markLost(it->second, now);
}

void Membership::advance(Base::TimePoint now)
{
    // After a long gap this process was paused rather than all others dead; their heartbeats are
    // still in its sockets. Without this check a router that resumes would regard itself as the
    // home of every shard.
    const Base::Duration pause = now - m_lastAdvance;
    const bool wasPaused = m_lastAdvance != Base::TimePoint{} && pause >= m_policy.suspectAfter;
    m_lastAdvance = now;
    m_marks.advance(now);
    for (auto it = m_others.begin(); it != m_others.end();) {
        Member &member = it->second;
        if (wasPaused && member.isAlive)
            member.lastHeardAt += pause;
        if (member.isAlive && now - member.lastHeardAt >= suspectTimeout(member))
            markLost(member, now);
        const bool isGone =
            !member.isAlive && !member.isListed && now - member.lastHeardAt >= m_policy.forgetAfter;
        it = isGone ? m_others.erase(it) : std::next(it);
    }
}

void Membership::beginLeaving()
{
    m_isSelfLeaving = true;
    m_isFullDue = true;
    m_nextHeartbeat = {};
    ++m_viewVersion;
}

std::optional<Heartbeat> Membership::dueHeartbeat(Base::TimePoint now)
{
    if (now < m_nextHeartbeat)
        return std::nullopt;
    const auto interval =
        std::chrono::duration_cast<Base::Milliseconds>(m_policy.heartbeatInterval * m_stretch);
    m_nextHeartbeat = now + interval;
    m_sentAt = now;
    Heartbeat heartbeat;
    heartbeat.host = m_self.host;
    heartbeat.incarnation = m_self.incarnation;
    heartbeat.sequence = ++m_sequence;
    heartbeat.state = m_isSelfLeaving ? MemberState::Leaving : MemberState::Live;
    heartbeat.isFull = m_isFullDue || m_sequence % m_policy.heartbeatsPerFull == 0;
    heartbeat.leaving = m_marks.takeForHeartbeat(heartbeat.isFull);
    heartbeat.interval = interval;
    m_isFullDue = false;
    if (!heartbeat.isFull)
        return heartbeat;
    heartbeat.zone = m_self.zone;
    heartbeat.peerAddress = m_self.peerAddress;
    heartbeat.callerAddress = m_self.callerAddress;
    return heartbeat;
}

void Membership::omitUnchanged(Heartbeat &heartbeat)
{
    if (!heartbeat.isFull) {
        std::erase_if(heartbeat.pools,
                      [this](const PoolSummary &summary) { return !isWorthSending(summary); });
    }
    for (const PoolSummary &summary : heartbeat.pools)
        m_sentPools[{summary.pool, summary.shard}] = {summary, m_sentAt};
}

bool Membership::isWorthSending(const PoolSummary &summary) const
{
    const auto lastSent = m_sentPools.find({summary.pool, summary.shard});
    if (lastSent == m_sentPools.end())
        return true;
    if (hasSparePermits(summary) && !hasSparePermits(lastSent->second.summary))
        return true;
    return m_sentAt - lastSent->second.sentAt >= m_policy.poolUpdateInterval
           && !isWithinFactorTwo(lastSent->second.summary, summary);
}

void Membership::setStretch(double stretch)
{
    m_stretch = std::clamp(stretch, 1.0, m_policy.maxStretch);
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
    return m_marks.covers(name, incarnation);
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

Base::HostId Membership::zonePoller() const
{
    std::vector<Base::HostId> inZone;
    for (const Base::HostId &host : usableRouters()) {
        const auto it = m_others.find(host);
        if (it == m_others.end() || it->second.zone == m_self.zone)
            inZone.push_back(host);
    }
    return inZone.empty() ? m_self.host : homeOrder(pollerElection, 0, inZone).front();
}

void Membership::markLeaving(const std::string &name, Base::Incarnation incarnation)
{
    if (!m_marks.add(name, incarnation))
        return;
    ++m_viewVersion;
    if (name == m_self.host.value() && m_self.incarnation <= incarnation) {
        m_isSelfLeaving = true;
        return;
    }
    const auto it = m_others.find(Base::HostId(name));
    if (it != m_others.end() && it->second.incarnation <= incarnation)
        it->second.state = MemberState::Leaving;
}

} // namespace Coordination
