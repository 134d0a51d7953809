#include "scheduling/serverselector.h"

#include <algorithm>
#include <limits>

namespace Scheduling {

namespace {

double utilisation(const ServerCandidate &candidate)
{
    return static_cast<double>(candidate.inUse) / static_cast<double>(candidate.limit);
}

double utilisationOfOnePermit(const ServerCandidate &candidate)
{
    return 1.0 / static_cast<double>(candidate.limit);
}

} // namespace

ServerSelector::ServerSelector(const AffinityPolicy &policy)
    : m_policy(policy)
{}

std::optional<std::size_t> ServerSelector::choose(const std::vector<ServerCandidate> &candidates,
                                                  std::uint64_t prefix, Base::TimePoint now) const
{
    double leastUtilisation = std::numeric_limits<double>::infinity();
    for (const ServerCandidate &candidate : candidates)
        leastUtilisation = std::min(leastUtilisation, utilisation(candidate));
    std::optional<std::size_t> best;
    std::optional<std::size_t> bestHolder;
    const auto isBetter = [&candidates](std::size_t i, const std::optional<std::size_t> &other) {
        if (!other)
            return true;
        if (candidates[i].isSameZone != candidates[*other].isSameZone)
            return candidates[i].isSameZone;
        return utilisation(candidates[i]) < utilisation(candidates[*other]);
    };
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const ServerCandidate &candidate = candidates[i];
        if (utilisation(candidate) < leastUtilisation + utilisationOfOnePermit(candidate)
            && isBetter(i, best))
            best = i;
        const bool isWithinMargin =
            utilisation(candidate) <= leastUtilisation + m_policy.loadMargin;
        if (!isWithinMargin || !isHolder(prefix, candidate.server, now))
            continue;
        if (!bestHolder || utilisation(candidate) < utilisation(candidates[*bestHolder]))
            bestHolder = i;
    }
    return bestHolder ? bestHolder : best;
}

void ServerSelector::recordPrefix(std::uint64_t prefix, const Base::ServerId &server,
                                  Base::TimePoint now)
{
    if (prefix == 0)
        return;
    const auto [it, isNew] = m_prefixes.try_emplace(prefix);
    Prefix &entry = it->second;
    if (isNew)
        entry.ageIt = m_prefixesByAge.insert(m_prefixesByAge.end(), prefix);
    else
        m_prefixesByAge.splice(m_prefixesByAge.end(), m_prefixesByAge, entry.ageIt);
    std::vector<Holder> &holders = entry.holders;
    std::erase_if(holders, [&server](const Holder &holder) { return holder.server == server; });
    holders.push_back({server, now});
    if (holders.size() > m_policy.maxHolders)
        holders.erase(holders.begin());
    if (m_prefixes.size() > m_policy.maxPrefixes)
        forgetPrefix(m_prefixesByAge.front());
}

void ServerSelector::recordCacheEvent(const Base::ServerId &server, std::uint64_t prefix,
                                      bool isStored, Base::TimePoint now)
{
    if (isStored) {
        recordPrefix(prefix, server, now);
        return;
    }
    const auto it = m_prefixes.find(prefix);
    if (it == m_prefixes.end())
        return;
    const Base::Duration lag = m_policy.eventLag;
    const bool isRecentlyUsed = std::any_of(
        it->second.holders.begin(), it->second.holders.end(),
        [&](const Holder &holder) { return holder.server == server && now - holder.usedAt < lag; });
    if (!isRecentlyUsed)
        forgetHolder(prefix, server);
}

void ServerSelector::forgetServer(const Base::ServerId &server)
{
    std::vector<std::uint64_t> prefixes;
    prefixes.reserve(m_prefixes.size());
    for (const auto &[prefix, entry] : m_prefixes)
        prefixes.push_back(prefix);
    for (const std::uint64_t prefix : prefixes)
        forgetHolder(prefix, server);
}

bool ServerSelector::isHolder(std::uint64_t prefix, const Base::ServerId &server,
                              Base::TimePoint now) const
{
    const auto it = m_prefixes.find(prefix);
    if (it == m_prefixes.end())
        return false;
    for (const Holder &holder : it->second.holders) {
        if (holder.server == server)
            return now - holder.usedAt <= m_policy.hintLifetime;
    }
    return false;
}

void ServerSelector::forgetHolder(std::uint64_t prefix, const Base::ServerId &server)
{
    std::vector<Holder> &holders = m_prefixes.at(prefix).holders;
    std::erase_if(holders, [&server](const Holder &holder) { return holder.server == server; });
    if (holders.empty())
        forgetPrefix(prefix);
}

void ServerSelector::forgetPrefix(std::uint64_t prefix)
{
    const auto it = m_prefixes.find(prefix);
    m_prefixesByAge.erase(it->second.ageIt);
    m_prefixes.erase(it);
}

} // namespace Scheduling
