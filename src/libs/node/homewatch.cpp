#include "node/homewatch.h"

#include <algorithm>
#include <utility>

namespace Node {

HomeWatch::HomeWatch(const HomeWatchPolicy &policy)
    : m_policy(policy)
{}

void HomeWatch::add(const Place &place, const AttemptId &attempt, Base::TimePoint now)
{
    Watch &watch = m_watches[place];
    if (watch.waiting.count() == 0) {
        watch.unanswered = 0;
        watch.nextDigest = now + m_policy.digestInterval;
    }
    watch.waiting.add(attempt);
}

void HomeWatch::remove(const Place &place, const AttemptId &attempt)
{
    const auto it = m_watches.find(place);
    if (it == m_watches.end())
        return;
    it->second.waiting.remove(attempt);
    if (it->second.waiting.count() == 0)
        m_watches.erase(it);
}

HomeWatch::Difference HomeWatch::compare(const Base::HostId &home, const WaitingReply &reply)
{
    Difference difference;
    const auto it = m_watches.find({home, reply.pool, reply.shard});
    if (it == m_watches.end() || it->second.number != reply.number)
        return difference;
    Watch &watch = it->second;
    watch.unanswered = 0;
    if (reply.isMatch)
        return difference;
    // What was asked for after the digest is on its way and is judged by the next one.
    for (const AttemptId &attempt : watch.compared) {
        const bool isKnown = std::find(reply.attempts.begin(), reply.attempts.end(), attempt)
                             != reply.attempts.end();
        if (!isKnown && watch.waiting.contains(attempt))
            difference.missing.push_back(attempt);
    }
    for (const AttemptId &attempt : reply.attempts) {
        if (!watch.waiting.contains(attempt))
            difference.unwanted.push_back(attempt);
    }
    return difference;
}

std::vector<HomeWatch::Digest> HomeWatch::takeDigests(Base::TimePoint now)
{
    std::vector<Digest> digests;
    for (auto &[place, watch] : m_watches) {
        if (now < watch.nextDigest)
            continue;
        watch.nextDigest = now + m_policy.digestInterval;
        if (++watch.unanswered > m_policy.unansweredDigests) {
            watch.unanswered = 0;
            m_silent.push_back(place.home);
            continue;
        }
        const std::set<AttemptId> &attempts = watch.waiting.attempts();
        watch.compared.assign(attempts.begin(), attempts.end());
        digests.push_back(
            {place.home,
             {place.pool, place.shard, ++watch.number,
              static_cast<std::uint32_t>(watch.waiting.count()), watch.waiting.hash()}});
    }
    return digests;
}

std::vector<Base::HostId> HomeWatch::takeSilentHomes()
{
    return std::exchange(m_silent, {});
}

} // namespace Node
