#include "scheduling/admissionpolicy.h"

#include "scheduling/policyerror.h"

#include <algorithm>
#include <chrono>

namespace Scheduling {

namespace {

using Base::Milliseconds;

/// No prediction is longer; keeps a tiny drain rate from overflowing a duration.
constexpr double longestSeconds = 86400;

Base::Duration secondsToDuration(double seconds)
{
    const std::chrono::duration<double> bounded(std::min(seconds, longestSeconds));
    return std::chrono::duration_cast<Base::Duration>(bounded);
}

} // namespace

Base::Result<AdmissionPolicy> AdmissionPolicy::create(const AdmissionLimits &limits)
{
    if (limits.waitingPerCustomer == 0 || limits.waitingPerPool < limits.waitingPerCustomer)
        return boost::leaf::new_error(InvalidPolicy{PolicyField::AdmissionBounds});
    if (limits.targetFactor < 1)
        return boost::leaf::new_error(InvalidPolicy{PolicyField::AdmissionTargetFactor});
    if (limits.smallestRetryAfter < Milliseconds(1)
        || limits.largestRetryAfter < limits.smallestRetryAfter)
        return boost::leaf::new_error(InvalidPolicy{PolicyField::AdmissionRetryAfter});
    return AdmissionPolicy(limits);
}

AdmissionPolicy::AdmissionPolicy(const AdmissionLimits &limits)
    : m_limits(limits)
{}

std::optional<AdmissionRefusal> AdmissionPolicy::refusalFor(const WaitingWork &work,
                                                            const PoolState &pool,
                                                            Base::TimePoint now,
                                                            Base::RandomSource &random) const
{
    if (pool.usableServers == 0)
        return refuse(RefusalReason::NoServer, pool, random);
    if (work.deadline && *work.deadline <= now)
        return refuse(RefusalReason::DeadlinePassed, pool, random);
    if (pool.waitingOfCustomer >= customerBound(pool))
        return refuse(RefusalReason::CustomerQueueFull, pool, random);
    if (pool.waiting >= m_limits.waitingPerPool)
        return refuse(RefusalReason::PoolQueueFull, pool, random);
    const std::optional<Base::Duration> wait = predictedWait(pool);
    if (!wait)
        return std::nullopt;
    if (work.deadline && *work.deadline - now < *wait)
        return refuse(RefusalReason::DeadlineUnmeetable, pool, random);
    if (missesTargetByFar(work, pool, *wait))
        return refuse(RefusalReason::TargetUnmeetable, pool, random);
    return std::nullopt;
}

/// Jitter comes after the bounds: bounded last, all callers refused under a long queue would
/// get the upper bound and come back in the same instant. From half to one and a half times
/// the typical return time, the work comes back over as long a time as the backlog takes to
/// drain, and the first of it before the backlog is gone.
AdmissionRefusal AdmissionPolicy::refuse(RefusalReason reason, const PoolState &pool,
                                         Base::RandomSource &random) const
{
    const Milliseconds typical = std::clamp(
        typicalReturn(reason, pool), m_limits.smallestRetryAfter, m_limits.largestRetryAfter);
    const Milliseconds earliest = std::max(m_limits.smallestRetryAfter, typical / 2);
    const auto spread = static_cast<std::uint64_t>((typical + typical / 2 - earliest).count()) + 1;
    return {reason, earliest + Milliseconds(static_cast<std::int64_t>(random.next() % spread))};
}

/// In each round every backlogged customer has one work started. New work waits for a round
/// for each work of its customer before it and half a round on average for its own; never
/// longer than until everything that waits has started.
std::optional<Base::Duration> AdmissionPolicy::predictedWait(const PoolState &pool) const
{
    if (pool.freePermits > pool.waiting)
        return Base::Duration::zero();
    if (pool.drainRate <= 0)
        return std::nullopt;
    const double rounds = static_cast<double>(pool.waitingOfCustomer) + 0.5;
    const double fair = rounds * static_cast<double>(pool.backloggedCustomers);
    const double ahead = std::min(fair, static_cast<double>(pool.waiting) + 1);
    return secondsToDuration(ahead / pool.drainRate);
}

/// A customer may hold as much of the queue as is left free. One that floods gets its whole
/// bound; when many flood, each gets less and a part stays free for those that do not. A fixed
/// bound would let ten flooding customers fill the queue and turn away the others' first work.
std::size_t AdmissionPolicy::customerBound(const PoolState &pool) const
{
    const std::size_t left =
        m_limits.waitingPerPool - std::min(m_limits.waitingPerPool, pool.waiting);
    return std::clamp<std::size_t>(left, 1, m_limits.waitingPerCustomer);
}

bool AdmissionPolicy::missesTargetByFar(const WaitingWork &work, const PoolState &pool,
                                        Base::Duration wait) const
{
    if (pool.freePermits > 0 || pool.waitingOfCustomer == 0)
        return false;
    const auto target = std::chrono::duration<double>(work.startBy - work.arrivedAt);
    const auto far = std::max(m_limits.targetFactor * target,
                              std::chrono::duration<double>(m_limits.smallestRefusedWait));
    return std::chrono::duration<double>(wait) > far;
}

Milliseconds AdmissionPolicy::typicalReturn(RefusalReason reason, const PoolState &pool) const
{
    if (reason == RefusalReason::NoServer || pool.drainRate <= 0)
        return m_limits.retryAfterWithoutRate;
    PoolState asked = pool;
    // A full pool is the backlog of all; only when that drains is there room again.
    if (reason == RefusalReason::PoolQueueFull)
        asked.waitingOfCustomer = pool.waiting;
    const Base::Duration wait = predictedWait(asked).value_or(Base::Duration::zero());
    return std::chrono::duration_cast<Milliseconds>(wait);
}

} // namespace Scheduling
