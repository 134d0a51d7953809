#pragma once

#include "base/time.h"

namespace Wire {

/// Longest duration taken from a peer, either way of zero. Larger ones would overflow when
/// added to a time.
inline constexpr Base::Milliseconds largestDuration = std::chrono::hours(24 * 366);

/// Longest age of a folded start taken from a peer; older ones are long forgotten.
inline constexpr std::chrono::seconds largestFoldedAge = std::chrono::hours(24 * 366);

} // namespace Wire
