#include "gateway/storeintervals.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>

using namespace Gateway;
using std::chrono::milliseconds;

TEST_CASE("hosts call the store half as often under bounds that are twice as long", "[gateway]")
{
    // Guards against intervals that are made for the shortest bounds of any deployment. With six
    // zones of a few hosts each, calls of the store then cost a seventh of the revenue; the hosts
    // that read it made 1,066 of 1,454 calls in 48 seconds.
    const StoreIntervals times =
        StoreIntervals::within({milliseconds(4000), milliseconds(4000), milliseconds(5000)});
    CHECK(times.watchWait == milliseconds(1000));
    CHECK(times.serverInterval == milliseconds(1200));
}

TEST_CASE("a host that has to read the store itself keeps any bounds", "[gateway]")
{
    rc::prop("any bounds", [] {
        const ChangeBounds bounds{milliseconds(*rc::gen::inRange(1500, 30000)),
                                  milliseconds(*rc::gen::inRange(1500, 30000)),
                                  milliseconds(*rc::gen::inRange(2700, 30000))};
        const StoreIntervals times = StoreIntervals::within(bounds);
        // In normal operation only the hosts that read for their zone ask the store.
        const auto longest = std::max(times.watchWait, times.serverInterval);
        RC_ASSERT(longest + 2 * reportInterval < times.fallbackReadAge);
        RC_ASSERT(times.fallbackReadAge + slowReadLatency < bounds.configuration);
        RC_ASSERT(times.fallbackReadAge + slowReadLatency < bounds.leaving);
        RC_ASSERT(times.fallbackReadAge + slowReadLatency < bounds.keyRevocation * leaseShare);
    });
}
