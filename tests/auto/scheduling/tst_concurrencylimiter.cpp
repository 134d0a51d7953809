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
    shape.meanWhole = *rc::gen::inRange(200, 3000);
    shape.reportLag = *rc::gen::inRange(0, 1500);
    shape.noise = *rc::gen::inRange<std::size_t>(0, 3);
    return shape;
}

} // namespace

TEST_CASE("the limit keeps any engine full and its queue short", "[scheduling]")
{
    // Answers start late although half the servers have room: the limit swings between too
    // many and too few, since each report shows what the last change but one had done.
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

TEST_CASE("a frozen server is given up, probed one at a time and taken back slowly", "[scheduling]")
{
    // Every tenth caller waits half a minute for nothing: one engine hangs, has all its permits
    // in use and, as the emptiest, is given each new one that frees.
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

TEST_CASE("failures of old work do not count against a probe", "[scheduling]")
{
    // A server that was mended stays out for minutes: the work cut by its crash times out one
    // by one, and each time that is taken for a failed probe.
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

TEST_CASE("a frozen server that still reports its load is found by its silence", "[scheduling]")
{
    EngineModel server({1, 32, 500, 400, 4, 0});
    server.run(20000);
    server.isFrozen = true;
    server.run(29000);
    CHECK(server.limiter.isHealthy());
    server.run(3000);
    CHECK(!server.limiter.isHealthy());
}

TEST_CASE("a slow server without a queue shrinks and comes back", "[scheduling]")
{
    EngineModel server({1, 64, 300, 400, 4, 0});
    server.run(20000);
    const std::size_t before = server.limiter.limit();
    server.slowness = 12;
    server.shape.slots = 400;
    // All servers alike: the work has become long, and the server is given as much as before.
    server.limiter.setPeerTimeToFirstToken(Milliseconds(600));
    server.run(20000);
    CHECK(server.limiter.limit() >= before);
    server.limiter.setPeerTimeToFirstToken(Milliseconds(60));
    server.run(60000);
    CHECK(server.limiter.limit() < before / 2);
    // A moment's slowness is one cut, however many answers of that moment end later.
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

TEST_CASE("a server used at once is not taken for frozen", "[scheduling]")
{
    // Callers wait half a minute beside idle servers: the first request makes a home and uses a
    // permit in the same step, and the time without progress is counted from the clock's start,
    // which is when the host was booted.
    auto created = ConcurrencyLimiter::create(ConcurrencyLimits());
    REQUIRE(created);
    const Base::TimePoint longAfterBoot = Base::TimePoint{} + std::chrono::hours(100);
    created->advance(1, longAfterBoot);
    CHECK(created->isHealthy());
    CHECK(created->limit() == ConcurrencyLimits().initialLimit);
    created->advance(1, longAfterBoot + ConcurrencyLimits().stallAfter);
    CHECK_FALSE(created->isHealthy());
}
