#pragma once

#include "base/time.h"

#include <algorithm>
#include <ctime>

/// Returns the processor time of this thread, which other processes on the machine do not change
/// much.
inline Base::Duration threadCpuTime()
{
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return std::chrono::duration_cast<Base::Duration>(std::chrono::seconds(time.tv_sec)
                                                      + std::chrono::nanoseconds(time.tv_nsec));
}

/// Returns the least processor time that a run of \a work took. Of several runs, the least one is
/// disturbed least.
template <typename Work>
Base::Duration leastCpuTime(Work work)
{
    constexpr int runs = 7;
    Base::Duration least = Base::Duration::max();
    for (int i = 0; i < runs; ++i) {
        const Base::Duration begin = threadCpuTime();
        work();
        least = std::min(least, threadCpuTime() - begin);
    }
    return least;
}
