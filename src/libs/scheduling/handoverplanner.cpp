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

std::optional<Handover> HandoverPlanner::ask(std::uint32_t self, std::size_t freePermits,
                                             double drainRate,
                                             const std::vector<ShardSummary> &summaries,
                                             Base::TimePoint now)
{
    if (m_askedAt && now - *m_askedAt < m_policy.answerWithin)
        return std::nullopt;
    double most = 0;
    std::uint32_t shard = 0;
    for (const ShardSummary &summary : summaries) {
        const double expected = summary.shard == self ? 0 : expectedAt(summary, now);
        if (expected <= most)
            continue;
        most = expected;
        shard = summary.shard;
    }
    if (most <= 0)
        return std::nullopt;
    m_askedAt = now;
    const double ahead = drainRate * std::chrono::duration<double>(m_policy.askAhead).count();
    return Handover{shard, freePermits + static_cast<std::size_t>(ahead)};
}

void HandoverPlanner::recordAnswer(std::uint32_t shard, std::size_t count, Base::TimePoint now)
{
    m_askedAt.reset();
    Taken &taken = m_taken[shard];
    taken.count += count;
    if (count == 0)
        taken.askAfter = now + m_policy.askLifetime;
}

std::size_t HandoverPlanner::answer(std::uint32_t asker, std::size_t asked, std::size_t waiting,
                                    Base::TimePoint now)
{
    const std::size_t given = std::min(asked, waiting);
    if (given == 0)
        m_askers[asker] = {now, asked};
    else
        m_askers.erase(asker);
    return given;
}

std::vector<Handover> HandoverPlanner::planForPendingAsks(std::size_t waiting, Base::TimePoint now)
{
    std::erase_if(m_askers, [this, now](const auto &asker) {
        return now - asker.second.at >= m_policy.askLifetime;
    });
    std::vector<Handover> handovers;
    for (auto it = m_askers.begin(); it != m_askers.end() && waiting > 0;) {
        const std::size_t count = std::min(it->second.count, waiting);
        handovers.push_back({it->first, count});
        waiting -= count;
        it->second.count -= count;
        it = it->second.count == 0 ? m_askers.erase(it) : std::next(it);
    }
    return handovers;
}

/// Work expected to wait at a shard; between 0 and 1 where its summary showed none but few
/// free permits.
double HandoverPlanner::expectedAt(const ShardSummary &summary, Base::TimePoint now)
{
    Taken &taken = m_taken[summary.shard];
    if (taken.summaryAt != summary.receivedAt) {
        taken.summaryAt = summary.receivedAt;
        taken.count = 0;
    }
    if (now < taken.askAfter)
        return 0;
    if (summary.waiting > taken.count)
        return static_cast<double>(summary.waiting - taken.count);
    const double soon =
        summary.drainRate * std::chrono::duration<double>(m_policy.nearlyFull).count();
    return 1 - static_cast<double>(summary.freePermits) / std::max(soon, 1.0);
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
