#include "modelserverstandin/prefixcache.h"

#include <algorithm>

namespace StandIn {

namespace {

constexpr std::size_t maxEvents = 10000;

} // namespace

bool PrefixCache::use(const std::string &prefix)
{
    const std::lock_guard lock(m_mutex);
    const auto it = std::find(m_prefixes.begin(), m_prefixes.end(), prefix);
    if (it != m_prefixes.end()) {
        m_prefixes.splice(m_prefixes.begin(), m_prefixes, it);
        return true;
    }
    if (m_policy.capacity == 0)
        return false;
    if (m_prefixes.size() >= m_policy.capacity) {
        record(false, m_prefixes.back());
        m_prefixes.pop_back();
    }
    m_prefixes.push_front(prefix);
    record(true, prefix);
    return false;
}

std::vector<CacheEvent> PrefixCache::eventsAfter(std::uint64_t seq) const
{
    const std::lock_guard lock(m_mutex);
    const auto readableUntil = std::chrono::steady_clock::now() - m_policy.eventLag;
    std::vector<CacheEvent> events;
    for (const CacheEvent &event : m_events) {
        if (event.seq <= seq || event.at > readableUntil)
            continue;
        events.push_back(event);
    }
    return events;
}

void PrefixCache::record(bool isStored, const std::string &prefix)
{
    ++m_lastSeq;
    if (m_policy.lostEvery != 0 && m_lastSeq % m_policy.lostEvery == 0)
        return;
    m_events.push_back({m_lastSeq, isStored, prefix, std::chrono::steady_clock::now()});
    if (m_events.size() > maxEvents)
        m_events.pop_front();
}

} // namespace StandIn
