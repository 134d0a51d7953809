#include "routing/serverhealth.h"

#include <algorithm>
#include <cmath>

namespace Routing {

namespace {

/// The weight of the latest outcome in the failure share. A server that fails half of its requests
/// is detected after about four of them.
constexpr double newestFailure = 0.2;
/// The weight of the latest time to the first event. These times vary by a factor of two with the
/// other requests that run.
constexpr double newestTime = 0.15;
/// The time without news after which the cost of a slow or failing server has halved, so that it is
/// tried again.
constexpr Base::Duration halfLife = std::chrono::seconds(3);
/// The first cooldown after a server could not be reached, and the longest one. A restart takes
/// some seconds, but a connection that was refused under load should be tried again soon.
constexpr Base::Duration firstPause = std::chrono::milliseconds(300);
constexpr Base::Duration longestPause = std::chrono::seconds(2);
/// The cooldown after a server answered that it is full: about as long as one of its requests runs.
constexpr Base::Duration fullPause = std::chrono::milliseconds(60);
constexpr double leastSlowness = 0.5;
constexpr double mostSlowness = 20;

} // namespace

void ServerHealth::record(AttemptOutcome outcome, Base::TimePoint now)
{
    switch (outcome) {
    case AttemptOutcome::Withdrawn:
        return;
    case AttemptOutcome::NoRoom:
        m_usableAt = std::max(m_usableAt, now + fullPause);
        return;
    case AttemptOutcome::Served:
        m_failures = failureShare(now) * (1 - newestFailure);
        m_failedAt = now;
        m_pause = Base::Duration::zero();
        return;
    case AttemptOutcome::Unreachable:
    case AttemptOutcome::WrongServer:
        leaveAlone(m_pause == Base::Duration::zero() ? firstPause : m_pause * 2, now);
        break;
    case AttemptOutcome::ServerError:
    case AttemptOutcome::Broken:
    case AttemptOutcome::Silent:
        break;
    }
    m_failures = failureShare(now) * (1 - newestFailure) + newestFailure;
    m_failedAt = now;
}

void ServerHealth::recordStart(Base::Duration took, Base::Duration expected, Base::TimePoint now)
{
    if (expected <= Base::Duration::zero())
        return;
    const double ratio = static_cast<double>(took.count()) / static_cast<double>(expected.count());
    m_slowness = slowness(now) * (1 - newestTime)
                 + std::clamp(ratio, leastSlowness, mostSlowness) * newestTime;
    m_timedAt = now;
}

double ServerHealth::failureShare(Base::TimePoint now) const
{
    return decayed(m_failures, 0, m_failedAt, now);
}

double ServerHealth::slowness(Base::TimePoint now) const
{
    return decayed(m_slowness, 1, m_timedAt, now);
}

void ServerHealth::leaveAlone(Base::Duration pause, Base::TimePoint now)
{
    m_pause = std::min(pause, longestPause);
    m_usableAt = std::max(m_usableAt, now + m_pause);
}

double ServerHealth::decayed(double value, double rest, Base::TimePoint since,
                             Base::TimePoint now) const
{
    if (since == Base::TimePoint::min())
        return value;
    const double halfLives =
        static_cast<double>((now - since).count()) / static_cast<double>(halfLife.count());
    return rest + (value - rest) * std::exp2(-halfLives);
}

} // namespace Routing
