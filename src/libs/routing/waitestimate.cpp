#include "routing/waitestimate.h"

#include <algorithm>

namespace Routing {

namespace {

using std::chrono::milliseconds;

/// The share of its start target for which a request may wait here. A request that waits longer
/// would start late at a server too, and another host or a later time serves its caller better.
constexpr double maxWaitShare = 0.5;
constexpr milliseconds minRetryAfter{200};
constexpr milliseconds maxRetryAfter{2000};
/// The longest time after which a caller is told to come back while all servers want no requests.
/// Other servers may come meanwhile.
constexpr milliseconds maxBackoffRetryAfter{30'000};

Base::Duration toDuration(double milliseconds)
{
    return std::chrono::duration_cast<Base::Duration>(
        std::chrono::duration<double, std::milli>(milliseconds));
}

/// Returns work that is bound to the regions of \a work and to nothing else.
Work inRegionsOf(const Work &work)
{
    Work bound;
    bound.residency = work.residency;
    return bound;
}

} // namespace

Base::TimePoint WaitEstimate::latestPlacement(const Work &work)
{
    return work.arrivedAt
           + std::chrono::duration_cast<Base::Duration>((work.startBy - work.arrivedAt)
                                                        * maxWaitShare);
}

std::optional<RejectionReason> WaitEstimate::unavailability(const Work &work,
                                                            Base::TimePoint now) const
{
    if (!m_pool->hasEligibleServer())
        return RejectionReason::NoServer;
    if (work.residency.isRestricted() && !m_pool->hasEligibleServer(inRegionsOf(work)))
        return RejectionReason::NoRegion;
    if (!m_pool->hasEligibleServer(work))
        return RejectionReason::NoVersion;
    const Base::Duration backoff = m_pool->commonBackoff(work, now);
    if (backoff > Base::Duration::zero() && now + backoff > latestPlacement(work))
        return RejectionReason::BackedOff;
    return std::nullopt;
}

Base::Duration WaitEstimate::expectedWait(const Work &work, Base::TimePoint now) const
{
    if (work.isContinuation && work.softwareVersion) {
        const auto ahead = static_cast<double>(m_waiting->tokensTakenUp(*work.softwareVersion));
        return toDuration(ahead / drainTokensPerMs(work, now));
    }
    // Customers take turns, so the wait of a customer is the time for its own requests multiplied
    // by the number of customers that wait.
    const std::uint64_t own = m_waiting->tokensOf(work.customer);
    const std::size_t customers = std::max<std::size_t>(m_waiting->customers(), 1);
    const double tokens = std::min(static_cast<double>(own) * static_cast<double>(customers),
                                   static_cast<double>(m_waiting->tokens()));
    return toDuration(tokens / drainTokensPerMs(work, now));
}

double WaitEstimate::drainTokensPerMs(const Work &work, Base::TimePoint now) const
{
    const auto hosts = static_cast<double>(std::max<std::size_t>(m_hosts, 1));
    const std::size_t willing = m_pool->willingServers(work, now);
    const auto servers = static_cast<double>(std::max<std::size_t>(willing, 1));
    return std::max(1.0, servers * m_pool->cost().traits().readTokensPerMs / hosts);
}

Base::Milliseconds WaitEstimate::retryAfter(const Work &work, Base::TimePoint now) const
{
    const double ms = static_cast<double>(m_waiting->tokens()) / drainTokensPerMs(work, now);
    const milliseconds drained =
        std::clamp(milliseconds(static_cast<std::int64_t>(ms)), minRetryAfter, maxRetryAfter);
    return std::max(drained, backoffRetryAfter(work, now));
}

Base::Milliseconds WaitEstimate::backoffRetryAfter(const Work &work, Base::TimePoint now) const
{
    return std::min(std::chrono::ceil<milliseconds>(m_pool->commonBackoff(work, now)),
                    maxBackoffRetryAfter);
}

} // namespace Routing
