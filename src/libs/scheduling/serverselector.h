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

/// Thresholds of prefix affinity; docs/design/placement.md has the measurements.
struct AffinityPolicy
{
    /// A server that may hold the prefix is preferred while the used part of its limit is at
    /// most this much above the least used server's. Computing a prompt anew costs about as
    /// much as a quarter more load costs the other streams of a batch.
    double loadMargin = 0.25;
    /// Prefixes remembered; the one used longest ago goes first. About 1.5 MB.
    std::size_t largestPrefixes = 8192;
    /// Servers remembered for one prefix. More copies than this are as good as everywhere.
    std::size_t largestHolders = 4;
    /// A hint older than this is forgotten: the event of its eviction was lost.
    Base::Duration hintLifetime = std::chrono::minutes(5);
    /// An eviction told within this time of a use speaks of an older copy: events come late.
    Base::Duration eventLag = std::chrono::seconds(5);
};

/// Picks the server that a piece of work goes to.
///
/// Load pattern: a few prompts' beginnings make up most of the load. Spread evenly, each is
/// computed at every server and pushes the others out of the caches; sent strictly to its
/// holder, the most used one crowds one server while others idle. So the holder is preferred
/// only within AffinityPolicy::loadMargin of the least used server.
///
/// What is remembered of caches is a hint and never a promise: a wrong one costs computing the
/// prompt anew. Cache events are late and have gaps, so an eviction just after a use is not
/// believed, and a hint that nothing renews is dropped.
class ServerSelector
{
public:
    explicit ServerSelector(const AffinityPolicy &policy = {});
    ServerSelector(ServerSelector &&) = default;
    ServerSelector &operator=(ServerSelector &&) = default;
    ServerSelector(const ServerSelector &) = delete;
    ServerSelector &operator=(const ServerSelector &) = delete;
    ~ServerSelector() = default;

    /// Index into \a choices; empty when there is none. \a prefix is 0 for work without one.
    /// Among servers within one permit of the least used, the same zone wins.
    std::optional<std::size_t> choose(const std::vector<ServerCandidate> &choices,
                                      std::uint64_t prefix, Base::TimePoint now) const;
    /// Notes that work with \a prefix was sent to \a server.
    void recordPrefix(std::uint64_t prefix, const Base::ServerId &server, Base::TimePoint now);
    /// Notes what \a server published of its cache.
    void recordCacheEvent(const Base::ServerId &server, std::uint64_t prefix, bool isStored,
                          Base::TimePoint now);
    void forgetServer(const Base::ServerId &server);
    std::size_t rememberedPrefixes() const { return m_prefixes.size(); }

private:
    struct Holder
    {
        Base::ServerId server;
        Base::TimePoint usedAt;
    };

    struct Prefix
    {
        std::vector<Holder> holders;
        std::list<std::uint64_t>::iterator age;
    };

    bool isHolder(std::uint64_t prefix, const Base::ServerId &server, Base::TimePoint now) const;
    void forgetHolder(std::uint64_t prefix, const Base::ServerId &server);
    void forgetPrefix(std::uint64_t prefix);

    AffinityPolicy m_policy;
    std::unordered_map<std::uint64_t, Prefix> m_prefixes;
    /// The prefix used longest ago first.
    std::list<std::uint64_t> m_ages;
};

} // namespace Scheduling
