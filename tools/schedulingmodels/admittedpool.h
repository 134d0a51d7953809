#pragma once

#include "scheduling/admissionpolicy.h"
#include "scheduling/drainestimator.h"
#include "schedulingmodels/fakes.h"

#include <algorithm>
#include <functional>
#include <map>
#include <queue>
#include <vector>

namespace SchedulingModels {

using Base::Milliseconds;
using namespace Scheduling;

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
        pool.waitingOfCustomer = m_queue.waitingCount(customer);
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

} // namespace SchedulingModels
