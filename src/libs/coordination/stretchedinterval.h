#pragma once

#include "base/time.h"

namespace Coordination {

/// Schedules a deferrable exchange whose interval is multiplied by TrafficMeter::stretch().
///
/// The caller passes the current stretch at every check rather than once after each message. A
/// short-lived stretch (a full window has a factor of 1000) then ends as soon as its cause does.
class StretchedInterval
{
public:
    explicit StretchedInterval(Base::Duration interval);

    /// Returns whether the exchange is due now, and begins the next interval if it is.
    bool take(Base::TimePoint now, double stretch);
    /// Time of the next check.
    Base::TimePoint nextDue() const { return m_nextCheck; }

private:
    Base::Duration m_interval;
    Base::TimePoint m_lastSentAt{};
    Base::TimePoint m_nextCheck{};
    bool m_hasSent = false;
};

} // namespace Coordination
