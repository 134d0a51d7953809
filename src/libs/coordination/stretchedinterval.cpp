#include "coordination/stretchedinterval.h"

namespace Coordination {

namespace {

/// Interval at which a stretched exchange is checked again.
constexpr Base::Duration recheckInterval = std::chrono::milliseconds(50);

} // namespace

StretchedInterval::StretchedInterval(Base::Duration interval)
    : m_interval(interval)
{}

bool StretchedInterval::take(Base::TimePoint now, double stretch)
{
    if (now < m_nextCheck)
        return false;
    const std::chrono::duration<double> passed = now - m_lastSentAt;
    if (m_hasSent && passed < m_interval * stretch) {
        m_nextCheck = now + recheckInterval;
        return false;
    }
    m_hasSent = true;
    m_lastSentAt = now;
    m_nextCheck = now + m_interval;
    return true;
}

} // namespace Coordination
