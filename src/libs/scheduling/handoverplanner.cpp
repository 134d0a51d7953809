#include "scheduling/handoverplanner.h"

#include <algorithm>

namespace Scheduling {

namespace {

bool isCrowded(const ShardSummary &summary)
{
    return summary.freePermits == 0 && summary.waiting > 0;
}

bool isIdle(const ShardSummary &summary)
{
    return summary.freePermits > 0 && summary.waiting == 0;
}

/// The part of \a whole that falls to the range [before, before + own) of \a total. The parts
/// of ranges that follow one another add up to \a whole exactly.
std::size_t partOf(std::size_t whole, std::size_t before, std::size_t own, std::size_t total)
{
    return whole * (before + own) / total - whole * before / total;
}

} // namespace

HandoverPlanner::HandoverPlanner(const HandoverPolicy &policy)
    : m_policy(policy)
{}

std::vector<Handover> HandoverPlanner::plan(std::uint32_t self,
                                            const std::vector<ShardSummary> &summaries,
                                            Base::TimePoint now)
{
    std::vector<ShardSummary> shards = summaries;
    std::sort(shards.begin(), shards.end(),
              [](const ShardSummary &a, const ShardSummary &b) { return a.shard < b.shard; });
    std::size_t crowdedBefore = 0;
    std::size_t own = 0;
    std::size_t crowded = 0;
    for (const ShardSummary &shard : shards) {
        if (!isCrowded(shard))
            continue;
        crowdedBefore += shard.shard < self ? shard.waiting : 0;
        own += shard.shard == self ? shard.waiting : 0;
        crowded += shard.waiting;
    }
    std::size_t left = own;
    std::vector<Handover> handovers;
    for (const ShardSummary &shard : shards) {
        if (left == 0 || !isIdle(shard))
            continue;
        const std::size_t part = partOf(shard.freePermits, crowdedBefore, own, crowded);
        const std::size_t handed = handedSince(shard);
        const std::size_t count = std::min(left, part - std::min(part, handed));
        if (count == 0)
            continue;
        left -= count;
        m_handed[shard.shard].push_back({now, count});
        handovers.push_back({shard.shard, count});
    }
    return handovers;
}

std::size_t HandoverPlanner::handedSince(const ShardSummary &summary)
{
    const Base::TimePoint reflectedUntil = summary.receivedAt - m_policy.flightTime;
    std::vector<Handed> &handed = m_handed[summary.shard];
    std::erase_if(handed, [&](const Handed &batch) { return batch.at < reflectedUntil; });
    std::size_t sum = 0;
    for (const Handed &batch : handed)
        sum += batch.count;
    return sum;
}

} // namespace Scheduling
