#include "routing/serverindex.h"

#include "base/hash.h"

#include <algorithm>

namespace Routing {

namespace {

/// Servers that are remembered for one prefix. The most recent ones have it cached most probably.
constexpr std::size_t maxKeepers = 32;

} // namespace

void ServerIndex::setServers(const std::vector<RegisteredServer> &servers)
{
    m_ring.clear();
    m_rings.clear();
    for (const RegisteredServer &it : servers) {
        const std::pair point(Base::stableHash(it.id.value()), it.id);
        m_ring.push_back(point);
        m_rings[it.zone].push_back(point);
    }
    std::ranges::sort(m_ring);
    for (auto &[zone, ring] : m_rings)
        std::ranges::sort(ring);
}

void ServerIndex::recordUse(const Base::ServerId &server, std::uint64_t hash, Base::TimePoint now)
{
    std::vector<Keeper> &keepers = m_keepers[hash];
    const auto known = std::ranges::find(keepers, server, &Keeper::server);
    if (known != keepers.end()) {
        known->usedAt = now;
        return;
    }
    if (keepers.size() < maxKeepers) {
        keepers.push_back({server, now});
        return;
    }
    *std::ranges::min_element(keepers, {}, &Keeper::usedAt) = {server, now};
}

void ServerIndex::evictExpired(Base::TimePoint now)
{
    for (auto &[hash, keepers] : m_keepers) {
        std::erase_if(keepers, [&](const Keeper &it) {
            return now - it.usedAt >= PromptCacheModel::lifetime;
        });
    }
    std::erase_if(m_keepers, [](const auto &it) { return it.second.empty(); });
}

void ServerIndex::appendKeepers(const std::vector<PrefixHash> &prefixes,
                                std::vector<Base::ServerId> &to) const
{
    for (auto prefix = prefixes.rbegin(); prefix != prefixes.rend(); ++prefix) {
        const auto keepers = m_keepers.find(prefix->hash);
        if (keepers == m_keepers.end())
            continue;
        for (const Keeper &it : keepers->second)
            to.push_back(it.server);
    }
}

void ServerIndex::appendSuccessors(std::uint64_t hash, std::size_t n,
                                   std::vector<Base::ServerId> &to) const
{
    appendSuccessors(m_ring, hash, n, to);
}

void ServerIndex::appendSuccessors(const Base::ZoneId &zone, std::uint64_t hash, std::size_t n,
                                   std::vector<Base::ServerId> &to) const
{
    const auto ring = m_rings.find(zone);
    if (ring != m_rings.end())
        appendSuccessors(ring->second, hash, n, to);
}

void ServerIndex::appendSuccessors(const Ring &ring, std::uint64_t hash, std::size_t n,
                                   std::vector<Base::ServerId> &to)
{
    const auto first = std::ranges::lower_bound(ring, hash, {}, &Ring::value_type::first);
    const auto begin = static_cast<std::size_t>(first - ring.begin());
    for (std::size_t i = 0; i < std::min(n, ring.size()); ++i)
        to.push_back(ring[(begin + i) % ring.size()].second);
}

} // namespace Routing
