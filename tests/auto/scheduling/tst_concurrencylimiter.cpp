#include "scheduling/concurrencylimiter.h"
#include "schedulingmodels/enginemodel.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace Scheduling;
using namespace SchedulingModels;
using Base::Milliseconds;

namespace {

EngineShape anyShape()
{
    EngineShape shape;
    shape.seed = *rc::gen::arbitrary<std::uint64_t>();
    shape.slots = *rc::gen::inRange<std::size_t>(1, 200);
    shape.meanAnswerTime = *rc::gen::inRange(200, 3000);
    shape.reportLag = *rc::gen::inRange(0, 1500);
    shape.noise = *rc::gen::inRange<std::size_t>(0, 3);
    return shape;
}

} // namespace

TEST_CASE("the limit keeps any engine full and its queue short", "[scheduling]")
{
    // Guards against a limit that oscillates between too many and too few permits because each
    // load report shows the effect of an earlier change than the last one. Answers then start
    // late although half of the servers have free slots.
    rc::prop("for any size, answer time, lag and noise; also when the size changes", [] {
        const EngineShape shape = anyShape();
        EngineModel server(shape);
        server.run(40000);
        for (const std::size_t slots : {shape.slots, shape.slots / 2 + 1, shape.slots}) {
            server.shape.slots = slots;
            const bool hasShrunk = slots < shape.slots;
            server.run(20000);
            RC_ASSERT(!hasShrunk || server.utilisation() >= 0.98);
            server.run(40000);
            RC_ASSERT(server.utilisation() >= 0.98);
            RC_ASSERT(server.longestQueue <= 4 + slots / 4);
        }
    });
}

TEST_CASE("a healthy server is used in full within seconds", "[scheduling]")
{
    EngineModel server({1, 128, 2000, 400, 4, 0});
    server.run(6000);
    server.run(2000);
    CHECK(server.utilisation() >= 0.98);
}

TEST_CASE("a frozen server gets no work, is probed with one request at a time and recovers slowly",
          "[scheduling]")
{
    // Guards against an engine that hangs with all its permits in use and, because it looks least
    // loaded, is given each permit that becomes free. Its callers wait half a minute in vain.
    EngineModel server({1, 32, 500, 400, 4, 0});
    server.run(20000);
    const std::size_t before = server.limiter.limit();
    server.isFrozen = true;
    server.isReachable = false;
    server.run(2000);
    CHECK(server.limiter.limit() == 0);
    CHECK(!server.limiter.isHealthy());
    const std::size_t sent = server.sent;
    server.run(120000);
    CHECK(server.sent == sent);
    server.isFrozen = false;
    server.isReachable = true;
    server.run(3000);
    CHECK(server.limiter.condition() == ServerCondition::Recovering);
    CHECK(server.limiter.limit() < before / 2);
    server.run(60000);
    CHECK(server.limiter.isHealthy());
    CHECK(server.utilisation() > 0.8);
}

TEST_CASE("a server that fails everything costs one request for each probe", "[scheduling]")
{
    EngineModel server({1, 32, 500, 400, 4, 0});
    server.run(10000);
    server.isFailing = true;
    server.run(1000);
    CHECK(!server.limiter.isHealthy());
    const std::size_t sent = server.sent;
    server.run(120000);
    CHECK(server.sent - sent >= 4);
    CHECK(server.sent - sent <= 8);
}

TEST_CASE("failures of requests sent before a probe do not fail the probe", "[scheduling]")
{
    // Guards against a repaired server that stays out of service for minutes because the requests
    // lost in its crash time out one by one and each timeout counts as a failed probe.
    ConcurrencyLimiter limiter = *ConcurrencyLimiter::create({});
    PermitReport failed;
    failed.outcome = PermitOutcome::Failed;
    for (int i = 0; i < 3; ++i)
        limiter.recordPermit(failed, 20, at(1000));
    REQUIRE(limiter.condition() == ServerCondition::Failing);
    limiter.advance(17, at(2000));
    REQUIRE(limiter.limit() == 1);
    failed.whole = Milliseconds(5000);
    limiter.recordPermit(failed, 17, at(2500));
    CHECK(limiter.condition() == ServerCondition::Probing);
    failed.whole = Milliseconds(100);
    limiter.recordPermit(failed, 1, at(2600));
    CHECK(limiter.condition() == ServerCondition::Failing);
}

TEST_CASE("a frozen server that still reports its load is detected by its lack of progress",
          "[scheduling]")
{
    EngineModel server({1, 32, 500, 400, 4, 0});
    server.run(20000);
    server.isFrozen = true;
    server.run(29000);
    CHECK(server.limiter.isHealthy());
    server.run(3000);
    CHECK(!server.limiter.isHealthy());
}

TEST_CASE("the limit of a slow server without a queue shrinks and recovers", "[scheduling]")
{
    EngineModel server({1, 64, 300, 400, 4, 0});
    server.run(20000);
    const std::size_t before = server.limiter.limit();
    server.slowness = 12;
    server.shape.slots = 400;
    // All servers are equally slow: the work has become longer, and the limit does not shrink.
    server.limiter.setPeerTimeToFirstToken(Milliseconds(600));
    server.run(20000);
    CHECK(server.limiter.limit() >= before);
    server.limiter.setPeerTimeToFirstToken(Milliseconds(60));
    server.run(60000);
    CHECK(server.limiter.limit() < before / 2);
    // A short slow phase causes a single cut, however many of its answers end later.
    EngineModel brief({1, 64, 300, 400, 4, 0});
    brief.limiter.setPeerTimeToFirstToken(Milliseconds(60));
    brief.run(20000);
    brief.shape.slots = 400;
    brief.slowness = 12;
    brief.run(1000);
    brief.slowness = 1;
    brief.run(8000);
    CHECK(brief.limiter.limit() > before / 2);
    server.slowness = 1;
    server.shape.slots = 64;
    server.run(60000);
    server.run(20000);
    CHECK(server.utilisation() >= 0.98);
}

TEST_CASE("a server that is used from the first moment does not count as frozen", "[scheduling]")
{
    // Guards against counting the time without progress from the start of the clock, which is when
    // the host was booted. The first request creates the limiter and uses a permit in the same
    // step; callers would then wait half a minute while servers are idle.
    auto created = ConcurrencyLimiter::create(ConcurrencyLimits());
    REQUIRE(created);
    const Base::TimePoint longAfterBoot = Base::TimePoint{} + std::chrono::hours(100);
    created->advance(1, longAfterBoot);
    CHECK(created->isHealthy());
    CHECK(created->limit() == ConcurrencyLimits().initialLimit);
    created->advance(1, longAfterBoot + ConcurrencyLimits().stallTimeout);
    CHECK_FALSE(created->isHealthy());
}
