#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <list>
#include <mutex>
#include <string>
#include <vector>

namespace StandIn {

/// A prefix was stored in the cache or evicted from it.
struct CacheEvent
{
    std::uint64_t seq = 0;
    bool isStored = true;
    std::string prefix;
    std::chrono::steady_clock::time_point at;
};

/// Size and event report of a cache.
struct PrefixCachePolicy
{
    /// Number of prefixes.
    std::size_t capacity = 64;
    /// Age from which an event can be read.
    std::chrono::milliseconds eventLag{200};
    /// Every event whose number is a multiple of this is lost; 0 loses none.
    std::uint64_t lostEvery = 0;
};

/// The prompt prefixes whose KV cache is kept. The least recently used prefix is evicted first.
/// Thread-safe.
class PrefixCache
{
public:
    explicit PrefixCache(const PrefixCachePolicy &policy)
        : m_policy(policy)
    {}

    /// Returns whether \a prefix was cached. Caches it if the capacity is not 0.
    bool use(const std::string &prefix);
    /// The events after \a seq that are old enough to be read.
    std::vector<CacheEvent> eventsAfter(std::uint64_t seq) const;

private:
    void record(bool isStored, const std::string &prefix);

    mutable std::mutex m_mutex;
    PrefixCachePolicy m_policy;
    std::list<std::string> m_prefixes;
    std::deque<CacheEvent> m_events;
    std::uint64_t m_lastSeq = 0;
};

} // namespace StandIn
