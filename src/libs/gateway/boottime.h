#pragma once

#include "base/time.h"

#include <ctime>

namespace Gateway {

/// Returns the time of CLOCK_BOOTTIME, a monotonic clock that also counts while the host is
/// suspended. It must not be mixed with Base::Clock::now().
///
/// The steady clock stands still during a suspension. By that clock, a host that wakes up would
/// still hold its lease on the configuration, and would use keys that were revoked in the meantime.
inline Base::TimePoint bootTimeNow()
{
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return Base::TimePoint(std::chrono::seconds(time.tv_sec)
                           + std::chrono::nanoseconds(time.tv_nsec));
}

} // namespace Gateway
