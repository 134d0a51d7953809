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

struct CacheEvent
{
    std::uint64_t seq = 0;
    bool isStored = true;
    std::string prefix;
    std::chrono::steady_clock::time_point at;
};

struct PrefixCachePolicy
{
    std::size_t capacity = 64;
    /// Age at which an event can be read.
    std::chrono::milliseconds eventLag{200};
    /// Each event whose number is a multiple of this is never told; 0 tells all.
    std::uint64_t lostEvery = 0;
};

/// The prompt prefixes whose KV cache is kept; the least recently used one makes room.
class PrefixCache
{
public:
    explicit PrefixCache(const PrefixCachePolicy &policy)
        : m_policy(policy)
    {}

    /// Returns whether \a prefix was there; it is afterwards.
    bool use(const std::string &prefix);
    /// The events after \a seq that can be read by now.
    std::vector<CacheEvent> eventsAfter(std::uint64_t seq) const;

private:
    void record(bool isStored, const std::string &prefix);

    mutable std::mutex m_mutex;
    PrefixCachePolicy m_policy;
    std::list<std::string> m_recent;
    std::deque<CacheEvent> m_events;
    std::uint64_t m_lastSeq = 0;
};

} // namespace StandIn
