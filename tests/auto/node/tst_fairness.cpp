#include "support/loadedfleet.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>

using namespace std::chrono_literals;

namespace {

constexpr std::size_t servers = 3;
constexpr std::size_t slots = 2;
constexpr double permits = servers * slots;
/// Largest cost of a request in weighted tokens. The workload limits each cost to four times its
/// mean: 4 * (50 + 4 * 25).
constexpr double maxCost = 600;
/// Weighted tokens that all slots together generate per second.
constexpr double poolTokensPerSecond = permits * 4 / 0.025;
/// Time in seconds from the loss of a home until another router grants its permits: failure
/// detection, digest interval and ledger interval.
constexpr double takeoverSeconds = 1.6 + 0.5 + 0.5;

/// Bound on the gap in received service between two backlogged customers, in weighted tokens.
///
/// At any time one customer leads another by at most W + h + P * L: the window, the largest held
/// cost, and the largest cost for each permit (docs/design/queue-order.md). Over an interval a
/// customer can go from that far behind to that far ahead. Each loss of a home adds the service
/// that can be granted before the next home has the ledger.
double bound(std::size_t losses)
{
    const double window = static_cast<double>(Scheduling::FairQueuePolicy().window);
    const double lead = window + maxCost + permits * maxCost;
    return 2 * lead
           + static_cast<double>(losses)
                 * (poolTokensPerSecond * takeoverSeconds + permits * maxCost);
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

// Guards against fairness per router instead of over the whole fleet: each router would then give
// its share to the customers connected to it, and the gap would grow with time. One customer loads
// two routers with fifty times the backlog of the others, a new customer joins, and messages
// between routers are lost.
TEST_CASE("the gap between backlogged customers stays bounded over busy and quiet routers",
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

// Guards against state lost with a home that is killed and restarts without it. If the ledger were
// lost, the service of the flooding customer would be forgotten with each kill. If the waiting
// requests were lost, the other customers would wait forever.
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

// Guards against starvation of a small customer by one with fifty times its backlog, as it happens
// if requests are served in order of arrival.
TEST_CASE("no backlogged customer waits longer than the bound on the gap allows",
          "[node][fairness]")
{
    rc::prop("beside a flood", [] {
        const auto seed = *rc::gen::inRange<std::uint64_t>(1, 1000000);
        Fakes::LoadedFleet loaded(shapeOf(seed), workloadOf(seed));
        std::vector<Base::ServiceUnits> before = loaded.meter.service();
        // In this time the pool can serve the bound plus one largest cost to each of the four
        // customers.
        const auto longest = std::chrono::duration_cast<Base::Duration>(
            std::chrono::duration<double>(4 * (bound(0) + maxCost) / poolTokensPerSecond));
        for (int i = 0; i < 3; ++i) {
            loaded.fleet.runFor(longest);
            const std::vector<Base::ServiceUnits> after = loaded.meter.service();
            for (std::size_t customer = 0; customer < 3; ++customer)
                RC_ASSERT(after[customer] > before[customer]);
            before = after;
        }
    });
}
