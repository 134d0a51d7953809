#include "gateway/storeintervals.h"

#include <algorithm>

namespace Gateway {

namespace {

/// The bound that the default intervals are made for.
constexpr double defaultBoundMs = 2000;
/// With shorter intervals, hosts would read the store while reports are still under way.
constexpr double minStretch = 0.75;
/// With longer intervals, a crashed or an added server would show up later than callers notice.
constexpr double maxStretch = 2;

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
    const StoreIntervals defaults;
    const double changeBoundMs = milliseconds(std::min(bounds.configuration, bounds.leaving));
    // A host that has to read the store itself must have its proof before the lease ends, even if
    // its first try is slow.
    const double leaseMs = milliseconds(bounds.keyRevocation) * leaseShare;
    const double leaseStretch =
        (leaseMs - milliseconds(2 * slowReadLatency)) / milliseconds(defaults.fallbackReadAge);
    const double stretch =
        std::clamp(std::min(changeBoundMs / defaultBoundMs, leaseStretch), minStretch, maxStretch);
    return {stretched(defaults.watchWait, stretch), stretched(defaults.serverInterval, stretch),
            stretched(defaults.fallbackReadAge, stretch)};
}

} // namespace Gateway
