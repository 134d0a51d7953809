#pragma once

#include "scheduling/handoverplanner.h"
#include "scheduling/shardselector.h"
#include "schedulingmodels/fakes.h"

#include <algorithm>
#include <vector>

namespace SchedulingModels {

using namespace Scheduling;

struct ShardsSeen
{
    double busy = 0;
    /// Seconds.
    double longestWait = 0;
    /// Part of the slot time that idled while work waited at another shard.
    double idleWhileWaiting = 0;
};

/// Shards of which each has twice the slots of the one before, and entries that choose among
/// them by summaries a second old. Every work holds a slot for 500 ms; steps of 2 ms,
/// which is also the way to another home and back.
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

    ShardsSeen run(double load, bool hasHandover, std::int64_t milliseconds)
    {
        ShardsSeen seen;
        double busy = 0;
        double possible = 0;
        double idle = 0;
        for (std::int64_t now = 0; now < milliseconds; now += 2) {
            if (now % 1000 == 0)
                summarise(now);
            for (m_due += load * 150 * 2 / 500; m_due >= 1; --m_due)
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
                    seen.longestWait = std::max(seen.longestWait, wait);
                    busy += double(m_ends[i].size());
                    possible += double(m_slots[i]);
                }
            }
            idle += now > 10000 ? double(std::min(waiting, free)) : 0;
        }
        seen.busy = busy / possible;
        seen.idleWhileWaiting = idle / possible;
        return seen;
    }

    std::size_t asks = 0;

private:
    ShardSummary summary(std::uint32_t i, std::int64_t now) const
    {
        return {i, m_waiting[i], m_slots[i] - std::min(m_slots[i], m_ends[i].size()),
                2 * double(m_slots[i]), at(now)};
    }

    void summarise(std::int64_t now)
    {
        for (std::uint32_t i = 0; i < m_slots.size(); ++i)
            m_summaries[i] = summary(i, now);
    }

    void move(std::uint32_t from, std::uint32_t to, std::size_t count)
    {
        m_waiting[from] -= count;
        m_waiting[to] += count;
    }

    void handOver(std::int64_t now)
    {
        for (std::uint32_t i = 0; i < m_slots.size(); ++i) {
            std::vector<ShardSummary> seen = m_summaries;
            seen[i] = summary(i, now);
            for (const Handover &handover : m_planners[i].plan(i, seen, at(now)))
                move(i, handover.shard, handover.count);
            if (m_waiting[i] > 0 && seen[i].freePermits == 0) {
                for (const Handover &handover :
                     m_planners[i].planForPendingAsks(m_waiting[i], at(now)))
                    move(i, handover.shard, handover.count);
            }
            if (m_waiting[i] > 0 || seen[i].freePermits == 0)
                continue;
            const auto ask =
                m_planners[i].ask(i, seen[i].freePermits, seen[i].drainRate, m_summaries, at(now));
            if (!ask)
                continue;
            ++asks;
            const std::size_t given =
                m_planners[ask->shard].answer(i, ask->count, m_waiting[ask->shard], at(now));
            move(ask->shard, i, given);
            m_planners[i].recordAnswer(ask->shard, given, at(now));
        }
    }

    std::vector<ShardSelector> m_entries;
    std::vector<std::size_t> m_slots{10, 20, 40, 80};
    std::vector<std::size_t> m_waiting;
    std::vector<std::vector<std::int64_t>> m_ends;
    std::vector<ShardSummary> m_summaries;
    std::vector<HandoverPlanner> m_planners;
    Base::SeededRandom m_random{20261};
    double m_due = 0;
};

} // namespace SchedulingModels
