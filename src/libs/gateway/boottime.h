#pragma once

#include "base/time.h"

#include <ctime>

namespace Gateway {

/// Monotonic time that also counts while the host is suspended (CLOCK_BOOTTIME), as a
/// Base::TimePoint of its own: never mixed with Base::Clock::now().
///
/// The steady clock stands still during a suspension. With it a host that wakes would take its
/// lease on the configuration for fresh, and use keys that were taken away meanwhile.
inline Base::TimePoint bootTimeNow()
{
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return Base::TimePoint(std::chrono::seconds(time.tv_sec)
                           + std::chrono::nanoseconds(time.tv_nsec));
}

} // namespace Gateway
