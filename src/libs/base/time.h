#pragma once

#include <chrono>

namespace Base {

/// Monotonic clock of one process. Its values cannot be compared between processes.
using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Duration = Clock::duration;
/// Calendar time, which hosts can compare. Claims use it for their leases and their retention, with
/// a margin for the clock skew between hosts; spans use it for their start times.
using WallTime = std::chrono::system_clock::time_point;

using Milliseconds = std::chrono::milliseconds;

} // namespace Base
