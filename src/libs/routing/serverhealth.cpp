#include "routing/serverhealth.h"

#include <algorithm>
#include <cmath>

namespace Routing {

namespace {

/// The weight of the latest outcome in the failure share. A server that fails half of its requests
/// is detected after about four of them.
constexpr double failureWeight = 0.2;
/// The weight of the latest time to the first event. These times vary by a factor of two with the
/// other requests that run.
constexpr double timeWeight = 0.15;
/// The time without news after which the cost of a slow or failing server has halved, so that it is
/// tried again.
constexpr Base::Duration halfLife = std::chrono::seconds(3);
/// The first cooldown after a server could not be reached, and the longest one. A restart takes
/// some seconds, but a connection that was refused under load should be tried again soon.
constexpr Base::Duration minCooldown = std::chrono::milliseconds(300);
constexpr Base::Duration maxCooldown = std::chrono::seconds(2);
/// The cooldown after a server answered that it is full: about as long as one of its requests runs.
constexpr Base::Duration noRoomCooldown = std::chrono::milliseconds(60);
constexpr double minSlowness = 0.5;
constexpr double maxSlowness = 20;

} // namespace

void ServerHealth::record(AttemptOutcome outcome, Base::TimePoint now)
{
    switch (outcome) {
    case AttemptOutcome::Withdrawn:
        return;
    case AttemptOutcome::NoRoom:
        m_usableAt = std::max(m_usableAt, now + noRoomCooldown);
        return;
    case AttemptOutcome::Served:
        m_failures = failureShare(now) * (1 - failureWeight);
        m_failuresAt = now;
        m_cooldown = Base::Duration::zero();
        return;
    case AttemptOutcome::Unreachable:
    case AttemptOutcome::WrongServer:
        startCooldown(m_cooldown == Base::Duration::zero() ? minCooldown : m_cooldown * 2, now);
        break;
    case AttemptOutcome::ServerError:
    case AttemptOutcome::Broken:
    case AttemptOutcome::Silent:
        break;
    }
    m_failures = failureShare(now) * (1 - failureWeight) + failureWeight;
    m_failuresAt = now;
}

void ServerHealth::recordStart(Base::Duration took, Base::Duration expected, Base::TimePoint now)
{
    if (expected <= Base::Duration::zero())
        return;
    const double ratio = static_cast<double>(took.count()) / static_cast<double>(expected.count());
    m_slowness =
        slowness(now) * (1 - timeWeight) + std::clamp(ratio, minSlowness, maxSlowness) * timeWeight;
    m_slownessAt = now;
}

double ServerHealth::failureShare(Base::TimePoint now) const
{
    return decayed(m_failures, 0, m_failuresAt, now);
}

double ServerHealth::slowness(Base::TimePoint now) const
{
    return decayed(m_slowness, 1, m_slownessAt, now);
}

void ServerHealth::startCooldown(Base::Duration cooldown, Base::TimePoint now)
{
    m_cooldown = std::min(cooldown, maxCooldown);
    m_usableAt = std::max(m_usableAt, now + m_cooldown);
}

double ServerHealth::decayed(double value, double baseline, Base::TimePoint since,
                             Base::TimePoint now) const
{
    if (since == Base::TimePoint::min())
        return value;
    const double halfLives =
        static_cast<double>((now - since).count()) / static_cast<double>(halfLife.count());
    return baseline + (value - baseline) * std::exp2(-halfLives);
}

} // namespace Routing
