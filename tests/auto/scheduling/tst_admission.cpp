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

PoolState busyPool(std::size_t waiting, std::size_t ownWaiting, std::size_t backlogged, double rate)
{
    return {waiting, ownWaiting, backlogged, 4, 0, rate};
}

} // namespace

TEST_CASE("only the work of a flooding customer is refused", "[scheduling]")
{
    // Guards against a flooding customer that delays the others or, by filling the queue,
    // causes their work to be refused. One customer sends 200 times as many requests as each other.
    AdmittedPool pool(8, 4);
    pool.run(4, 100, 1, 1000);
    pool.run(4, 100, 200, 20000);
    for (std::size_t i = 1; i < 4; ++i) {
        CHECK(pool.byCustomer[customerNamed(i)].refused == 0);
        CHECK(pool.byCustomer[customerNamed(i)].longestWait <= Milliseconds(500));
    }
    const CustomerStats &flooder = pool.byCustomer[customerNamed(0)];
    CHECK(flooder.refused > 30000);
    // The wait that was predicted while no other customer waits is at most 4 * 500 ms, at 80
    // permits a second. It gets longer when the other customers take 30 of the 80.
    CHECK(flooder.longestWait <= Milliseconds(4 * 500 * 80 / 50 + 100));
    CHECK(pool.idle == 0);
}

TEST_CASE("a burst after a quiet time is admitted as far as the pool can serve it", "[scheduling]")
{
    // Guards against refusing a burst while every server is idle, which happens when the low permit
    // rate of the quiet time is used as the drain rate of the pool.
    DrainEstimator drain;
    for (int i = 0; i < 100; ++i)
        drain.recordUse(Milliseconds(200));
    CHECK(drain.rate(10) == Approx(50));
    CHECK(DrainEstimator().rate(10) == 0);
    AdmittedPool pool(8, 4);
    pool.run(1, 1000, 1, 60000);
    pool.run(1, 1000, 100, 60001);
    CHECK(pool.byCustomer[customerNamed(0)].refused == 0);
}

TEST_CASE("many flooding customers leave room for one more", "[scheduling]")
{
    const AdmissionPolicy policy = *AdmissionPolicy::create({});
    std::map<std::size_t, std::size_t> held;
    std::size_t waiting = 0;
    for (std::size_t n = 0; n < 120000; ++n) {
        std::size_t &ownWaiting = held[n % 40];
        if (ownWaiting >= policy.maxWaitingOfCustomer(busyPool(waiting, ownWaiting, 40, 0)))
            continue;
        ++ownWaiting;
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

TEST_CASE("admission is consistent for any state of the pool", "[scheduling]")
{
    rc::prop("free permits, first work, deadlines and retry times", [] {
        const AdmissionLimits limits;
        const AdmissionPolicy policy = *AdmissionPolicy::create(limits);
        Base::SeededRandom random(*rc::gen::arbitrary<std::uint64_t>());
        const auto ownWaiting = *rc::gen::inRange<std::size_t>(0, 1500);
        const auto otherWaiting = *rc::gen::inRange<std::size_t>(0, 15000);
        const auto backlogged = *rc::gen::inRange<std::size_t>(1, 900);
        PoolState pool = busyPool(ownWaiting + otherWaiting, ownWaiting, backlogged,
                                  *rc::gen::elementOf(std::vector<double>{0, 1e-9, 3, 80, 5000}));
        pool.freePermits = *rc::gen::inRange<std::size_t>(0, 3);
        WaitingWork work = workOf(1, customerNamed(1), *rc::gen::inRange(1, 5000));
        const auto wait = policy.predictedWait(pool);
        auto refusal = policy.refusalFor(work, pool, at(0), random);
        if (pool.freePermits > 0 || ownWaiting == 0 || pool.drainRate == 0)
            RC_ASSERT(!refusal.has_value());
        if (wait && *wait > Milliseconds(1)) {
            work.deadline = at(1);
            refusal = policy.refusalFor(work, pool, at(0), random);
            RC_ASSERT(refusal->reason == RefusalReason::DeadlineUnmeetable);
            RC_ASSERT(refusal->retryAfter >= limits.minRetryAfter);
            RC_ASSERT(refusal->retryAfter <= limits.maxRetryAfter * 3 / 2);
        }
        work.deadline = at(0);
        refusal = policy.refusalFor(work, pool, at(0), random);
        RC_ASSERT(refusal->reason == RefusalReason::DeadlinePassed);
        // Once the customer waits for its fair share, more work of others does not lengthen the
        // wait.
        pool.waiting += 100;
        if (wait && *wait > Base::Duration::zero()
            && ownWaiting + otherWaiting >= (ownWaiting + 1) * backlogged)
            RC_ASSERT(*policy.predictedWait(pool) == *wait);
    });
}

TEST_CASE("callers refused together do not retry together", "[scheduling]")
{
    // Guards against a second surge exactly 30 s after the first, which happens when every
    // refused caller is given the longest retry time.
    const AdmissionPolicy policy = *AdmissionPolicy::create({});
    Base::SeededRandom random(20261);
    for (const double rate : {0.0, 0.001, 100.0}) {
        std::map<std::int64_t, int> countByTenth;
        const PoolState pool = busyPool(20000, 2000, 10, rate);
        const Milliseconds whole = rate == 0 ? Milliseconds(2000) : Milliseconds(30000);
        for (int i = 0; i < 1000; ++i) {
            const auto refusal = policy.refuse(RefusalReason::PoolQueueFull, pool, random);
            ++countByTenth[refusal.retryAfter * 10 / whole];
        }
        for (const auto &[tenth, n] : countByTenth)
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
