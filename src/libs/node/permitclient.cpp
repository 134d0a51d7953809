#include "node/permitclient.h"

#include "node/requesttraits.h"

#include <algorithm>
#include <utility>

namespace Node {

namespace {

using Base::Milliseconds;

Milliseconds toMilliseconds(Base::Duration duration)
{
    return std::chrono::duration_cast<Milliseconds>(duration);
}

/// Number of releases kept for repetition. They cover the last seconds of a busy entry host: a
/// home queries a permit three seconds after its last report.
constexpr std::size_t maxRememberedReleases = 1000;

PermitRelease unusedRelease(const AttemptId &attempt, const Base::PoolId &pool, std::uint32_t shard,
                            const Base::ServerId &server)
{
    PermitRelease release;
    release.attempt = attempt;
    release.pool = pool;
    release.shard = shard;
    release.server = server;
    release.outcome = Scheduling::PermitOutcome::NotUsed;
    return release;
}

} // namespace

PermitClient::PermitClient(const PermitContext &context)
    : m_context(context)
    , m_monitor(context.settings.homeMonitor)
{}

void PermitClient::requestPermit(OpenRequest &open, Base::TimePoint now)
{
    open.permitRequestedAt = now;
    open.shard = chooseShard(open.pool, now);
    waitAtHome(open, m_context.homeOrders.home(open.pool, open.shard), now);
}

void PermitClient::cancelPermitRequest(const OpenRequest &open)
{
    stopMonitoring(open);
    m_context.outbox.post(open.home, PermitCancel{open.attemptId(), open.pool, open.shard});
}

void PermitClient::stopMonitoring(const OpenRequest &open)
{
    m_monitor.remove({open.home, open.pool, open.shard}, open.attemptId());
}

void PermitClient::acceptGrant(OpenRequest &open, const Base::HostId &home,
                               const PermitGrant &grant)
{
    if (open.home == home)
        stopMonitoring(open);
    else
        cancelPermitRequest(open);
    open.home = home;
    open.homeIncarnation = incarnationOf(home);
    open.shard = grant.shard;
    open.server = grant.server;
    open.permit = grant.attempt;
}

void PermitClient::declineGrant(const Base::HostId &home, const PermitGrant &grant)
{
    m_context.outbox.post(home,
                          unusedRelease(grant.attempt, grant.pool, grant.shard, grant.server));
}

void PermitClient::charge(OpenRequest &open)
{
    m_context.outbox.post(open.home,
                          ServiceCharge{open.permit, open.pool, open.shard, open.received});
    open.charged = open.received;
}

void PermitClient::release(OpenRequest &open, Scheduling::PermitOutcome outcome,
                           Base::TimePoint now)
{
    PermitRelease release;
    release.attempt = open.permit;
    release.pool = open.pool;
    release.shard = open.shard;
    release.server = open.server;
    release.outcome = outcome;
    if (open.hasFirstPart)
        release.firstToken = toMilliseconds(open.firstPartAt - open.sentAt);
    release.whole = toMilliseconds(now - open.sentAt);
    release.units = open.received;
    open.receivedBefore += std::exchange(open.received, 0);
    open.charged = 0;
    m_context.outbox.post(open.home, release);
    rememberRelease(release);
}

void PermitClient::moveToCurrentHome(OpenRequest &open, Base::TimePoint now)
{
    const Base::HostId home = m_context.homeOrders.home(open.pool, open.shard);
    const bool isSame = home == open.home && incarnationOf(home) == open.homeIncarnation;
    if (isSame)
        return;
    if (open.state == RequestState::Waiting) {
        if (home == open.home)
            stopMonitoring(open);
        else
            cancelPermitRequest(open);
        waitAtHome(open, home, now);
        return;
    }
    if (!open.holdsPermit())
        return;
    open.home = home;
    open.homeIncarnation = incarnationOf(home);
    m_context.outbox.post(home, PermitHeld{open.permit, open.pool, open.shard, open.server,
                                           open.customer, open.target.name, open.charged});
}

HomeMonitor::Difference PermitClient::compare(const Base::HostId &home, const WaitingReply &reply)
{
    HomeMonitor::Difference difference = m_monitor.compare(home, reply);
    for (const AttemptId &attempt : difference.unwanted)
        m_context.outbox.post(home, PermitCancel{attempt, reply.pool, reply.shard});
    return difference;
}

void PermitClient::resendRequest(const OpenRequest &open, const Base::HostId &home,
                                 Base::TimePoint now)
{
    m_context.outbox.post(home, makePermitRequest(open, now));
}

void PermitClient::answerPermitQuery(const AttemptId &attempt, const Base::HostId &home,
                                     const Base::PoolId &pool, std::uint32_t shard)
{
    // The release was lost. The same release is sent again, so that its service is charged.
    const auto it = std::find_if(m_released.begin(), m_released.end(),
                                 [&](const PermitRelease &it) { return it.attempt == attempt; });
    if (it == m_released.end())
        m_context.outbox.post(home, unusedRelease(attempt, pool, shard, {}));
    else
        m_context.outbox.post(home, *it);
}

void PermitClient::rememberRelease(const PermitRelease &release)
{
    m_released.push_back(release);
    if (m_released.size() > maxRememberedReleases)
        m_released.pop_front();
}

void PermitClient::sendDigests(Base::TimePoint now)
{
    for (const HomeMonitor::Digest &digest : m_monitor.takeDigests(now))
        m_context.outbox.post(digest.home, digest.message);
}

Base::Incarnation PermitClient::incarnationOf(const Base::HostId &host) const
{
    const auto it = m_context.membership.others().find(host);
    return it == m_context.membership.others().end() ? 0 : it->second.incarnation;
}

std::uint32_t PermitClient::chooseShard(const Base::PoolId &pool, Base::TimePoint now)
{
    if (m_context.directory.shards(pool) == 1)
        return 0;
    const auto it = m_selectors.try_emplace(pool, m_context.settings.shardSelector).first;
    return it->second.choose(m_context.homes.shards(pool, now), m_context.environment.random);
}

void PermitClient::waitAtHome(OpenRequest &open, const Base::HostId &home, Base::TimePoint now)
{
    open.home = home;
    open.homeIncarnation = incarnationOf(home);
    m_monitor.add({home, open.pool, open.shard}, open.attemptId(), now);
    m_context.outbox.post(home, makePermitRequest(open, now));
}

PermitRequest PermitClient::makePermitRequest(const OpenRequest &open, Base::TimePoint now) const
{
    PermitRequest request;
    request.attempt = open.attemptId();
    request.pool = open.pool;
    request.shard = open.shard;
    request.customer = open.customer;
    request.workClass = open.target.name;
    request.waited = toMilliseconds(now - open.arrivedAt);
    request.startWithin = open.target.startWithin - request.waited;
    if (open.callerRequest.deadline)
        request.deadlineWithin = *open.callerRequest.deadline - request.waited;
    request.expectedCost = expectedCost(open.callerRequest);
    request.prefix = open.callerRequest.prefix;
    return request;
}

} // namespace Node
