#include "scheduling/admissionpolicy.h"

#include <algorithm>

namespace Scheduling {

Base::Result<AdmissionPolicy> AdmissionPolicy::create(const AdmissionLimits &limits)
{
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
    if (pool.waitingOfCustomer >= m_limits.waitingPerCustomer)
        return refuse(RefusalReason::CustomerQueueFull, pool, random);
    if (pool.waiting >= m_limits.waitingPerPool)
        return refuse(RefusalReason::PoolQueueFull, pool, random);
    return std::nullopt;
}

AdmissionRefusal AdmissionPolicy::refuse(RefusalReason reason, const PoolState &pool,
                                         Base::RandomSource &random) const
{
    const double drain = std::max(pool.drainRate, 1.0);
    const double wait = 1000.0 * static_cast<double>(pool.waiting) / drain;
    const double jitter = 1.0 + static_cast<double>(random.next() % 1000) / 2000.0;
    const Base::Milliseconds proposed(static_cast<std::int64_t>(wait * jitter));
    return {reason, std::clamp(proposed, m_limits.smallestRetryAfter, m_limits.largestRetryAfter)};
}

} // namespace Scheduling
