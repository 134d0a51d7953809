#pragma once

#include "scheduling/holdestimator.h"
#include "schedulingmodels/fakes.h"

#include <algorithm>
#include <optional>
#include <random>
#include <vector>

namespace SchedulingModels {

/// A pool of slots that serve one unit a step each, fed from a fair queue in which every
/// customer keeps a given backlog. A work's true cost is drawn when it starts and differs from
/// the hold; one in ten is ten times longer.
class BackloggedPool
{
public:
    BackloggedPool(std::uint64_t seed, std::size_t slots, Base::ServiceUnits window)
        : queue(*Scheduling::FairQueue::create({window}))
        , m_random(seed)
        , m_slots(slots)
    {}

    void addCustomer(const Base::CustomerId &customer, std::size_t backlog)
    {
        const std::optional<Base::CustomerId> least = queue.leastServed(service);
        if (least)
            service.received[customer] = service.position(*least);
        for (std::size_t i = 0; i < backlog; ++i)
            pushWork(customer);
    }

    /// One unit of service at every slot.
    void step()
    {
        while (m_running.size() < m_slots)
            start();
        for (std::size_t i = 0; i < m_running.size();) {
            Running &run = m_running[i];
            ++service.received[run.customer];
            Base::ServiceUnits &held = service.held[run.customer];
            const Base::ServiceUnits freed = std::min<Base::ServiceUnits>(run.held, 1);
            held -= freed;
            run.held -= freed;
            if (--run.left > 0) {
                ++i;
                continue;
            }
            held -= run.held;
            m_holds.recordCost(run.workClass, hint, run.cost);
            queue.invalidatePosition(run.customer);
            run = m_running.back();
            m_running.pop_back();
        }
        ++m_now;
    }

    /// Largest service minus least, over all customers.
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

    /// The bound of docs/design/queue-order.md: window + hold + slots * largest work or hold.
    Base::ServiceUnits bound(Base::ServiceUnits window) const
    {
        return window + m_largestHold + m_slots * std::max(largest, m_largestHold);
    }

    /// What callers say that a work will cost.
    Base::ServiceUnits hint = 20;
    /// Whether holds are learned; else they are the hint.
    bool isLearning = true;
    static constexpr Base::ServiceUnits largest = 100;

    Scheduling::FairQueue queue;
    FakeService service;
    FakeClaims claims;
    std::uint64_t late = 0;
    std::uint64_t started = 0;

private:
    struct Running
    {
        Base::CustomerId customer;
        Base::ClassId workClass;
        Base::ServiceUnits cost = 0;
        Base::ServiceUnits left = 0;
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

    void start()
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
