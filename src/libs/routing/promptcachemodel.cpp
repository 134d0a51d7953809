#include "routing/promptcachemodel.h"

#include "base/hash.h"

namespace Routing {

namespace {

/// A third of the lifetime: if a report or two are lost, the other hosts still know of a part that
/// is in use.
constexpr Base::Duration reportInterval = std::chrono::seconds(4);

} // namespace

std::vector<PrefixHash> prefixHashes(const std::vector<PromptPart> &parts)
{
    std::vector<PrefixHash> prefixes;
    prefixes.reserve(parts.size());
    std::uint64_t hash = 0;
    std::uint32_t sum = 0;
    for (const PromptPart &part : parts) {
        const std::uint64_t both[] = {hash, part.hash};
        hash =
            Base::stableHash(std::string_view(reinterpret_cast<const char *>(both), sizeof(both)));
        sum += part.tokens;
        prefixes.push_back({hash, sum});
    }
    return prefixes;
}

std::vector<PrefixHash> sharedPrefixHashes(const std::vector<PromptPart> &parts)
{
    std::vector<PrefixHash> prefixes = prefixHashes(parts);
    if (!prefixes.empty())
        prefixes.pop_back();
    return prefixes;
}

std::uint32_t PromptCacheModel::cachedTokens(const std::vector<PrefixHash> &prefixes,
                                             Base::TimePoint now) const
{
    std::uint32_t cached = 0;
    for (const PrefixHash &prefix : prefixes) {
        const auto it = m_entries.find(prefix.hash);
        if (it == m_entries.end() || now - it->second.usedAt >= lifetime)
            return cached;
        cached = prefix.tokensSoFar;
    }
    return cached;
}

std::uint32_t PromptCacheModel::fetchableTokens(const std::vector<PrefixHash> &prefixes,
                                                Base::TimePoint now) const
{
    std::uint32_t read = 0;
    for (const PrefixHash &prefix : prefixes) {
        const auto it = m_entries.find(prefix.hash);
        if (it == m_entries.end() || now - it->second.usedAt >= lifetime || now < it->second.readBy)
            return read;
        read = prefix.tokensSoFar;
    }
    return read;
}

void PromptCacheModel::recordUse(std::uint64_t hash, Base::TimePoint now, Base::TimePoint readBy)
{
    const auto [it, isNew] = m_entries.try_emplace(hash);
    Entry &entry = it->second;
    if (isNew || now - entry.usedAt >= lifetime)
        entry.readBy = readBy;
    entry.usedAt = now;
}

bool PromptCacheModel::shouldReport(std::uint64_t hash, Base::TimePoint now)
{
    const auto it = m_entries.find(hash);
    if (it == m_entries.end())
        return false;
    Entry &entry = it->second;
    if (entry.reportedAt != Base::TimePoint::min() && now - entry.reportedAt < reportInterval)
        return false;
    entry.reportedAt = now;
    return true;
}

void PromptCacheModel::evictExpired(Base::TimePoint now)
{
    for (auto it = m_entries.begin(); it != m_entries.end();) {
        if (now - it->second.usedAt < lifetime) {
            ++it;
            continue;
        }
        it = m_entries.erase(it);
    }
}

void PromptCacheModel::clear()
{
    m_entries.clear();
}

} // namespace Routing
