#pragma once

#include "base/time.h"
#include "routing/entryselection.h"

#include <cmath>

namespace Routing {

/// Estimates the processor time that a host spends on forwarding, from the number of forwarded
/// requests and events.
///
/// The time is not read from the system because the process's own time includes reports and store
/// calls, which do not move to another host when callers do.
class ForwardingMeter
{
public:
    /// The cost of a request that is routed, sent and answered, and of one streamed event. On fast
    /// cores these are 27 and 22 us. Small hosts have slower cores, so the estimates are about
    /// twice that; the cost of a request also includes its decision over a hundred servers.
    static constexpr double requestMicroseconds = 125;
    static constexpr double eventMicroseconds = 40;
    /// The cost of a request that is refused at once.
    static constexpr double refusalMicroseconds = 80;

    /// Sets the ratio of the actual to the estimated cost for work that is added from now on
    /// (CostObserver).
    void setCostFactor(double factor) { m_costFactor = factor; }
    void addRequest(Base::TimePoint now) { add(requestMicroseconds, now); }
    void addEvents(std::size_t count, Base::TimePoint now)
    {
        add(eventMicroseconds * static_cast<double>(count), now);
    }
    /// Returns the mean load of the last seconds.
    MilliCores load(Base::TimePoint now) const
    {
        constexpr double microsecondsPerMilliCoreSecond = 1000;
        return static_cast<MilliCores>(decayed(now) / timeConstantSeconds()
                                       / microsecondsPerMilliCoreSecond);
    }

private:
    /// The half-life is long compared to variations between single seconds, and short compared to
    /// the time for which callers keep a list of hosts.
    static constexpr Base::Duration halfLife = std::chrono::milliseconds(1400);

    static double timeConstantSeconds()
    {
        return std::chrono::duration<double>(halfLife).count() / std::log(2.0);
    }
    void add(double microseconds, Base::TimePoint now)
    {
        m_microseconds = decayed(now) + microseconds * m_costFactor;
        m_at = now;
    }
    double decayed(Base::TimePoint now) const
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
