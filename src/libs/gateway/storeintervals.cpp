#include "gateway/storeintervals.h"

#include <algorithm>

namespace Gateway {

namespace {

/// The bound that the times of a default StoreIntervals are made for.
constexpr double plainBoundMs = 2000;
/// Shorter times would meet reports that are still under way.
constexpr double leastStretch = 0.75;
/// Longer ones would show a server that crashed, or one that was added, later than callers notice.
constexpr double mostStretch = 2;

double milliseconds(Base::Milliseconds time)
{
    return static_cast<double>(time.count());
}

Base::Milliseconds stretched(Base::Milliseconds time, double stretch)
{
    return std::chrono::duration_cast<Base::Milliseconds>(time * stretch);
}

} // namespace

StoreIntervals StoreIntervals::within(const ChangeBounds &bounds)
{
    const StoreIntervals plain;
    const double change = milliseconds(std::min(bounds.configuration, bounds.leaving));
    // A host that reads itself must have its proof before the keys' time is over, also if its first
    // try is slow.
    const double lease = milliseconds(bounds.keyRevocation) * leaseShare;
    const double beforeLease =
        (lease - milliseconds(2 * slowReading)) / milliseconds(plain.readAfter);
    const double stretch =
        std::clamp(std::min(change / plainBoundMs, beforeLease), leastStretch, mostStretch);
    return {stretched(plain.watchWait, stretch), stretched(plain.serverInterval, stretch),
            stretched(plain.readAfter, stretch)};
}

} // namespace Gateway
