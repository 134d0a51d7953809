#include "scheduling/fairqueue.h"
#include "schedulingmodels/backloggedpool.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace SchedulingModels;
using Scheduling::FairQueue;
using Scheduling::WaitingWork;

namespace {

/// Reference implementation of the queue order: searches all waiting work.
const WaitingWork *expectedNext(const std::vector<WaitingWork> &waiting, const FakeService &service,
                                const FakeClaims &claims, Base::ServiceUnits window)
{
    Base::ServiceUnits leastPosition = ~Base::ServiceUnits(0);
    for (const WaitingWork &work : waiting)
        leastPosition = std::min(leastPosition, service.position(work.customer));
    const WaitingWork *bestWork = nullptr;
    const auto rank = [&](const WaitingWork &work) {
        return std::tuple(claims.isOverClaim(work.workClass), work.startBy, work.arrivedAt,
                          work.request.serial);
    };
    for (const WaitingWork &work : waiting) {
        if (service.position(work.customer) > leastPosition + window)
            continue;
        if (!bestWork || rank(work) < rank(*bestWork))
            bestWork = &work;
    }
    return bestWork;
}

} // namespace

TEST_CASE("the queue order agrees with its definition", "[scheduling]")
{
    rc::prop("for any pushes, takes, removals, increases and announced decreases of positions", [] {
        constexpr Base::ServiceUnits window = 50;
        FairQueue queue = *FairQueue::create({window});
        FakeService service;
        FakeClaims claims;
        std::vector<WaitingWork> waiting;
        const auto steps = *rc::gen::container<std::vector<std::uint32_t>>(
            250, rc::gen::arbitrary<std::uint32_t>());
        for (std::size_t i = 0; i < steps.size(); ++i) {
            const std::uint32_t n = steps[i] / 8;
            const Base::CustomerId customer = customerNamed(n % 30);
            switch (steps[i] % 8) {
            case 0:
                service.received[customer] += n / 30 % 90;
                break;
            case 1:
                service.received[customer] /= 2;
                queue.invalidatePosition(customer);
                break;
            case 2:
                claims.over = {Base::ClassId(n % 2 == 0 ? "a" : "c")};
                break;
            case 3:
                if (waiting.empty())
                    break;
                RC_ASSERT(queue.remove(waiting[n % waiting.size()].request).has_value());
                waiting.erase(waiting.begin() + n % waiting.size());
                break;
            case 4:
            case 5: {
                const WaitingWork *expected = expectedNext(waiting, service, claims, window);
                const auto taken = queue.takeNext(service, claims, at(0));
                RC_ASSERT(taken.has_value() == (expected != nullptr));
                if (!expected)
                    break;
                RC_ASSERT(taken->request == expected->request);
                waiting.erase(waiting.begin() + (expected - waiting.data()));
                break;
            }
            default:
                waiting.push_back(workOf(i, customer, n % 40, n % 3 == 0 ? "a" : "c"));
                queue.push(waiting.back());
            }
            RC_ASSERT(queue.size() == waiting.size());
        }
    });
}

TEST_CASE("the service gap between backlogged customers stays within its bound", "[scheduling]")
{
    // Guards against a large customer that stops the service of a small one. The large customer
    // has a thousand times the backlog, costs are known only when work ends, one request in ten is
    // ten times longer than its hold, and a class may be over its claim. Halfway through, a
    // customer arrives that has not been served before.
    rc::prop("for any costs, backlog, claims and time, with a new customer", [] {
        const auto seed = *rc::gen::arbitrary<std::uint64_t>();
        const auto slots = *rc::gen::inRange<std::size_t>(1, 13);
        const auto window = *rc::gen::inRange<Base::ServiceUnits>(0, 200);
        BackloggedPool pool(seed, slots, window);
        pool.isLearning = *rc::gen::arbitrary<bool>();
        pool.hint = *rc::gen::inRange<Base::ServiceUnits>(1, 120);
        if (*rc::gen::arbitrary<bool>())
            pool.claims.over = {Base::ClassId("batch")};
        pool.addCustomer(customerNamed(0), 1);
        pool.addCustomer(customerNamed(1), 1000);
        pool.addCustomer(customerNamed(2), 3);
        Base::ServiceUnits earlyGap = 0;
        Base::ServiceUnits lateGap = 0;
        for (int i = 0; i < 4000; ++i) {
            if (i == 2000)
                pool.addCustomer(customerNamed(3), 1);
            pool.step();
            Base::ServiceUnits &largest = i < 1000 ? earlyGap : lateGap;
            largest = std::max(largest, pool.gap());
            RC_ASSERT(pool.gap() <= pool.bound(window));
        }
        // A gap that grows with time would be proportional to the units served.
        RC_ASSERT(lateGap <= earlyGap + pool.bound(window) / 2);
    });
}

TEST_CASE("holds are learned where hints are wrong", "[scheduling]")
{
    // Guards against a customer that gets five times its share before its costs show because its
    // requests cost five times the callers' hints.
    Scheduling::HoldEstimator holds;
    const Base::ClassId exact("exact");
    const Base::ClassId spread("spread");
    CHECK(holds.hold(exact, 100) == 100);
    for (int i = 0; i < 400; ++i) {
        holds.recordCost(exact, 100, 500);
        holds.recordCost(spread, 100, i % 10 == 0 ? 1000 : 100);
    }
    CHECK(holds.hold(exact, 100) == 500);
    CHECK(holds.hold(spread, 100) > 150);
    CHECK(holds.hold(spread, 100) < 250);
    std::map<bool, Base::ServiceUnits> gaps;
    for (const bool isLearning : {false, true}) {
        BackloggedPool pool(20261, 12, 20);
        pool.isLearning = isLearning;
        pool.hint = 2;
        for (std::size_t i = 0; i < 16; ++i)
            pool.addCustomer(customerNamed(i), 6);
        for (int i = 0; i < 10000; ++i) {
            pool.step();
            gaps[isLearning] = std::max(gaps[isLearning], pool.gap());
        }
    }
    CHECK(gaps[true] < gaps[false]);
}

TEST_CASE("an unannounced decrease of a position is noticed within a refresh round", "[scheduling]")
{
    // Guards against a customer that waits forever although it is the least served, because its
    // debt was forgiven after a network partition and the queue was not told.
    FairQueue queue = *FairQueue::create({100});
    FakeService service;
    for (std::uint64_t i = 0; i < 400; ++i) {
        const Base::CustomerId customer = customerNamed(i % 40);
        service.received[customer] = i % 40 == 0 ? 900000 : 5000;
        queue.push(workOf(i, customer, 10));
    }
    queue.takeNext(service, FakeClaims(), at(0));
    service.received[customerNamed(0)] = 0;
    std::size_t takes = 1;
    while (queue.takeNext(service, FakeClaims(), at(0))->customer != customerNamed(0))
        ++takes;
    CHECK(takes <= 11);
}

TEST_CASE("expired work leaves the queue in order of deadline", "[scheduling]")
{
    FairQueue queue = *FairQueue::create({});
    for (std::uint64_t i = 0; i < 10; ++i) {
        WaitingWork work = workOf(i, customerNamed(i % 2), 0);
        if (i % 5 != 0)
            work.deadline = at(100 - static_cast<std::int64_t>(i));
        queue.push(work);
    }
    const std::vector<WaitingWork> expired = queue.takeExpired(at(94));
    REQUIRE(expired.size() == 4);
    CHECK(expired.front().request.serial == 9);
    CHECK(queue.size() == 6);
    CHECK(queue.takeExpired(at(94)).empty());
}
