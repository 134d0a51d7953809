#include "scheduling/admissionpolicy.h"

#include "scheduling/policyerror.h"

#include <algorithm>
#include <chrono>

namespace Scheduling {

namespace {

using Base::Milliseconds;

/// Upper bound of a predicted wait, in seconds. It keeps a tiny drain rate from overflowing
/// Base::Duration.
constexpr double maxPredictedWaitSeconds = 86400;

Base::Duration boundedDuration(double seconds)
{
    const std::chrono::duration<double> bounded(std::min(seconds, maxPredictedWaitSeconds));
    return std::chrono::duration_cast<Base::Duration>(bounded);
}

} // namespace

Base::Result<AdmissionPolicy> AdmissionPolicy::create(const AdmissionLimits &limits)
{
    if (limits.maxWaitingPerCustomer == 0
        || limits.maxWaitingPerPool < limits.maxWaitingPerCustomer)
        return boost::leaf::new_error(InvalidPolicy{PolicyField::AdmissionBounds});
    if (limits.targetFactor < 1)
        return boost::leaf::new_error(InvalidPolicy{PolicyField::AdmissionTargetFactor});
    if (limits.minRetryAfter < Milliseconds(1) || limits.maxRetryAfter < limits.minRetryAfter)
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
    if (pool.waitingOfCustomer >= maxWaitingOfCustomer(pool))
        return refuse(RefusalReason::CustomerQueueFull, pool, random);
    if (pool.waiting >= m_limits.maxWaitingPerPool)
        return refuse(RefusalReason::PoolQueueFull, pool, random);
    const std::optional<Base::Duration> wait = predictedWait(pool);
    if (!wait)
        return std::nullopt;
    if (work.deadline && *work.deadline - now < *wait)
        return refuse(RefusalReason::DeadlineUnmeetable, pool, random);
    if (exceedsTargetByFar(work, pool, *wait))
        return refuse(RefusalReason::TargetUnmeetable, pool, random);
    return std::nullopt;
}

/// Applies the jitter after the bounds. With the bounds applied last, all callers refused while
/// the queue is long would get the upper bound and retry at the same time. The jitter ranges from
/// half to one and a half times the typical retry time, so that retries are spread over the time
/// that the backlog takes to drain and the first ones come before the backlog is gone.
AdmissionRefusal AdmissionPolicy::refuse(RefusalReason reason, const PoolState &pool,
                                         Base::RandomSource &random) const
{
    const Milliseconds typical =
        std::clamp(typicalRetryAfter(reason, pool), m_limits.minRetryAfter, m_limits.maxRetryAfter);
    const Milliseconds earliest = std::max(m_limits.minRetryAfter, typical / 2);
    const auto spread = static_cast<std::uint64_t>((typical + typical / 2 - earliest).count()) + 1;
    return {reason, earliest + Milliseconds(static_cast<std::int64_t>(random.next() % spread))};
}

/// Models the queue as rounds in each of which one item of every backlogged customer starts.
/// New work waits one round for each earlier item of its customer and half a round on average
/// for its own turn, but never longer than it takes to start everything that waits.
std::optional<Base::Duration> AdmissionPolicy::predictedWait(const PoolState &pool) const
{
    if (pool.freePermits > pool.waiting)
        return Base::Duration::zero();
    if (pool.drainRate <= 0)
        return std::nullopt;
    const double rounds = static_cast<double>(pool.waitingOfCustomer) + 0.5;
    const double aheadInFairOrder = rounds * static_cast<double>(pool.backloggedCustomers);
    const double ahead = std::min(aheadInFairOrder, static_cast<double>(pool.waiting) + 1);
    return boundedDuration(ahead / pool.drainRate);
}

/// A customer may have as many items waiting as the queue has free places, up to
/// maxWaitingPerCustomer. A single flooding customer reaches that limit; when many flood, each
/// gets less and a part of the queue stays free for the others. A fixed limit would let ten
/// flooding customers fill the queue, and the first request of any other would be refused.
std::size_t AdmissionPolicy::maxWaitingOfCustomer(const PoolState &pool) const
{
    const std::size_t freePlaces =
        m_limits.maxWaitingPerPool - std::min(m_limits.maxWaitingPerPool, pool.waiting);
    return std::clamp<std::size_t>(freePlaces, 1, m_limits.maxWaitingPerCustomer);
}

/// Returns whether \a wait is too long for the start target. Work is never refused for this reason
/// while permits are free or while the customer has no other work waiting.
bool AdmissionPolicy::exceedsTargetByFar(const WaitingWork &work, const PoolState &pool,
                                         Base::Duration wait) const
{
    if (pool.freePermits > 0 || pool.waitingOfCustomer == 0)
        return false;
    const auto target = std::chrono::duration<double>(work.startBy - work.arrivedAt);
    const auto far = std::max(m_limits.targetFactor * target,
                              std::chrono::duration<double>(m_limits.minRefusedWait));
    return std::chrono::duration<double>(wait) > far;
}

Milliseconds AdmissionPolicy::typicalRetryAfter(RefusalReason reason, const PoolState &pool) const
{
    if (reason == RefusalReason::NoServer || pool.drainRate <= 0)
        return m_limits.defaultRetryAfter;
    PoolState state = pool;
    // The queue is full with the work of all customers and has room only as that work drains.
    if (reason == RefusalReason::PoolQueueFull)
        state.waitingOfCustomer = pool.waiting;
    const Base::Duration wait = predictedWait(state).value_or(Base::Duration::zero());
    return std::chrono::duration_cast<Milliseconds>(wait);
}

} // namespace Scheduling
