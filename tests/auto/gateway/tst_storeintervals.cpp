#include "gateway/storeintervals.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>

using namespace Gateway;
using std::chrono::milliseconds;

TEST_CASE("readers call the store half as often under bounds that are twice as long", "[gateway]")
{
    // Six zones of a few hosts each pay a seventh of what they earn for calls of the store, 1,066
    // of 1,454 in 48 seconds by their readers. Cause: the times were made for the shortest bounds
    // of any deployment.
    const StoreIntervals times =
        StoreIntervals::within({milliseconds(4000), milliseconds(4000), milliseconds(5000)});
    CHECK(times.watchWait == milliseconds(1000));
    CHECK(times.serverInterval == milliseconds(1200));
}

TEST_CASE("whatever the bounds, a host that has to read itself keeps them", "[gateway]")
{
    rc::prop("any bounds", [] {
        const ChangeBounds bounds{milliseconds(*rc::gen::inRange(1500, 30000)),
                                  milliseconds(*rc::gen::inRange(1500, 30000)),
                                  milliseconds(*rc::gen::inRange(2700, 30000))};
        const StoreIntervals times = StoreIntervals::within(bounds);
        // While all is well nobody but the readers asks.
        const auto longest = std::max(times.watchWait, times.serverInterval);
        RC_ASSERT(longest + 2 * reportInterval < times.readAfter);
        RC_ASSERT(times.readAfter + slowReading < bounds.configuration);
        RC_ASSERT(times.readAfter + slowReading < bounds.leaving);
        RC_ASSERT(times.readAfter + slowReading < bounds.keyRevocation * leaseShare);
    });
}
