#include "support/loadedfleet.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>

using namespace std::chrono_literals;

namespace {

constexpr std::size_t servers = 3;
constexpr std::size_t slots = 2;
constexpr double permits = servers * slots;
/// The mean costs are cut at four times: 4 * (50 + 4 * 25).
constexpr double largestCost = 600;
/// Tokens generated a second by all slots, weighed.
constexpr double poolRate = permits * 4 / 0.025;
/// From a router's loss until another gives its permits: silence, digest and ledger interval.
constexpr double takeover = 1.6 + 0.5 + 0.5;

/// docs/design/queue-order.md: at any time one customer leads another by at most W + h + P * L.
/// Over an interval it can go from as far behind to as far ahead. For each loss of a home
/// comes what can be given before the next home has the account.
double bound(std::size_t losses)
{
    const double window = static_cast<double>(Scheduling::FairQueuePolicy().window);
    const double lead = window + largestCost + permits * largestCost;
    return 2 * lead + static_cast<double>(losses) * (poolRate * takeover + permits * largestCost);
}

VirtualFleet::FleetShape shapeOf(std::uint64_t seed)
{
    VirtualFleet::FleetShape shape;
    shape.routers = 4;
    shape.zones = 2;
    shape.seed = seed;
    VirtualFleet::EngineShape engine;
    engine.slots = slots;
    shape.groups = {{Base::PoolId("model/m"), servers, engine}};
    shape.targets = {{Base::ClassId("tags"), 500ms, std::nullopt}};
    for (const char *name : {"dealer", "seller", "flood", "newcomer"})
        shape.customers.emplace_back(name);
    shape.node.concurrency.initialLimit = slots;
    return shape;
}

Measure::WorkloadShape workloadOf(std::uint64_t seed)
{
    Measure::WorkloadShape shape;
    shape.seed = seed;
    shape.kinds = {{Base::ClassId("tags"), 500ms, 50, 25, 1}};
    shape.customers = {{Base::CustomerId("dealer"), 16, 0, {0}, {"m"}, 0s},
                       {Base::CustomerId("seller"), 16, 0, {1}, {"m"}, 0s},
                       {Base::CustomerId("flood"), 800, 0, {2, 3}, {"m"}, 5s},
                       {Base::CustomerId("newcomer"), 16, 0, {0, 1}, {"m"}, 20s}};
    return shape;
}

} // namespace

// A university sees its answers stop while a dealer's batch runs: the dealer's callers crowd two
// routers with fifty times its backlog, a customer that was never there joins, messages between
// routers are lost. Fair per router, each crowd would get its router's share and the gap would grow
// with time.
TEST_CASE("the gap between backlogged customers stays bounded over crowded and quiet routers",
          "[node][fairness]")
{
    rc::prop("with lost messages", [] {
        const auto seed = *rc::gen::inRange<std::uint64_t>(1, 1000000);
        const auto lossPercent = *rc::gen::inRange(0, 10);
        Fakes::LoadedFleet loaded(shapeOf(seed), workloadOf(seed));
        loaded.fleet.setLossShare(lossPercent / 100.0);
        loaded.fleet.runFor(60s);
        RC_ASSERT(loaded.meter.gap().largest <= bound(0));
    });
}

// A home router dies and comes back cold. Were the accounts lost with it, each loss would bring the
// flooding customer a fresh start; were its work lost, the others would wait for ever.
TEST_CASE("the gap stays bounded while routers are killed and start cold", "[node][fairness]")
{
    rc::prop("two losses", [] {
        const auto seed = *rc::gen::inRange<std::uint64_t>(1, 1000000);
        const auto first = *rc::gen::inRange<std::size_t>(0, 4);
        const auto second = *rc::gen::inRange<std::size_t>(0, 4);
        Fakes::LoadedFleet loaded(shapeOf(seed), workloadOf(seed));
        for (const std::size_t router : {first, second}) {
            loaded.fleet.runFor(12s);
            loaded.fleet.kill(router);
            loaded.fleet.runFor(3s);
            loaded.fleet.restart(router);
        }
        loaded.fleet.runFor(30s);
        RC_ASSERT(loaded.meter.gap().largest <= bound(2));
    });
}

// A small customer gets nothing while its neighbour, fifty times larger, is served: service would
// go by arrival, and the flood always arrives first.
TEST_CASE("no backlogged customer waits longer than its written time", "[node][fairness]")
{
    rc::prop("beside a flood", [] {
        const auto seed = *rc::gen::inRange<std::uint64_t>(1, 1000000);
        Fakes::LoadedFleet loaded(shapeOf(seed), workloadOf(seed));
        std::vector<Base::ServiceUnits> before = loaded.meter.service();
        // In this time the pool serves each of four customers the bound and a largest cost.
        const auto longest = std::chrono::duration_cast<Base::Duration>(
            std::chrono::duration<double>(4 * (bound(0) + largestCost) / poolRate));
        for (int i = 0; i < 3; ++i) {
            loaded.fleet.runFor(longest);
            const std::vector<Base::ServiceUnits> after = loaded.meter.service();
            for (std::size_t customer = 0; customer < 3; ++customer)
                RC_ASSERT(after[customer] > before[customer]);
            before = after;
        }
    });
}
