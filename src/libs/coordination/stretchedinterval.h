#pragma once

#include "base/time.h"

namespace Coordination {

/// When an exchange that can wait is sent, obeying TrafficMeter::stretch().
///
/// The stretch is asked for at each look, not once at the last sending: a stretch of the moment
/// (the stop at a full window is a thousandfold) then ends as soon as its cause does.
class StretchedInterval
{
public:
    explicit StretchedInterval(Base::Duration interval);

    /// Whether to send now; if so, the next interval begins.
    bool take(Base::TimePoint now, double stretch);
    /// When to look again.
    Base::TimePoint nextDue() const { return m_nextLook; }

private:
    Base::Duration m_interval;
    Base::TimePoint m_takenAt{};
    Base::TimePoint m_nextLook{};
    bool m_isTaken = false;
};

} // namespace Coordination
