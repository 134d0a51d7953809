#include "poolmodel.h"
#include "scheduling/admissionpolicy.h"
#include "scheduling/drainestimator.h"
#include "scheduling/policyerror.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <iostream>
#include <queue>

using namespace Scheduling;
using Base::Milliseconds;

namespace {

struct CustomerSeen
{
    std::size_t started = 0;
    std::size_t late = 0;
    std::size_t refused = 0;
    Milliseconds longestWait{0};
};

/// Slots that serve every work in 100 ms, before them a queue with admission, in steps of 1 ms.
class AdmittedPool
{
public:
    AdmittedPool(std::size_t slots, double targetFactor)
        : m_slots(slots)
        , m_queue(*FairQueue::create({1}))
        , m_admission(*AdmissionPolicy::create(limits(targetFactor)))
    {}

    /// Customer 0 asks \a flood times as often as the others, each \a every ms.
    void run(std::size_t customers, std::int64_t every, std::size_t flood, std::int64_t until)
    {
        for (; m_now < until; ++m_now) {
            while (!m_ends.empty() && m_ends.top() <= m_now) {
                m_ends.pop();
                m_drain.recordUse(Milliseconds(100));
            }
            for (std::size_t i = 0; m_now % every == 0 && i < customers; ++i) {
                for (std::size_t n = 0; n < (i == 0 ? flood : 1); ++n)
                    ask(customerNamed(i));
            }
            idle += m_queue.size() > 0 && m_ends.size() < m_slots ? 1 : 0;
        }
    }

    std::map<Base::CustomerId, CustomerSeen> seen;
    std::size_t idle = 0;

private:
    static AdmissionLimits limits(double factor)
    {
        AdmissionLimits limits;
        limits.targetFactor = factor;
        return limits;
    }

    void ask(const Base::CustomerId &customer)
    {
        WaitingWork work = workOf(++m_serial, customer, m_now + 500);
        work.arrivedAt = at(m_now);
        PoolState pool;
        pool.waiting = m_queue.size();
        pool.waitingOfCustomer = m_queue.waitingOf(customer);
        pool.backloggedCustomers = m_queue.backloggedCount() + (pool.waitingOfCustomer == 0);
        pool.usableServers = 1;
        pool.freePermits = m_slots - m_ends.size();
        pool.drainRate = m_drain.rate(m_slots);
        if (m_admission.refusalFor(work, pool, at(m_now), m_random)) {
            ++seen[customer].refused;
            return;
        }
        if (const auto least = m_queue.leastServed(m_service))
            m_service.received[customer] =
                std::max(m_service.received[customer], m_service.position(*least));
        m_queue.push(work);
        start();
    }

    void start()
    {
        while (!m_queue.isEmpty() && m_ends.size() < m_slots) {
            const WaitingWork work = *m_queue.takeNext(m_service, FakeClaims(), at(m_now));
            CustomerSeen &customer = seen[work.customer];
            ++customer.started;
            customer.late += work.startBy < at(m_now) ? 1 : 0;
            const auto wait = std::chrono::duration_cast<Milliseconds>(at(m_now) - work.arrivedAt);
            customer.longestWait = std::max(customer.longestWait, wait);
            ++m_service.received[work.customer];
            m_ends.push(m_now + 100);
        }
    }

    std::size_t m_slots;
    FairQueue m_queue;
    AdmissionPolicy m_admission;
    DrainEstimator m_drain;
    FakeService m_service;
    Base::SeededRandom m_random{20261};
    std::priority_queue<std::int64_t, std::vector<std::int64_t>, std::greater<>> m_ends;
    std::int64_t m_now = 0;
    std::uint64_t m_serial = 0;
};

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
    for (std::size_t n = 0; n < 40 * 3000; ++n) {
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
            BOOST_LEAF_CHECK(AdmissionPolicy::create(limits));
            return PolicyField::AdmissionBounds;
        },
        [](const InvalidPolicy &error) { return error.field; },
        [] { return PolicyField::AdmissionBounds; });
    CHECK(field == PolicyField::AdmissionTargetFactor);
}

TEST_CASE("measure: target factor against refusals and waits", "[.measure]")
{
    for (const double factor : {1.0, 2.0, 4.0, 8.0, 1000.0}) {
        AdmittedPool pool(8, factor);
        pool.run(4, 100, 1, 1000);
        pool.run(4, 100, 200, 20000);
        const CustomerSeen &flooder = pool.seen[customerNamed(0)];
        const CustomerSeen &small = pool.seen[customerNamed(1)];
        std::cout << "factor " << factor << ": flooder started " << flooder.started << " refused "
                  << flooder.refused << " longest wait " << flooder.longestWait.count()
                  << " ms; small started " << small.started << " refused " << small.refused
                  << " late " << small.late << " longest wait " << small.longestWait.count()
                  << " ms; idle " << pool.idle << '\n';
    }
}
