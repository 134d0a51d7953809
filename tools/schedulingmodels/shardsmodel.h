#pragma once

#include "scheduling/handoverplanner.h"
#include "scheduling/shardselector.h"
#include "schedulingmodels/fakes.h"

#include <algorithm>
#include <vector>

namespace SchedulingModels {

using namespace Scheduling;

/// What a run measured over all shards after its first 10 s.
struct ShardStats
{
    /// Share of slot time in use.
    double busy = 0;
    /// Longest wait that the queue of any shard implies, in seconds.
    double longestWait = 0;
    /// Share of slot time that was idle while work waited at another shard.
    double idleWhileWaiting = 0;
};

/// Four shards of a pool, each with twice the slots of the one before, and entry hosts that select
/// among them by summaries up to a second old. Every work takes a slot for 500 ms. The model runs
/// in steps of 2 ms; a message to another shard's home (the router that gives out its permits) and
/// the answer take one step.
class ShardsModel
{
public:
    ShardsModel(std::size_t entries, const ShardSelectorPolicy &policy)
        : m_entries(entries, ShardSelector(policy))
        , m_waiting(m_slots.size())
        , m_ends(m_slots.size())
        , m_summaries(m_slots.size())
        , m_planners(m_slots.size())
    {}

    /// Runs for \a milliseconds with requests for the share \a load of all slots. \a hasHandover
    /// tells whether homes hand waiting work to other homes.
    ShardStats run(double load, bool hasHandover, std::int64_t milliseconds)
    {
        ShardStats stats;
        double busy = 0;
        double slotSteps = 0;
        double idle = 0;
        for (std::int64_t now = 0; now < milliseconds; now += 2) {
            if (now % 1000 == 0)
                refreshSummaries(now);
            for (m_dueRequests += load * 150 * 2 / 500; m_dueRequests >= 1; --m_dueRequests)
                ++m_waiting[m_entries[m_random.next() % m_entries.size()].choose(m_summaries,
                                                                                 m_random)];
            if (hasHandover)
                handOver(now);
            std::size_t waiting = 0;
            std::size_t free = 0;
            for (std::size_t i = 0; i < m_slots.size(); ++i) {
                std::erase_if(m_ends[i], [now](std::int64_t end) { return end <= now; });
                for (; m_waiting[i] > 0 && m_ends[i].size() < m_slots[i]; --m_waiting[i])
                    m_ends[i].push_back(now + 500);
                waiting += m_waiting[i];
                free += m_slots[i] - m_ends[i].size();
                const double wait = double(m_waiting[i]) / (2 * double(m_slots[i]));
                if (now > 10000) {
                    stats.longestWait = std::max(stats.longestWait, wait);
                    busy += double(m_ends[i].size());
                    slotSteps += double(m_slots[i]);
                }
            }
            idle += now > 10000 ? double(std::min(waiting, free)) : 0;
        }
        stats.busy = busy / slotSteps;
        stats.idleWhileWaiting = idle / slotSteps;
        return stats;
    }

    /// How often an idle home asked another one for work.
    std::size_t asks = 0;

private:
    ShardSummary summary(std::uint32_t i, std::int64_t now) const
    {
        return {i, m_waiting[i], m_slots[i] - std::min(m_slots[i], m_ends[i].size()),
                2 * double(m_slots[i]), at(now)};
    }

    void refreshSummaries(std::int64_t now)
    {
        for (std::uint32_t i = 0; i < m_slots.size(); ++i)
            m_summaries[i] = summary(i, now);
    }

    void move(std::uint32_t from, std::uint32_t to, std::size_t count)
    {
        m_waiting[from] -= count;
        m_waiting[to] += count;
    }

    /// Lets each home hand over its own waiting work, and ask for some if it is idle.
    void handOver(std::int64_t now)
    {
        for (std::uint32_t i = 0; i < m_slots.size(); ++i) {
            std::vector<ShardSummary> summaries = m_summaries;
            summaries[i] = summary(i, now);
            for (const Handover &handover : m_planners[i].plan(i, summaries, at(now)))
                move(i, handover.shard, handover.count);
            if (m_waiting[i] > 0 && summaries[i].freePermits == 0) {
                for (const Handover &handover :
                     m_planners[i].planForPendingAsks(m_waiting[i], at(now)))
                    move(i, handover.shard, handover.count);
            }
            if (m_waiting[i] > 0 || summaries[i].freePermits == 0)
                continue;
            const auto ask = m_planners[i].ask(i, summaries[i].freePermits, summaries[i].drainRate,
                                               m_summaries, at(now));
            if (!ask)
                continue;
            ++asks;
            const std::size_t handedOver =
                m_planners[ask->shard].answer(i, ask->count, m_waiting[ask->shard], at(now));
            move(ask->shard, i, handedOver);
            m_planners[i].recordAnswer(ask->shard, handedOver, at(now));
        }
    }

    std::vector<ShardSelector> m_entries;
    std::vector<std::size_t> m_slots{10, 20, 40, 80};
    std::vector<std::size_t> m_waiting;
    std::vector<std::vector<std::int64_t>> m_ends;
    std::vector<ShardSummary> m_summaries;
    std::vector<HandoverPlanner> m_planners;
    Base::SeededRandom m_random{20261};
    /// Requests that are due but not sent yet, with the fraction that the step length leaves.
    double m_dueRequests = 0;
};

} // namespace SchedulingModels
