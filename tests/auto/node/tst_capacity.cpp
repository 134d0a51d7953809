#include "support/loadedfleet.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace std::chrono_literals;

namespace {

/// Two shards of one pool, whose homes are mostly two routers.
VirtualFleet::FleetShape twoShards(std::uint64_t seed)
{
    VirtualFleet::FleetShape shape;
    shape.routers = 5;
    shape.zones = 2;
    shape.seed = seed;
    VirtualFleet::EngineShape engine;
    engine.slots = 2;
    shape.groups = {{Base::PoolId("model/m"), 30, engine}};
    shape.targets = {{Base::ClassId("tags"), 500ms, std::nullopt}};
    shape.customers = {Base::CustomerId("dealer"), Base::CustomerId("seller")};
    return shape;
}

/// All callers sit on one router.
Measure::WorkloadShape crowd(std::uint64_t seed, std::size_t openRequests)
{
    Measure::WorkloadShape shape;
    shape.seed = seed;
    shape.kinds = {{Base::ClassId("tags"), 500ms, 50, 40, 1}};
    shape.customers = {{Base::CustomerId("dealer"), openRequests, 0, {0}, {"m"}, 0s},
                       {Base::CustomerId("seller"), openRequests, 0, {0}, {"m"}, 0s}};
    return shape;
}

} // namespace

// A Saturday surge fills one entry host; servers homed elsewhere would stand idle while its work
// waits, because only that router knows of the work.
TEST_CASE("hardly a slot idles while work waits, with all callers on one router",
          "[node][capacity]")
{
    rc::prop("two shards", [] {
        const auto seed = *rc::gen::inRange<std::uint64_t>(1, 1000000);
        Fakes::LoadedFleet loaded(twoShards(seed), crowd(seed, 60));
        loaded.fleet.runFor(30s);
        RC_ASSERT(loaded.meter.waitingShare() > 0.9);
        RC_ASSERT(loaded.meter.utilisationWhileWaiting() >= 0.97);
    });
}

// The home of a shard dies with all the permits it gave; its servers would idle until somebody
// notices. Slots stand idle for the time of the takeover and no longer.
TEST_CASE("a killed home idles its servers no longer than a takeover", "[node][capacity]")
{
    rc::prop("any router killed for good", [] {
        const auto seed = *rc::gen::inRange<std::uint64_t>(1, 1000000);
        const auto router = *rc::gen::inRange<std::size_t>(1, 5);
        Fakes::LoadedFleet loaded(twoShards(seed), crowd(seed, 60));
        loaded.fleet.runFor(10s);
        loaded.fleet.kill(router);
        loaded.fleet.runFor(30s);
        // 2.6 s of 40 for every slot at the most, and what stands in the case above.
        RC_ASSERT(loaded.meter.utilisationWhileWaiting() >= 0.97 - 2.6 / 40);
    });
}

// An operator marks a server as leaving; its new work goes on because one router saw an old list,
// or was cut off when the mark was told.
TEST_CASE("a leaving server gets nothing new after five seconds", "[node][leaving]")
{
    rc::prop("with a router cut off from the others, and one started cold", [] {
        const auto seed = *rc::gen::inRange<std::uint64_t>(1, 1000000);
        const auto cutOff = *rc::gen::inRange<std::size_t>(0, 5);
        const auto cold = *rc::gen::inRange<std::size_t>(0, 5);
        Fakes::LoadedFleet loaded(twoShards(seed), crowd(seed, 60));
        VirtualFleet::Fleet &fleet = loaded.fleet;
        const Base::ServerId leaving = std::next(fleet.servers().begin(), 7)->first;
        for (std::size_t other = 0; other < fleet.routers(); ++other) {
            if (other != cutOff)
                fleet.setCut(cutOff, other, true);
        }
        fleet.markLeaving(leaving.value());
        fleet.kill(cold);
        fleet.runFor(1s);
        fleet.restart(cold);
        fleet.runFor(4s);
        const std::size_t before = fleet.server(leaving)->journal().size();
        fleet.runFor(15s);
        RC_ASSERT(fleet.server(leaving)->journal().size() == before);
    });
}
