#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <unordered_map>
#include <vector>

namespace Scheduling {

/// A backend server that has at least one free permit.
struct ServerCandidate
{
    Base::ServerId server;
    std::size_t inUse = 0;
    std::size_t limit = 1;
    bool isSameZone = false;
};

/// Thresholds of prefix affinity, the preference for a server whose cache may hold the beginning of
/// the prompt. docs/design/placement.md derives them.
struct AffinityPolicy
{
    /// A server that may hold the prefix is preferred while its utilisation (permits in use
    /// divided by the limit) is at most this much above that of the least used server.
    /// Computing a prompt again costs about as much as a quarter more load costs the other
    /// streams of a batch.
    double loadMargin = 0.25;
    /// Number of prefixes remembered, about 1.5 MB. The least recently used one is evicted
    /// first.
    std::size_t maxPrefixes = 8192;
    /// Number of servers remembered for one prefix. A prefix with more copies is as good as
    /// present everywhere.
    std::size_t maxHolders = 4;
    /// A hint older than this is ignored because the event of the eviction was probably lost.
    Base::Duration hintLifetime = std::chrono::minutes(5);
    /// An eviction event within this time after a use is taken to concern an older copy,
    /// because events arrive late.
    Base::Duration eventLag = std::chrono::seconds(5);
};

/// Selects the server that a piece of work is sent to.
///
/// A few prefixes (beginnings of prompts) make up most of the load. If their requests were spread
/// evenly, each prefix would be computed at every server and evict the others from the caches. If
/// they were sent only to a holder, a server that has the prefix in its cache, the most used
/// prefix would overload one server while others idle. The selector therefore prefers a holder,
/// but only within AffinityPolicy::loadMargin of the least used server.
///
/// The selector's knowledge of the caches is a hint: a wrong hint costs computing the prompt
/// again. Cache events are late and some are lost, so an eviction event shortly after a use is
/// ignored, and a hint that is not renewed expires.
class ServerSelector
{
public:
    explicit ServerSelector(const AffinityPolicy &policy = {});
    ServerSelector(ServerSelector &&) = default;
    ServerSelector &operator=(ServerSelector &&) = default;
    ServerSelector(const ServerSelector &) = delete;
    ServerSelector &operator=(const ServerSelector &) = delete;
    ~ServerSelector() = default;

    /// Returns the index of the selected server in \a candidates, or nothing if \a candidates is
    /// empty. \a prefix is the hash of the prompt's beginning, 0 for work without one. If no
    /// holder is selected, a server in the same availability zone is preferred among those within
    /// one permit of the least used server.
    std::optional<std::size_t> choose(const std::vector<ServerCandidate> &candidates,
                                      std::uint64_t prefix, Base::TimePoint now) const;
    /// Records that work with \a prefix was sent to \a server.
    void recordPrefix(std::uint64_t prefix, const Base::ServerId &server, Base::TimePoint now);
    /// Records an event of the cache of \a server: \a prefix was stored or evicted.
    void recordCacheEvent(const Base::ServerId &server, std::uint64_t prefix, bool isStored,
                          Base::TimePoint now);
    void forgetServer(const Base::ServerId &server);
    std::size_t prefixCount() const { return m_prefixes.size(); }

private:
    /// A server that may hold the prefix in its cache.
    struct Holder
    {
        Base::ServerId server;
        Base::TimePoint usedAt;
    };

    struct Prefix
    {
        std::vector<Holder> holders;
        std::list<std::uint64_t>::iterator ageIt;
    };

    bool isHolder(std::uint64_t prefix, const Base::ServerId &server, Base::TimePoint now) const;
    void forgetHolder(std::uint64_t prefix, const Base::ServerId &server);
    void forgetPrefix(std::uint64_t prefix);

    AffinityPolicy m_policy;
    std::unordered_map<std::uint64_t, Prefix> m_prefixes;
    /// The prefixes from the least to the most recently used one.
    std::list<std::uint64_t> m_prefixesByAge;
};

} // namespace Scheduling
