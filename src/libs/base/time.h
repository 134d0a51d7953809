#pragma once

#include <chrono>

namespace Base {

/// Monotonic time of one process. Never compared between processes.
using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Duration = Clock::duration;
/// Calendar time; used only where days are counted (retention of claims), so that the
/// skew between hosts does not matter.
using WallTime = std::chrono::system_clock::time_point;

using Milliseconds = std::chrono::milliseconds;

} // namespace Base
