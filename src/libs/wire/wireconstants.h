#pragma once

#include "base/time.h"

namespace Wire {

/// Largest magnitude of a duration that is accepted from a peer. Larger ones could overflow when
/// added to a time.
inline constexpr Base::Milliseconds largestDuration = std::chrono::hours(24 * 366);

/// Largest age of a folded ledger start that is accepted from a peer. Routers forget folded starts
/// long before they reach it.
inline constexpr std::chrono::seconds largestFoldedAge = std::chrono::hours(24 * 366);

} // namespace Wire
