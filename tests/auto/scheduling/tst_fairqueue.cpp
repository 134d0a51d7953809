#include "scheduling/fairqueue.h"
#include "schedulingmodels/backloggedpool.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace SchedulingModels;
using Scheduling::FairQueue;
using Scheduling::WaitingWork;

namespace {

/// The order as docs/design/queue-order.md says it, by a search through everything.
const WaitingWork *expectedNext(const std::vector<WaitingWork> &waiting, const FakeService &service,
                                const FakeClaims &claims, Base::ServiceUnits window)
{
    Base::ServiceUnits floor = ~Base::ServiceUnits(0);
    for (const WaitingWork &work : waiting)
        floor = std::min(floor, service.position(work.customer));
    const WaitingWork *best = nullptr;
    const auto rank = [&](const WaitingWork &work) {
        return std::tuple(claims.isOverClaim(work.workClass), work.startBy, work.arrivedAt,
                          work.request.serial);
    };
    for (const WaitingWork &work : waiting) {
        if (service.position(work.customer) > floor + window)
            continue;
        if (!best || rank(work) < rank(*best))
            best = &work;
    }
    return best;
}

} // namespace

TEST_CASE("the queue order agrees with its definition", "[scheduling]")
{
    rc::prop("for any pushes, takes, removals, growing and announced falling positions", [] {
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

TEST_CASE("the gap between backlogged customers stays under the written bound", "[scheduling]")
{
    // A university's finance office sees its answers stop while a large dealer's batch runs:
    // the dealer has a thousand times the backlog, costs are known only at the end, one work in
    // ten is ten times longer than the hold says, and a class is over its claim. Later a third
    // customer arrives that was never served.
    rc::prop("for any costs, backlog, claims and time, with a newcomer", [] {
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
        Base::ServiceUnits early = 0;
        Base::ServiceUnits late = 0;
        for (int i = 0; i < 4000; ++i) {
            if (i == 2000)
                pool.addCustomer(customerNamed(3), 1);
            pool.step();
            Base::ServiceUnits &largest = i < 1000 ? early : late;
            largest = std::max(largest, pool.gap());
            RC_ASSERT(pool.gap() <= pool.bound(window));
        }
        // Growth with time would show as a gap in proportion to the units served.
        RC_ASSERT(late <= early + pool.bound(window) / 2);
    });
}

TEST_CASE("holds are learned where hints are wrong", "[scheduling]")
{
    // Grant summaries run five times longer than their callers say, and each university that
    // sends them gets five times its share before their cost shows.
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

TEST_CASE("an unannounced fall of a position is seen within a rotation", "[scheduling]")
{
    // A customer waits for ever although it is the least served: its debt was forgiven when
    // partitioned routers rejoined, and nobody told the queue.
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

TEST_CASE("work whose caller gave up leaves in order of deadline", "[scheduling]")
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
