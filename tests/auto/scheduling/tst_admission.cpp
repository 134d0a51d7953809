#include "scheduling/admissionpolicy.h"
#include "scheduling/drainestimator.h"
#include "scheduling/policyerror.h"
#include "schedulingmodels/admittedpool.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace Scheduling;
using namespace SchedulingModels;
using Base::Milliseconds;

namespace {

PoolState busyPool(std::size_t waiting, std::size_t own, std::size_t backlogged, double rate)
{
    return {waiting, own, backlogged, 4, 0, rate};
}

} // namespace

TEST_CASE("a flooding customer's own work is turned away first", "[scheduling]")
{
    // Counter staff of a small dealer wait behind a thousand photo tags of a large one, or are
    // refused since those fill the queue: one customer asks 200 times what the others do.
    AdmittedPool pool(8, 4);
    pool.run(4, 100, 1, 1000);
    pool.run(4, 100, 200, 20000);
    for (std::size_t i = 1; i < 4; ++i) {
        CHECK(pool.seen[customerNamed(i)].refused == 0);
        CHECK(pool.seen[customerNamed(i)].longestWait <= Milliseconds(500));
    }
    const CustomerSeen &flooder = pool.seen[customerNamed(0)];
    CHECK(flooder.refused > 30000);
    // Predicted while no other waits: 4 * 500 ms at 80 a second. The others then take 30 of it.
    CHECK(flooder.longestWait <= Milliseconds(4 * 500 * 80 / 50 + 100));
    CHECK(pool.idle == 0);
}

TEST_CASE("a burst after a quiet time is let in as far as the pool carries it", "[scheduling]")
{
    // The first Saturday buyers are told to come back although every server is idle: the rate
    // of the quiet night was taken for the pool's.
    DrainEstimator drain;
    for (int i = 0; i < 100; ++i)
        drain.recordUse(Milliseconds(200));
    CHECK(drain.rate(10) == Approx(50));
    CHECK(DrainEstimator().rate(10) == 0);
    AdmittedPool pool(8, 4);
    pool.run(1, 1000, 1, 60000);
    pool.run(1, 1000, 100, 60001);
    CHECK(pool.seen[customerNamed(0)].refused == 0);
}

TEST_CASE("many flooding customers leave room for one more", "[scheduling]")
{
    const AdmissionPolicy policy = *AdmissionPolicy::create({});
    std::map<std::size_t, std::size_t> held;
    std::size_t waiting = 0;
    for (std::size_t n = 0; n < 120000; ++n) {
        std::size_t &own = held[n % 40];
        if (own >= policy.customerBound(busyPool(waiting, own, 40, 0)))
            continue;
        ++own;
        ++waiting;
    }
    Base::SeededRandom random(1);
    CHECK(waiting < 20000);
    CHECK(!policy.refusalFor(workOf(1, customerNamed(99), 100), busyPool(waiting, 0, 41, 0), at(0),
                             random));
    const auto refusal = policy.refusalFor(workOf(1, customerNamed(0), 100),
                                           busyPool(waiting, held[0], 40, 0), at(0), random);
    REQUIRE(refusal.has_value());
    CHECK(refusal->reason == RefusalReason::CustomerQueueFull);
}

TEST_CASE("admission keeps its promises for any state of the pool", "[scheduling]")
{
    rc::prop("free permits, first work, deadlines and return times", [] {
        const AdmissionLimits limits;
        const AdmissionPolicy policy = *AdmissionPolicy::create(limits);
        Base::SeededRandom random(*rc::gen::arbitrary<std::uint64_t>());
        const auto own = *rc::gen::inRange<std::size_t>(0, 1500);
        const auto others = *rc::gen::inRange<std::size_t>(0, 15000);
        const auto backlogged = *rc::gen::inRange<std::size_t>(1, 900);
        PoolState pool = busyPool(own + others, own, backlogged,
                                  *rc::gen::elementOf(std::vector<double>{0, 1e-9, 3, 80, 5000}));
        pool.freePermits = *rc::gen::inRange<std::size_t>(0, 3);
        WaitingWork work = workOf(1, customerNamed(1), *rc::gen::inRange(1, 5000));
        const auto wait = policy.predictedWait(pool);
        auto refusal = policy.refusalFor(work, pool, at(0), random);
        if (pool.freePermits > 0 || own == 0 || pool.drainRate == 0)
            RC_ASSERT(!refusal.has_value());
        if (wait && *wait > Milliseconds(1)) {
            work.deadline = at(1);
            refusal = policy.refusalFor(work, pool, at(0), random);
            RC_ASSERT(refusal->reason == RefusalReason::DeadlineUnmeetable);
            RC_ASSERT(refusal->retryAfter >= limits.smallestRetryAfter);
            RC_ASSERT(refusal->retryAfter <= limits.largestRetryAfter * 3 / 2);
        }
        work.deadline = at(0);
        refusal = policy.refusalFor(work, pool, at(0), random);
        RC_ASSERT(refusal->reason == RefusalReason::DeadlinePassed);
        // A neighbour's backlog does not lengthen the wait beyond its fair share.
        pool.waiting += 100;
        if (wait && *wait > Base::Duration::zero() && own + others >= (own + 1) * backlogged)
            RC_ASSERT(*policy.predictedWait(pool) == *wait);
    });
}

TEST_CASE("callers refused together do not come back together", "[scheduling]")
{
    // After a surge the entry hosts are hit by a second one exactly 30 s later: every refused
    // caller was told the longest return time.
    const AdmissionPolicy policy = *AdmissionPolicy::create({});
    Base::SeededRandom random(20261);
    for (const double rate : {0.0, 0.001, 100.0}) {
        std::map<std::int64_t, int> perTenth;
        const PoolState pool = busyPool(20000, 2000, 10, rate);
        const Milliseconds whole = rate == 0 ? Milliseconds(2000) : Milliseconds(30000);
        for (int i = 0; i < 1000; ++i) {
            const auto refusal = policy.refuse(RefusalReason::PoolQueueFull, pool, random);
            ++perTenth[refusal.retryAfter * 10 / whole];
        }
        for (const auto &[tenth, n] : perTenth)
            CHECK(n < 150);
    }
}

TEST_CASE("admission thresholds out of range are refused", "[scheduling]")
{
    AdmissionLimits limits;
    limits.targetFactor = 0;
    const PolicyField field = boost::leaf::try_handle_all(
        [&]() -> Base::Result<PolicyField> {
            auto policy = AdmissionPolicy::create(limits);
            if (!policy)
                return policy.error();
            return PolicyField::AdmissionBounds;
        },
        [](const InvalidPolicy &error) { return error.field; },
        [] { return PolicyField::AdmissionBounds; });
    CHECK(field == PolicyField::AdmissionTargetFactor);
}
