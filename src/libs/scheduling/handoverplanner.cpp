#include "scheduling/handoverplanner.h"

#include <algorithm>

namespace Scheduling {

namespace {

bool isBacklogged(const ShardSummary &summary)
{
    return summary.freePermits == 0 && summary.waiting > 0;
}

bool isIdle(const ShardSummary &summary)
{
    return summary.freePermits > 0 && summary.waiting == 0;
}

/// Returns the part of \a whole that corresponds to the range [before, before + size) of \a total.
/// The parts of consecutive ranges add up to \a whole exactly.
std::size_t proportionalPart(std::size_t whole, std::size_t before, std::size_t size,
                             std::size_t total)
{
    return whole * (before + size) / total - whole * before / total;
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
    std::size_t backlogBefore = 0;
    std::size_t ownBacklog = 0;
    std::size_t totalBacklog = 0;
    for (const ShardSummary &shard : shards) {
        if (!isBacklogged(shard))
            continue;
        backlogBefore += shard.shard < self ? shard.waiting : 0;
        ownBacklog += shard.shard == self ? shard.waiting : 0;
        totalBacklog += shard.waiting;
    }
    std::size_t remaining = ownBacklog;
    std::vector<Handover> handovers;
    for (const ShardSummary &shard : shards) {
        if (remaining == 0 || !isIdle(shard))
            continue;
        const std::size_t part =
            proportionalPart(shard.freePermits, backlogBefore, ownBacklog, totalBacklog);
        const std::size_t handedOver = handedOverSince(shard);
        const std::size_t count = std::min(remaining, part - std::min(part, handedOver));
        if (count == 0)
            continue;
        remaining -= count;
        m_handedOver[shard.shard].push_back({now, count});
        handovers.push_back({shard.shard, count});
    }
    return handovers;
}

std::optional<Handover> HandoverPlanner::ask(std::uint32_t self, std::size_t freePermits,
                                             double drainRate,
                                             const std::vector<ShardSummary> &summaries,
                                             Base::TimePoint now)
{
    if (m_openAskSince && now - *m_openAskSince < m_policy.answerTimeout)
        return std::nullopt;
    double mostExpected = 0;
    std::uint32_t shard = 0;
    for (const ShardSummary &summary : summaries) {
        const double expected = summary.shard == self ? 0 : expectedWaiting(summary, now);
        if (expected <= mostExpected)
            continue;
        mostExpected = expected;
        shard = summary.shard;
    }
    if (mostExpected <= 0)
        return std::nullopt;
    m_openAskSince = now;
    const double lookahead =
        drainRate * std::chrono::duration<double>(m_policy.askLookahead).count();
    return Handover{shard, freePermits + static_cast<std::size_t>(lookahead)};
}

void HandoverPlanner::recordAnswer(std::uint32_t shard, std::size_t count, Base::TimePoint now)
{
    m_openAskSince.reset();
    ReceivedWork &received = m_received[shard];
    received.count += count;
    if (count == 0)
        received.nextAskAt = now + m_policy.askLifetime;
}

std::size_t HandoverPlanner::answer(std::uint32_t asker, std::size_t asked, std::size_t waiting,
                                    Base::TimePoint now)
{
    const std::size_t granted = std::min(asked, waiting);
    if (granted == 0)
        m_pendingAsks[asker] = {now, asked};
    else
        m_pendingAsks.erase(asker);
    return granted;
}

std::vector<Handover> HandoverPlanner::planForPendingAsks(std::size_t waiting, Base::TimePoint now)
{
    std::erase_if(m_pendingAsks, [this, now](const auto &pending) {
        return now - pending.second.at >= m_policy.askLifetime;
    });
    std::vector<Handover> handovers;
    for (auto it = m_pendingAsks.begin(); it != m_pendingAsks.end() && waiting > 0;) {
        const std::size_t count = std::min(it->second.count, waiting);
        handovers.push_back({it->first, count});
        waiting -= count;
        it->second.count -= count;
        it = it->second.count == 0 ? m_pendingAsks.erase(it) : std::next(it);
    }
    return handovers;
}

/// Returns the number of items expected to wait at a shard. If the summary shows no waiting work,
/// the result is below 1 and positive only if the shard had few free permits.
double HandoverPlanner::expectedWaiting(const ShardSummary &summary, Base::TimePoint now)
{
    ReceivedWork &received = m_received[summary.shard];
    if (received.summaryAt != summary.receivedAt) {
        received.summaryAt = summary.receivedAt;
        received.count = 0;
    }
    if (now < received.nextAskAt)
        return 0;
    if (summary.waiting > received.count)
        return static_cast<double>(summary.waiting - received.count);
    const double returnedSoon =
        summary.drainRate * std::chrono::duration<double>(m_policy.nearlyFullTime).count();
    return 1 - static_cast<double>(summary.freePermits) / std::max(returnedSoon, 1.0);
}

std::size_t HandoverPlanner::handedOverSince(const ShardSummary &summary)
{
    const Base::TimePoint reflectedUntil = summary.receivedAt - m_policy.inFlightTime;
    std::vector<TimedCount> &handedOver = m_handedOver[summary.shard];
    std::erase_if(handedOver, [&](const TimedCount &entry) { return entry.at < reflectedUntil; });
    std::size_t sum = 0;
    for (const TimedCount &entry : handedOver)
        sum += entry.count;
    return sum;
}

} // namespace Scheduling
