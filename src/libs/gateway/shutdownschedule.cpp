#include "gateway/shutdownschedule.h"

namespace Gateway {

namespace {

/// Shares of the shutdown grace, counted from the signal.
/// Up to the first one, requests are taken that may last longer than the process.
constexpr double longWorkShare = 0.35;
/// From this one on, everything new is refused, and the process stops once nothing is open.
constexpr double refusalShare = 0.65;
/// From this one on, open requests get their final answers.
constexpr double endShare = 0.9;
/// From this one on, answers that callers have not read are given up.
constexpr double stopShare = 0.97;
/// Servers may become slower while the process shuts down.
constexpr int usualTimeFactor = 2;

Base::TimePoint after(Base::TimePoint start, Base::Duration grace, double share)
{
    return start + std::chrono::duration_cast<Base::Duration>(grace * share);
}

} // namespace

ShutdownSchedule::ShutdownSchedule(Base::TimePoint signalledAt, Base::Duration grace)
    : m_longWorkUntil(after(signalledAt, grace, longWorkShare))
    , m_acceptsUntil(after(signalledAt, grace, refusalShare))
    , m_endsOpenAt(after(signalledAt, grace, endShare))
    , m_stopsAt(after(signalledAt, grace, stopShare))
{}

bool ShutdownSchedule::accepts(const ExpectedWork &work, Base::TimePoint now) const
{
    if (now >= m_acceptsUntil)
        return false;
    if (now < m_longWorkUntil || work.latestEnd <= m_endsOpenAt)
        return true;
    // A stream that has begun cannot be ended by a failure that its caller can tell from a cut.
    if (work.isStream || !work.usualTime)
        return false;
    return now + *work.usualTime * usualTimeFactor <= m_endsOpenAt;
}

bool ShutdownSchedule::isOver(bool isQuiet, Base::TimePoint now) const
{
    return now >= m_stopsAt || (isQuiet && now >= m_acceptsUntil);
}

} // namespace Gateway
