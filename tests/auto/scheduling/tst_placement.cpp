#include "scheduling/handoverplanner.h"
#include "scheduling/serverselector.h"
#include "scheduling/shardselector.h"
#include "schedulingmodels/shardsmodel.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace Scheduling;
using namespace SchedulingModels;
using Base::Milliseconds;

namespace {

Base::ServerId serverNamed(std::size_t n)
{
    return Base::ServerId("server-" + std::to_string(n));
}

ShardSelectorPolicy undamped()
{
    ShardSelectorPolicy policy;
    policy.damping = std::chrono::microseconds(1);
    return policy;
}

} // namespace

TEST_CASE("a prefix goes to its holder only while the holder is not overloaded", "[scheduling]")
{
    rc::prop("for any loads and hints", [] {
        ServerSelector selector;
        std::vector<ServerCandidate> candidates;
        const auto n = *rc::gen::inRange<std::size_t>(1, 8);
        double leastUtilisation = 2;
        for (std::size_t i = 0; i < n; ++i) {
            const auto limit = *rc::gen::inRange<std::size_t>(1, 40);
            const auto inUse = *rc::gen::inRange<std::size_t>(0, limit);
            candidates.push_back({serverNamed(i), inUse, limit, *rc::gen::arbitrary<bool>()});
            leastUtilisation = std::min(leastUtilisation, double(inUse) / double(limit));
        }
        const auto holder = *rc::gen::inRange<std::size_t>(0, n);
        selector.recordPrefix(7, serverNamed(holder), at(0));
        const auto utilisation = [&](std::size_t i) {
            return double(candidates[i].inUse) / double(candidates[i].limit);
        };
        const std::size_t chosen = *selector.choose(candidates, 7, at(1));
        if (utilisation(holder) <= leastUtilisation + 0.25)
            RC_ASSERT(chosen == holder);
        else
            RC_ASSERT(utilisation(chosen)
                      < leastUtilisation + 1.0 / double(candidates[chosen].limit));
        const std::size_t other = *selector.choose(candidates, 0, at(1));
        for (std::size_t i = 0; i < n && !candidates[other].isSameZone; ++i)
            RC_ASSERT(!candidates[i].isSameZone
                      || utilisation(i) >= leastUtilisation + 1.0 / double(candidates[i].limit));
    });
    CHECK(!ServerSelector().choose({}, 7, at(0)).has_value());
}

TEST_CASE("cache events are hints that may be late or lost, and their memory is bounded",
          "[scheduling]")
{
    // Guards against answers that start late for minutes because a late eviction event keeps a
    // prefix away from the server that has it, or a lost one keeps it at a server that does not.
    AffinityPolicy policy;
    policy.maxPrefixes = 100;
    ServerSelector selector(policy);
    const std::vector<ServerCandidate> candidates{{serverNamed(0), 1, 10, true},
                                                  {serverNamed(1), 2, 10, false}};
    selector.recordCacheEvent(serverNamed(1), 7, true, at(0));
    CHECK(selector.choose(candidates, 7, at(1000)) == 1);
    selector.recordCacheEvent(serverNamed(1), 7, false, at(3000));
    CHECK(selector.choose(candidates, 7, at(3000)) == 1);
    selector.recordCacheEvent(serverNamed(1), 7, false, at(9000));
    CHECK(selector.choose(candidates, 7, at(9000)) == 0);
    selector.recordPrefix(7, serverNamed(1), at(10000));
    CHECK(selector.choose(candidates, 7, at(10000 + 299000)) == 1);
    CHECK(selector.choose(candidates, 7, at(10000 + 301000)) == 0);
    for (std::uint64_t prefix = 8; prefix < 1000; ++prefix) {
        selector.recordPrefix(7, serverNamed(1), at(20000));
        selector.recordPrefix(prefix, serverNamed(0), at(20000));
    }
    CHECK(selector.prefixCount() == 100);
    CHECK(selector.choose(candidates, 7, at(20000)) == 1);
    selector.forgetServer(serverNamed(1));
    selector.forgetServer(serverNamed(0));
    CHECK(selector.prefixCount() == 0);
}

TEST_CASE("the load of shards does not oscillate between heartbeats", "[scheduling]")
{
    // Guards against one home that is overloaded while the others are idle, a different one each
    // second, because all entry hosts send to the shard with the shortest queue in the last
    // heartbeat.
    const ShardStats damped = ShardsModel(8, {}).run(0.95, false, 120000);
    CHECK(ShardsModel(8, undamped()).run(0.95, false, 120000).longestWait > 1.2);
    CHECK(damped.longestWait < 1.0);
    CHECK(ShardsModel(200, {}).run(0.95, false, 120000).longestWait < 1.0);
    CHECK(damped.busy > 0.94);
}

