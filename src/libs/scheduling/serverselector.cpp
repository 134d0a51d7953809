#include "scheduling/serverselector.h"

#include <algorithm>
#include <limits>

namespace Scheduling {

namespace {

double load(const ServerCandidate &choice)
{
    return static_cast<double>(choice.inUse) / static_cast<double>(choice.limit);
}

double onePermit(const ServerCandidate &choice)
{
    return 1.0 / static_cast<double>(choice.limit);
}

} // namespace

ServerSelector::ServerSelector(const AffinityPolicy &policy)
    : m_policy(policy)
{}

std::optional<std::size_t> ServerSelector::choose(const std::vector<ServerCandidate> &choices,
                                                  std::uint64_t prefix, Base::TimePoint now) const
{
    double least = std::numeric_limits<double>::infinity();
    for (const ServerCandidate &choice : choices)
        least = std::min(least, load(choice));
    std::optional<std::size_t> best;
    std::optional<std::size_t> bestHolder;
    const auto isBetter = [&choices](std::size_t i, const std::optional<std::size_t> &other) {
        if (!other)
            return true;
        if (choices[i].isSameZone != choices[*other].isSameZone)
            return choices[i].isSameZone;
        return load(choices[i]) < load(choices[*other]);
    };
    for (std::size_t i = 0; i < choices.size(); ++i) {
        const ServerCandidate &choice = choices[i];
        if (load(choice) < least + onePermit(choice) && isBetter(i, best))
            best = i;
        const bool isNear = load(choice) <= least + m_policy.loadMargin;
        if (!isNear || !isHolder(prefix, choice.server, now))
            continue;
        if (!bestHolder || load(choice) < load(choices[*bestHolder]))
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
        entry.age = m_ages.insert(m_ages.end(), prefix);
    else
        m_ages.splice(m_ages.end(), m_ages, entry.age);
    std::vector<Holder> &holders = entry.holders;
    std::erase_if(holders, [&server](const Holder &holder) { return holder.server == server; });
    holders.push_back({server, now});
    if (holders.size() > m_policy.largestHolders)
        holders.erase(holders.begin());
    if (m_prefixes.size() > m_policy.largestPrefixes)
        forgetPrefix(m_ages.front());
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
    const bool isOlder = std::any_of(
        it->second.holders.begin(), it->second.holders.end(),
        [&](const Holder &holder) { return holder.server == server && now - holder.usedAt < lag; });
    if (!isOlder)
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
    m_ages.erase(it->second.age);
    m_prefixes.erase(it);
}

} // namespace Scheduling
