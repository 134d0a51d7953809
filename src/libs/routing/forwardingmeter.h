#pragma once

#include "base/time.h"
#include "routing/entryselection.h"

#include <cmath>

namespace Routing {

/// Estimates the processor time that a host's forwarding takes, from what it forwards.
///
/// Counted rather than read from the system: the process's own time includes reports and store
/// calls, which do not move to another host when callers do.
class ForwardingMeter
{
public:
    /// A request that is decided, sent and answered, and one streamed event: what the users' small
    /// hosts are charged, about twice the 27 and 22 us of docs/MEASUREMENTS.md for their slower
    /// cores, and for a request its decision over a hundred servers besides.
    static constexpr double requestMicroseconds = 125;
    static constexpr double eventMicroseconds = 40;
    /// A request that is turned away at once.
    static constexpr double refusalMicroseconds = 80;

    /// How many times longer than reckoned what comes from now on takes (CostObserver).
    void setCostFactor(double factor) { m_costFactor = factor; }
    void addRequest(Base::TimePoint now) { add(requestMicroseconds, now); }
    void addEvents(std::size_t count, Base::TimePoint now)
    {
        add(eventMicroseconds * static_cast<double>(count), now);
    }
    /// The mean of the last seconds.
    MilliCores load(Base::TimePoint now) const
    {
        constexpr double microsecondsPerMilliCoreSecond = 1000;
        return static_cast<MilliCores>(faded(now) / meanSeconds() / microsecondsPerMilliCoreSecond);
    }

private:
    /// Long against the swings of single seconds, short against the lists that callers keep.
    static constexpr Base::Duration halfLife = std::chrono::milliseconds(1400);

    static double meanSeconds()
    {
        return std::chrono::duration<double>(halfLife).count() / std::log(2.0);
    }
    void add(double microseconds, Base::TimePoint now)
    {
        m_microseconds = faded(now) + microseconds * m_costFactor;
        m_at = now;
    }
    double faded(Base::TimePoint now) const
    {
        if (m_microseconds <= 0)
            return 0;
        return m_microseconds
               * std::exp2(-static_cast<double>((now - m_at).count())
                           / static_cast<double>(halfLife.count()));
    }

    double m_costFactor = 1;
    double m_microseconds = 0;
    Base::TimePoint m_at;
};

} // namespace Routing
