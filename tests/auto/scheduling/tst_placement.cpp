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

TEST_CASE("a prefix goes to its holder only while that is not crowded", "[scheduling]")
{
    rc::prop("for any loads and hints", [] {
        ServerSelector selector;
        std::vector<ServerCandidate> choices;
        const auto n = *rc::gen::inRange<std::size_t>(1, 8);
        double least = 2;
        for (std::size_t i = 0; i < n; ++i) {
            const auto limit = *rc::gen::inRange<std::size_t>(1, 40);
            const auto inUse = *rc::gen::inRange<std::size_t>(0, limit);
            choices.push_back({serverNamed(i), inUse, limit, *rc::gen::arbitrary<bool>()});
            least = std::min(least, double(inUse) / double(limit));
        }
        const auto holder = *rc::gen::inRange<std::size_t>(0, n);
        selector.recordPrefix(7, serverNamed(holder), at(0));
        const auto load = [&](std::size_t i) {
            return double(choices[i].inUse) / double(choices[i].limit);
        };
        const std::size_t chosen = *selector.choose(choices, 7, at(1));
        if (load(holder) <= least + 0.25)
            RC_ASSERT(chosen == holder);
        else
            RC_ASSERT(load(chosen) < least + 1.0 / double(choices[chosen].limit));
        const std::size_t other = *selector.choose(choices, 0, at(1));
        for (std::size_t i = 0; i < n && !choices[other].isSameZone; ++i)
            RC_ASSERT(!choices[i].isSameZone || load(i) >= least + 1.0 / double(choices[i].limit));
    });
    CHECK(!ServerSelector().choose({}, 7, at(0)).has_value());
}

TEST_CASE("cache events are hints: late, lost, and bounded in memory", "[scheduling]")
{
    // Answers to a large dealer's prompts start late for minutes: an eviction told late, or one
    // never told, keeps them from the server that holds their beginning, or ties them to one
    // that does not.
    AffinityPolicy policy;
    policy.largestPrefixes = 100;
    ServerSelector selector(policy);
    const std::vector<ServerCandidate> choices{{serverNamed(0), 1, 10, true},
                                               {serverNamed(1), 2, 10, false}};
    selector.recordCacheEvent(serverNamed(1), 7, true, at(0));
    CHECK(selector.choose(choices, 7, at(1000)) == 1);
    selector.recordCacheEvent(serverNamed(1), 7, false, at(3000));
    CHECK(selector.choose(choices, 7, at(3000)) == 1);
    selector.recordCacheEvent(serverNamed(1), 7, false, at(9000));
    CHECK(selector.choose(choices, 7, at(9000)) == 0);
    selector.recordPrefix(7, serverNamed(1), at(10000));
    CHECK(selector.choose(choices, 7, at(10000 + 299000)) == 1);
    CHECK(selector.choose(choices, 7, at(10000 + 301000)) == 0);
    for (std::uint64_t prefix = 8; prefix < 1000; ++prefix) {
        selector.recordPrefix(7, serverNamed(1), at(20000));
        selector.recordPrefix(prefix, serverNamed(0), at(20000));
    }
    CHECK(selector.rememberedPrefixes() == 100);
    CHECK(selector.choose(choices, 7, at(20000)) == 1);
    selector.forgetServer(serverNamed(1));
    selector.forgetServer(serverNamed(0));
    CHECK(selector.rememberedPrefixes() == 0);
}

TEST_CASE("the shares of shards do not swing between heartbeats", "[scheduling]")
{
    // Every second another home is crowded and the rest are quiet: all entries send where the
    // last heartbeat showed the shortest queue.
    const ShardsSeen damped = ShardsModel(8, {}).run(0.95, false, 120000);
    CHECK(ShardsModel(8, undamped()).run(0.95, false, 120000).longestWait > 1.2);
    CHECK(damped.longestWait < 1.0);
    CHECK(ShardsModel(200, {}).run(0.95, false, 120000).longestWait < 1.0);
    CHECK(damped.busy > 0.94);
}

TEST_CASE("an idle home is given what a crowded one has waiting", "[scheduling]")
{
    // A university's requests wait at one home while the next has free permits, since its
    // callers all came in through one entry.
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

TEST_CASE("hardly a slot idles while work waits at another home", "[scheduling]")
{
    // Finance staff queue at one home at quarter close while every other home has a free
    // permit for a moment, each moment shorter than the time between two heartbeats.
    CHECK(ShardsModel(8, {}).run(0.95, false, 60000).idleWhileWaiting > 0.03);
    CHECK(ShardsModel(8, {}).run(0.95, true, 60000).idleWhileWaiting < 0.015);
    CHECK(ShardsModel(8, {}).run(1.1, true, 60000).busy > 0.99);
    CHECK(ShardsModel(8, {}).run(0.3, true, 60000).longestWait == 0);
}

TEST_CASE("an idle home asks once where work may wait", "[scheduling]")
{
    const std::vector<ShardSummary> seen{
        {0, 0, 9, 10, at(1000)}, {1, 3, 0, 10, at(1000)}, {2, 7, 0, 10, at(1000)}};
    HandoverPlanner idle;
    HandoverPlanner crowded;
    CHECK(idle.ask(0, 2, 20, seen, at(1000)) == Handover{2, 3});
    CHECK(!idle.ask(0, 2, 20, seen, at(1050)));
    CHECK(idle.ask(0, 2, 20, seen, at(1100)).has_value());
    CHECK(crowded.answer(0, 3, 0, at(1100)) == 0);
    idle.recordAnswer(2, 0, at(1101));
    CHECK(idle.ask(0, 2, 20, seen, at(1101)) == Handover{1, 3});
    idle.recordAnswer(1, 3, at(1102));
    CHECK(crowded.planForPendingAsks(2, at(1200)) == std::vector<Handover>{{0, 2}});
    CHECK(crowded.planForPendingAsks(2, at(1200)) == std::vector<Handover>{{0, 1}});
    CHECK(crowded.planForPendingAsks(2, at(1200)).empty());
    const std::vector<ShardSummary> quiet{{0, 0, 9, 10, at(1000)}, {1, 0, 9, 10, at(1000)}};
    CHECK(!HandoverPlanner().ask(0, 9, 10, quiet, at(1000)));
}

TEST_CASE("homes together hand over all that is free and no more", "[scheduling]")
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
        std::map<std::uint32_t, std::size_t> given;
        std::size_t handed = 0;
        for (const std::int64_t now : {1001, 1400, 1900}) {
            for (std::uint32_t i = 0; i < n; ++i) {
                for (const Handover &handover : planners[i].plan(i, seen, at(now))) {
                    given[handover.shard] += handover.count;
                    handed += handover.count;
                }
            }
        }
        for (const auto &[shard, count] : given)
            RC_ASSERT(count <= seen[shard].freePermits && seen[shard].waiting == 0);
        RC_ASSERT(waiting < idle || handed == idle);
        // Each crowded home may round down once for each idle one.
        const std::size_t rounding = std::size_t(n) * n;
        RC_ASSERT(waiting >= idle || handed + rounding >= waiting);
    });
}