TEST_CASE("an idle home receives the waiting work of a home with a backlog", "[scheduling]")
{
    // Guards against requests that wait at one home while another has free permits, for example
    // because all callers of a customer use the same entry host.
    HandoverPlanner planner;
    const std::vector<ShardSummary> seen{{0, 30, 0, 10, at(1000)},
                                         {1, 0, 8, 10, at(1000)},
                                         {2, 10, 0, 10, at(1000)},
                                         {3, 0, 1, 10, at(1000)},
                                         {4, 5, 5, 10, at(1000)}};
    CHECK(planner.plan(0, seen, at(1000)) == std::vector<Handover>{{1, 6}});
    CHECK(planner.plan(0, seen, at(1500)).empty());
    CHECK(HandoverPlanner().plan(2, seen, at(1000)) == std::vector<Handover>{{1, 2}, {3, 1}});
    CHECK(HandoverPlanner().plan(1, seen, at(1000)).empty());
}

TEST_CASE("few slots idle while work waits at another home", "[scheduling]")
{
    // Guards against work that queues at one home while the others have free permits for times
    // that are shorter than the interval between two heartbeats.
    CHECK(ShardsModel(8, {}).run(0.95, false, 60000).idleWhileWaiting > 0.03);
    CHECK(ShardsModel(8, {}).run(0.95, true, 60000).idleWhileWaiting < 0.015);
    CHECK(ShardsModel(8, {}).run(1.1, true, 60000).busy > 0.99);
    CHECK(ShardsModel(8, {}).run(0.3, true, 60000).longestWait == 0);
}

TEST_CASE("an idle home has one open ask, at the home where work is most likely to wait",
          "[scheduling]")
{
    const std::vector<ShardSummary> seen{
        {0, 0, 9, 10, at(1000)}, {1, 3, 0, 10, at(1000)}, {2, 7, 0, 10, at(1000)}};
    HandoverPlanner idle;
    HandoverPlanner backlogged;
    CHECK(idle.ask(0, 2, 20, seen, at(1000)) == Handover{2, 3});
    CHECK(!idle.ask(0, 2, 20, seen, at(1050)));
    CHECK(idle.ask(0, 2, 20, seen, at(1100)).has_value());
    CHECK(backlogged.answer(0, 3, 0, at(1100)) == 0);
    idle.recordAnswer(2, 0, at(1101));
    CHECK(idle.ask(0, 2, 20, seen, at(1101)) == Handover{1, 3});
    idle.recordAnswer(1, 3, at(1102));
    CHECK(backlogged.planForPendingAsks(2, at(1200)) == std::vector<Handover>{{0, 2}});
    CHECK(backlogged.planForPendingAsks(2, at(1200)) == std::vector<Handover>{{0, 1}});
    CHECK(backlogged.planForPendingAsks(2, at(1200)).empty());
    const std::vector<ShardSummary> quiet{{0, 0, 9, 10, at(1000)}, {1, 0, 9, 10, at(1000)}};
    CHECK(!HandoverPlanner().ask(0, 9, 10, quiet, at(1000)));
}

TEST_CASE("all homes together hand over work for all free permits and no more", "[scheduling]")
{
    rc::prop("for any summaries, at any time until the next", [] {
        std::vector<ShardSummary> seen;
        const auto n = *rc::gen::inRange<std::uint32_t>(2, 12);
        std::size_t waiting = 0;
        std::size_t idle = 0;
        for (std::uint32_t i = 0; i < n; ++i) {
            const auto free = *rc::gen::inRange<std::size_t>(0, 3) * i;
            const auto queue = *rc::gen::inRange<std::size_t>(0, 3) * 13;
            seen.push_back({i, queue, free, 10, at(1000)});
            waiting += free == 0 ? queue : 0;
            idle += queue == 0 ? free : 0;
        }
        std::vector<HandoverPlanner> planners(n);
        std::map<std::uint32_t, std::size_t> received;
        std::size_t handedOver = 0;
        for (const std::int64_t now : {1001, 1400, 1900}) {
            for (std::uint32_t i = 0; i < n; ++i) {
                for (const Handover &handover : planners[i].plan(i, seen, at(now))) {
                    received[handover.shard] += handover.count;
                    handedOver += handover.count;
                }
            }
        }
        for (const auto &[shard, count] : received)
            RC_ASSERT(count <= seen[shard].freePermits && seen[shard].waiting == 0);
        RC_ASSERT(waiting < idle || handedOver == idle);
        // Each home with a backlog may round down once for each idle home.
        const std::size_t rounding = std::size_t(n) * n;
        RC_ASSERT(waiting >= idle || handedOver + rounding >= waiting);
    });
}
