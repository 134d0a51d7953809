#include "coordination/stretchedinterval.h"

namespace Coordination {

namespace {

/// A stretched exchange is looked at this often.
constexpr Base::Duration lookInterval = std::chrono::milliseconds(50);

} // namespace

StretchedInterval::StretchedInterval(Base::Duration interval)
    : m_interval(interval)
{}

bool StretchedInterval::take(Base::TimePoint now, double stretch)
{
    if (now < m_nextLook)
        return false;
    const std::chrono::duration<double> passed = now - m_takenAt;
    if (m_isTaken && passed < m_interval * stretch) {
        m_nextLook = now + lookInterval;
        return false;
    }
    m_isTaken = true;
    m_takenAt = now;
    m_nextLook = now + m_interval;
    return true;
}

} // namespace Coordination
