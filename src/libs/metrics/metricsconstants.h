#pragma once

#include <cstddef>

namespace Metrics {

/// Instruments in one family. Enough for every customer of the fleet (9,400) to have one.
inline constexpr std::size_t largestChildren = 10000;
/// Value of every label of the instrument that is shared past largestChildren.
inline constexpr char overflowLabel[] = "other";
/// Content-Type of the text exposition format.
inline constexpr char textContentType[] = "text/plain; version=0.0.4; charset=utf-8";

} // namespace Metrics
