#include "coordination/membership.h"

#include "coordination/homemap.h"

#include <algorithm>

namespace Coordination {

namespace {

const Base::PoolId pollerDuty("duty/configuration");

bool isSpare(const PoolSummary &pool)
{
    return pool.freePermits > 0 && pool.waiting == 0;
}

/// Whether neither is more than twice the other, nor only one of them zero.
bool isNear(double a, double b)
{
    return std::max(a, b) <= 2 * std::min(a, b);
}

bool isNear(const PoolSummary &a, const PoolSummary &b)
{
    return isNear(a.waiting, b.waiting) && isNear(a.freePermits, b.freePermits)
           && isNear(a.drainRate, b.drainRate);
}

void put(std::vector<PoolSummary> &pools, const PoolSummary &summary)
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
                         && policy.suspectAfter > policy.heartbeatInterval
                         && policy.largestStretch >= 1 && policy.heartbeatsPerFull > 0;
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
    // Leaving holds for good, so it is taken from an old list as well.
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
    // A heartbeat of a later start knows its addresses better than a list that lags.
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
    Member *member = learn(heartbeat);
    if (!member)
        return;
    if (heartbeat.incarnation > member->incarnation)
        begin(*member, heartbeat);
    // A late or doubled heartbeat says nothing of now.
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
    takePools(*member, heartbeat);
    takeLife(*member, now);
}

Member *Membership::learn(const Heartbeat &heartbeat)
{
    const auto it = m_others.find(heartbeat.host);
    const bool isTelling = heartbeat.isFull && !heartbeat.peerAddress.empty();
    if (it == m_others.end() && !isTelling)
        return nullptr;
    Member &member = m_others[heartbeat.host];
    member.host = heartbeat.host;
    if (!isTelling || heartbeat.incarnation < member.incarnation)
        return &member;
    member.zone = heartbeat.zone;
    member.peerAddress = heartbeat.peerAddress;
    member.callerAddress = heartbeat.callerAddress;
    return &member;
}

void Membership::begin(Member &member, const Heartbeat &heartbeat)
{
    member.incarnation = heartbeat.incarnation;
    member.sequence = 0;
    member.configurationVersion = 0;
    member.pools.clear();
    ++m_viewVersion;
    // It starts with nothing: it must hear the marks at once.
    m_isFullDue = true;
}

void Membership::takePools(Member &member, const Heartbeat &heartbeat)
{
    if (heartbeat.isFull) {
        member.pools = heartbeat.pools;
        return;
    }
    for (const PoolSummary &summary : heartbeat.pools)
        put(member.pools, summary);
}

void Membership::takeLife(Member &member, Base::TimePoint now)
{
    if (!member.isAlive && now - member.heardAt >= patience(member))
        member.steadySince = now;
    member.heardAt = now;
    if (member.isAlive)
        return;
    if (now - member.lostAt >= m_policy.flapWindow)
        member.losses = 0;
    if (now - member.steadySince < holdFor(member))
        return;
    member.isAlive = true;
    m_isFullDue = true;
    ++m_viewVersion;
}

Base::Duration Membership::holdFor(const Member &member) const
{
    if (member.losses < 2)
        return Base::Duration::zero();
    return std::min<Base::Duration>(member.losses * m_policy.flapHold, m_policy.flapHoldLargest);
}

Base::Duration Membership::patience(const Member &member) const
{
    const Base::Duration longer = member.interval - m_policy.heartbeatInterval;
    const auto missed = m_policy.suspectAfter / m_policy.heartbeatInterval;
    return m_policy.suspectAfter + std::max(longer, Base::Duration::zero()) * missed;
}

void Membership::lose(Member &member, Base::TimePoint now)
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
        lose(it->second, now);
}

void Membership::advance(Base::TimePoint now)
{
    // This process was paused, not all others at once: what they sent meanwhile is still in
    // its sockets. Without this a router that wakes would take every shard for its own.
    const Base::Duration pause = now - m_lastAdvance;
    const bool isWaking = m_lastAdvance != Base::TimePoint{} && pause >= m_policy.suspectAfter;
    m_lastAdvance = now;
    m_marks.advance(now);
    for (auto it = m_others.begin(); it != m_others.end();) {
        Member &member = it->second;
        if (isWaking && member.isAlive)
            member.heardAt += pause;
        if (member.isAlive && now - member.heardAt >= patience(member))
            lose(member, now);
        const bool isGone =
            !member.isAlive && !member.isListed && now - member.heardAt >= m_policy.forgetAfter;
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
    heartbeat.leaving = m_marks.takeTold(heartbeat.isFull);
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
                      [this](const PoolSummary &summary) { return !isNews(summary); });
    }
    for (const PoolSummary &summary : heartbeat.pools)
        m_toldPools[{summary.pool, summary.shard}] = {summary, m_sentAt};
}

bool Membership::isNews(const PoolSummary &summary) const
{
    const auto told = m_toldPools.find({summary.pool, summary.shard});
    if (told == m_toldPools.end())
        return true;
    if (isSpare(summary) && !isSpare(told->second.summary))
        return true;
    return m_sentAt - told->second.at >= m_policy.poolInterval
           && !isNear(told->second.summary, summary);
}

void Membership::setStretch(double stretch)
{
    m_stretch = std::clamp(stretch, 1.0, m_policy.largestStretch);
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
    return inZone.empty() ? m_self.host : homeOrder(pollerDuty, 0, inZone).front();
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
