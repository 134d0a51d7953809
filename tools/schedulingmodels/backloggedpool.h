#pragma once

#include "scheduling/holdestimator.h"
#include "schedulingmodels/fakes.h"

#include <algorithm>
#include <optional>
#include <random>
#include <vector>

namespace SchedulingModels {

/// A pool of slots that each serve one unit in a step, fed from a fair queue in which every
/// customer keeps a given backlog. The true cost of a work is drawn when it starts and differs from
/// its hold, the units that are counted for it before its cost is known. One work in ten is up to
/// ten times as long as the others.
class BackloggedPool
{
public:
    BackloggedPool(std::uint64_t seed, std::size_t slots, Base::ServiceUnits window)
        : queue(*Scheduling::FairQueue::create({window}))
        , m_random(seed)
        , m_slots(slots)
    {}

    /// Adds a customer with \a backlog waiting works. Its service starts at that of the least
    /// served customer, so that it gets no credit for the time before.
    void addCustomer(const Base::CustomerId &customer, std::size_t backlog)
    {
        const std::optional<Base::CustomerId> least = queue.leastServed(service);
        if (least)
            service.received[customer] = service.position(*least);
        for (std::size_t i = 0; i < backlog; ++i)
            pushWork(customer);
    }

    /// Fills all slots, then serves one unit at each of them.
    void step()
    {
        while (m_running.size() < m_slots)
            startNext();
        for (std::size_t i = 0; i < m_running.size();) {
            Running &running = m_running[i];
            ++service.received[running.customer];
            Base::ServiceUnits &held = service.held[running.customer];
            const Base::ServiceUnits freed = std::min<Base::ServiceUnits>(running.held, 1);
            held -= freed;
            running.held -= freed;
            if (--running.remaining > 0) {
                ++i;
                continue;
            }
            held -= running.held;
            m_holds.recordCost(running.workClass, hint, running.cost);
            queue.invalidatePosition(running.customer);
            running = m_running.back();
            m_running.pop_back();
        }
        ++m_now;
    }

    /// Returns the largest service of any customer minus the least.
    Base::ServiceUnits gap() const
    {
        Base::ServiceUnits least = ~Base::ServiceUnits(0);
        Base::ServiceUnits most = 0;
        for (const auto &[customer, units] : service.received) {
            least = std::min(least, units);
            most = std::max(most, units);
        }
        return most - least;
    }

    /// Returns the bound of the gap: window + largest hold + slots * the larger of the largest work
    /// and the largest hold. docs/design/queue-order.md derives it.
    Base::ServiceUnits bound(Base::ServiceUnits window) const
    {
        return window + m_largestHold + m_slots * std::max(largest, m_largestHold);
    }

    /// The cost of a work as callers estimate it, in units.
    Base::ServiceUnits hint = 20;
    /// Whether the hold is estimated from earlier costs; else it is the hint.
    bool isLearning = true;
    /// The largest true cost of a work, in units.
    static constexpr Base::ServiceUnits largest = 100;

    Scheduling::FairQueue queue;
    FakeService service;
    FakeClaims claims;
    /// Works that started after their start target.
    std::uint64_t late = 0;
    std::uint64_t started = 0;

private:
    struct Running
    {
        Base::CustomerId customer;
        Base::ClassId workClass;
        Base::ServiceUnits cost = 0;
        Base::ServiceUnits remaining = 0;
        Base::ServiceUnits held = 0;
    };

    void pushWork(const Base::CustomerId &customer)
    {
        const bool isUrgent = m_random() % 4 == 0;
        const std::int64_t target = isUrgent ? 60 : 2000;
        Scheduling::WaitingWork work =
            workOf(++m_serial, customer, m_now + target, isUrgent ? "urgent" : "batch");
        work.expectedCost = hint;
        queue.push(work);
    }

    void startNext()
    {
        const auto work = queue.takeNext(service, claims, at(m_now));
        ++started;
        if (work->startBy < at(m_now))
            ++late;
        const bool isLong = m_random() % 10 == 0;
        const Base::ServiceUnits cost = 1 + m_random() % (isLong ? largest : largest / 10);
        const Base::ServiceUnits hold = isLearning ? m_holds.hold(work->workClass, hint) : hint;
        m_largestHold = std::max(m_largestHold, hold);
        service.held[work->customer] += hold;
        m_running.push_back({work->customer, work->workClass, cost, cost, hold});
        pushWork(work->customer);
    }

    std::mt19937_64 m_random;
    std::size_t m_slots;
    Scheduling::HoldEstimator m_holds;
    Base::ServiceUnits m_largestHold = 0;
    std::int64_t m_now = 0;
    std::uint64_t m_serial = 0;
    std::vector<Running> m_running;
};

} // namespace SchedulingModels
