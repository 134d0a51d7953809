#pragma once

#include "base/time.h"

#include <algorithm>

namespace Storage {

/// Spaces calls to a rate and lets a burst through (generic cell rate algorithm).
///
/// Answers the load pattern of many daemons before one table: each keeps to its share, so the
/// fleet's sum stays within what the table bears. Without it a surge at the callers becomes
/// refusals at the table for everybody, the configuration's readers included.
class RateLimiter
{
public:
    /// \a burst calls may leave at once after a pause; at least 1.
    RateLimiter(double perSecond, int burst)
        : m_burst(std::max(burst, 1))
    {
        setRate(perSecond);
    }

    /// In calls a second; anything below smallestRate is taken as that.
    void setRate(double perSecond)
    {
        const std::chrono::duration<double> interval(1.0 / std::max(perSecond, smallestRate));
        m_interval = std::chrono::duration_cast<Base::Duration>(interval);
    }

    /// The earliest time of the next call.
    Base::TimePoint nextAt() const { return m_fullAt - (m_burst - 1) * m_interval; }

    /// Whether a call may leave at \a now; it is then counted.
    bool tryTake(Base::TimePoint now)
    {
        if (now < nextAt())
            return false;
        m_fullAt = std::max(m_fullAt, now) + m_interval;
        return true;
    }

private:
    static constexpr double smallestRate = 0.01;

    int m_burst = 1;
    Base::Duration m_interval{};
    /// When the whole burst is there again.
    Base::TimePoint m_fullAt{};
};

} // namespace Storage
