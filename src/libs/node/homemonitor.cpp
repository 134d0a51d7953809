#include "node/homemonitor.h"

#include <algorithm>
#include <utility>

namespace Node {

HomeMonitor::HomeMonitor(const HomeMonitorPolicy &policy)
    : m_policy(policy)
{}

void HomeMonitor::add(const ShardHome &shardHome, const AttemptId &attempt, Base::TimePoint now)
{
    WaitState &state = m_waitStates[shardHome];
    if (state.waiting.count() == 0) {
        state.unanswered = 0;
        state.nextDigest = now + m_policy.digestInterval;
    }
    state.waiting.add(attempt);
}

void HomeMonitor::remove(const ShardHome &shardHome, const AttemptId &attempt)
{
    const auto it = m_waitStates.find(shardHome);
    if (it == m_waitStates.end())
        return;
    it->second.waiting.remove(attempt);
    if (it->second.waiting.count() == 0)
        m_waitStates.erase(it);
}

HomeMonitor::Difference HomeMonitor::compare(const Base::HostId &home, const WaitingReply &reply)
{
    Difference difference;
    const auto it = m_waitStates.find({home, reply.pool, reply.shard});
    if (it == m_waitStates.end() || it->second.number != reply.number)
        return difference;
    WaitState &state = it->second;
    state.unanswered = 0;
    if (reply.isMatch)
        return difference;
    // A request sent after the digest may still be in transit; the next digest covers it.
    for (const AttemptId &attempt : state.digested) {
        const bool isKnown = std::find(reply.attempts.begin(), reply.attempts.end(), attempt)
                             != reply.attempts.end();
        if (!isKnown && state.waiting.contains(attempt))
            difference.missing.push_back(attempt);
    }
    for (const AttemptId &attempt : reply.attempts) {
        if (!state.waiting.contains(attempt))
            difference.unwanted.push_back(attempt);
    }
    return difference;
}

std::vector<HomeMonitor::Digest> HomeMonitor::takeDigests(Base::TimePoint now)
{
    std::vector<Digest> digests;
    for (auto &[shardHome, state] : m_waitStates) {
        if (now < state.nextDigest)
            continue;
        state.nextDigest = now + m_policy.digestInterval;
        if (++state.unanswered > m_policy.maxUnansweredDigests) {
            state.unanswered = 0;
            m_unresponsive.push_back(shardHome.home);
            continue;
        }
        const std::set<AttemptId> &attempts = state.waiting.attempts();
        state.digested.assign(attempts.begin(), attempts.end());
        digests.push_back(
            {shardHome.home,
             {shardHome.pool, shardHome.shard, ++state.number,
              static_cast<std::uint32_t>(state.waiting.count()), state.waiting.hash()}});
    }
    return digests;
}

std::vector<Base::HostId> HomeMonitor::takeUnresponsiveHomes()
{
    return std::exchange(m_unresponsive, {});
}

} // namespace Node
