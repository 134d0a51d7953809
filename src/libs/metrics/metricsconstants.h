#pragma once

#include <cstddef>

namespace Metrics {

/// Maximum number of instruments in one family. Every customer of the fleet (9,400) can have one.
inline constexpr std::size_t maxFamilySize = 10000;
/// Value of every label of the instrument that is shared beyond maxFamilySize.
inline constexpr char overflowLabel[] = "other";
/// Content-Type of Prometheus's text exposition format.
inline constexpr char textContentType[] = "text/plain; version=0.0.4; charset=utf-8";

} // namespace Metrics
