#pragma once

#include "base/time.h"

#include <algorithm>

namespace Storage {

/// Limits the rate of calls and allows bursts (generic cell rate algorithm).
///
/// Many routers share one table. Each limits itself to its share, so that the sum over the fleet
/// stays within the table's capacity. Without the limit a surge of requests makes the table
/// refuse calls of every client, including those that read the configuration.
class RateLimiter
{
public:
    /// \a perSecond is the rate in calls per second. Up to \a burst calls, at least 1, may be sent
    /// back to back after an idle period.
    RateLimiter(double perSecond, int burst)
        : m_burst(std::max(burst, 1))
    {
        setRate(perSecond);
    }

    /// Sets the rate in calls per second; a value below minRate counts as minRate.
    void setRate(double perSecond)
    {
        const std::chrono::duration<double> interval(1.0 / std::max(perSecond, minRate));
        m_interval = std::chrono::duration_cast<Base::Duration>(interval);
    }

    /// Returns the earliest time at which the next call may be sent.
    Base::TimePoint nextAt() const { return m_fullAt - (m_burst - 1) * m_interval; }

    /// Returns whether a call may be sent at \a now, and counts it if so.
    bool tryTake(Base::TimePoint now)
    {
        if (now < nextAt())
            return false;
        m_fullAt = std::max(m_fullAt, now) + m_interval;
        return true;
    }

private:
    /// Calls per second; keeps the interval finite.
    static constexpr double minRate = 0.01;

    int m_burst = 1;
    Base::Duration m_interval{};
    /// Time at which the whole burst is available again.
    Base::TimePoint m_fullAt{};
};

} // namespace Storage
