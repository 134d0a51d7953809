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

/// What a run measured of one customer.
struct CustomerStats
{
    std::size_t started = 0;
    /// Requests that started after their start target.
    std::size_t late = 0;
    std::size_t refused = 0;
    Milliseconds longestWait{0};
};

/// A pool of slots behind a fair queue with admission, in steps of 1 ms. Every request takes a slot
/// for 100 ms and has a start target of 500 ms.
class AdmittedPool
{
public:
    AdmittedPool(std::size_t slots, double targetFactor)
        : m_slots(slots)
        , m_queue(*FairQueue::create({1}))
        , m_admission(*AdmissionPolicy::create(limits(targetFactor)))
    {}

    /// Runs until the time \a endTime (ms). Every \a interval ms each customer sends one request,
    /// but customer 0 sends \a burstSize at once.
    void run(std::size_t customers, std::int64_t interval, std::size_t burstSize,
             std::int64_t endTime)
    {
        for (; m_now < endTime; ++m_now) {
            while (!m_endTimes.empty() && m_endTimes.top() <= m_now) {
                m_endTimes.pop();
                m_drain.recordUse(Milliseconds(100));
            }
            for (std::size_t i = 0; m_now % interval == 0 && i < customers; ++i) {
                for (std::size_t request = 0; request < (i == 0 ? burstSize : 1); ++request)
                    submit(customerNamed(i));
            }
            idle += m_queue.size() > 0 && m_endTimes.size() < m_slots ? 1 : 0;
        }
    }

    std::map<Base::CustomerId, CustomerStats> byCustomer;
    /// Steps in which a slot was free although work waited.
    std::size_t idle = 0;

private:
    static AdmissionLimits limits(double factor)
    {
        AdmissionLimits limits;
        limits.targetFactor = factor;
        return limits;
    }

    /// Admits a request to the queue or counts it as refused.
    void submit(const Base::CustomerId &customer)
    {
        WaitingWork work = workOf(++m_serial, customer, m_now + 500);
        work.arrivedAt = at(m_now);
        PoolState pool;
        pool.waiting = m_queue.size();
        pool.waitingOfCustomer = m_queue.waitingCount(customer);
        pool.backloggedCustomers = m_queue.backloggedCount() + (pool.waitingOfCustomer == 0);
        pool.usableServers = 1;
        pool.freePermits = m_slots - m_endTimes.size();
        pool.drainRate = m_drain.rate(m_slots);
        if (m_admission.refusalFor(work, pool, at(m_now), m_random)) {
            ++byCustomer[customer].refused;
            return;
        }
        if (const auto least = m_queue.leastServed(m_service))
            m_service.received[customer] =
                std::max(m_service.received[customer], m_service.position(*least));
        m_queue.push(work);
        startWaiting();
    }

    void startWaiting()
    {
        while (!m_queue.isEmpty() && m_endTimes.size() < m_slots) {
            const WaitingWork work = *m_queue.takeNext(m_service, FakeClaims(), at(m_now));
            CustomerStats &customer = byCustomer[work.customer];
            ++customer.started;
            customer.late += work.startBy < at(m_now) ? 1 : 0;
            const auto wait = std::chrono::duration_cast<Milliseconds>(at(m_now) - work.arrivedAt);
            customer.longestWait = std::max(customer.longestWait, wait);
            ++m_service.received[work.customer];
            m_endTimes.push(m_now + 100);
        }
    }

    std::size_t m_slots;
    FairQueue m_queue;
    AdmissionPolicy m_admission;
    DrainEstimator m_drain;
    FakeService m_service;
    Base::SeededRandom m_random{20261};
    std::priority_queue<std::int64_t, std::vector<std::int64_t>, std::greater<>> m_endTimes;
    std::int64_t m_now = 0;
    std::uint64_t m_serial = 0;
};

} // namespace SchedulingModels
