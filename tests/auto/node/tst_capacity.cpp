#include "support/loadedfleet.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace std::chrono_literals;

namespace {

/// A pool of two shards, whose homes are two different routers with most seeds.
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

/// A workload whose callers are all connected to one router.
Measure::WorkloadShape singleRouterWorkload(std::uint64_t seed, std::size_t openRequests)
{
    Measure::WorkloadShape shape;
    shape.seed = seed;
    shape.kinds = {{Base::ClassId("tags"), 500ms, 50, 40, 1}};
    shape.customers = {{Base::CustomerId("dealer"), openRequests, 0, {0}, {"m"}, 0s},
                       {Base::CustomerId("seller"), openRequests, 0, {0}, {"m"}, 0s}};
    return shape;
}

} // namespace

// Guards against idle servers while work waits. This happens if all callers are connected to one
// entry host and only that router knows of their work, while servers belong to shards with other
// homes.
TEST_CASE("nearly all slots are busy while work waits, with all callers on one router",
          "[node][capacity]")
{
    rc::prop("two shards", [] {
        const auto seed = *rc::gen::inRange<std::uint64_t>(1, 1000000);
        Fakes::LoadedFleet loaded(twoShards(seed), singleRouterWorkload(seed, 60));
        loaded.fleet.runFor(30s);
        RC_ASSERT(loaded.meter.waitingShare() > 0.9);
        RC_ASSERT(loaded.meter.utilisationWhileWaiting() >= 0.97);
    });
}

// Guards against servers that stay idle after the home of their shard fails together with all the
// permits it granted. Slots may be idle only until another router has taken over.
TEST_CASE("servers of a killed home are idle no longer than a takeover", "[node][capacity]")
{
    rc::prop("any router killed for good", [] {
        const auto seed = *rc::gen::inRange<std::uint64_t>(1, 1000000);
        const auto router = *rc::gen::inRange<std::size_t>(1, 5);
        Fakes::LoadedFleet loaded(twoShards(seed), singleRouterWorkload(seed, 60));
        loaded.fleet.runFor(10s);
        loaded.fleet.kill(router);
        loaded.fleet.runFor(30s);
        // A takeover takes at most 2.6 s of the 40 s for each slot; 0.97 is the bound without one.
        RC_ASSERT(loaded.meter.utilisationWhileWaiting() >= 0.97 - 2.6 / 40);
    });
}

// Guards against new work on a server that an operator has marked as leaving. This happens if a
// router uses an old list of hosts, or was cut off while the mark was spread.
TEST_CASE("a leaving server gets no new work after five seconds", "[node][leaving]")
{
    rc::prop("with a router cut off from the others, and one started cold", [] {
        const auto seed = *rc::gen::inRange<std::uint64_t>(1, 1000000);
        const auto cutOff = *rc::gen::inRange<std::size_t>(0, 5);
        const auto cold = *rc::gen::inRange<std::size_t>(0, 5);
        Fakes::LoadedFleet loaded(twoShards(seed), singleRouterWorkload(seed, 60));
        VirtualFleet::Fleet &fleet = loaded.fleet;
        const Base::ServerId leaving = std::next(fleet.servers().begin(), 7)->first;
        for (std::size_t other = 0; other < fleet.routers(); ++other) {
            if (other != cutOff)
                fleet.setPartitioned(cutOff, other, true);
        }
        fleet.markLeaving(leaving.value());
        fleet.kill(cold);
        fleet.runFor(1s);
        fleet.restart(cold);
        fleet.runFor(4s);
        const std::size_t before = fleet.server(leaving)->startedSerials().size();
        fleet.runFor(15s);
        RC_ASSERT(fleet.server(leaving)->startedSerials().size() == before);
    });
}
