#include "routing/prefixfetch.h"

#include <algorithm>
#include <utility>

namespace Routing {

namespace {

bool isBetter(const PrefixSource &one, const PrefixSource &other)
{
    if (one.tokens != other.tokens)
        return one.tokens > other.tokens;
    return one.queuedMilliseconds < other.queuedMilliseconds;
}

} // namespace

PrefixFetch::PrefixFetch(const ServerCost &cost, std::vector<PrefixSource> sources)
    : m_cost(&cost)
{
    // A large pool has tens of sources, and each decision looks at all servers for each of them.
    // One source per zone and version is enough.
    for (PrefixSource &source : sources) {
        const auto sameZone = std::find_if(m_sources.begin(), m_sources.end(), [&](const auto &it) {
            return it.zone == source.zone && it.softwareVersion == source.softwareVersion;
        });
        if (sameZone == m_sources.end())
            m_sources.push_back(std::move(source));
        else if (isBetter(source, *sameZone))
            *sameZone = std::move(source);
    }
}

std::optional<FetchPlan> PrefixFetch::plan(const Base::ServerId &server, const Base::ZoneId &zone,
                                           std::uint32_t cachedTokens,
                                           const std::string &softwareVersion,
                                           const Base::RegionId &region) const
{
    std::optional<FetchPlan> best;
    double maxSaved = 0;
    for (const PrefixSource &source : m_sources) {
        if (source.server == server || source.softwareVersion != softwareVersion
            || source.region != region || source.tokens <= cachedTokens)
            continue;
        const std::uint32_t tokens = source.tokens - cachedTokens;
        const double fetching =
            m_cost->fetchMilliseconds(tokens, source.zone != zone) + source.queuedMilliseconds;
        const double saved =
            m_cost->readMilliseconds(tokens) + m_cost->rereadMilliseconds(tokens) - fetching;
        if (saved <= maxSaved)
            continue;
        maxSaved = saved;
        best = FetchPlan{source.server, tokens, fetching};
    }
    return best;
}

} // namespace Routing
