#include "routing/prefixfetch.h"

#include <algorithm>
#include <utility>

namespace Routing {

namespace {

bool isBetter(const PrefixKeeper &one, const PrefixKeeper &other)
{
    if (one.tokens != other.tokens)
        return one.tokens > other.tokens;
    return one.busyMilliseconds < other.busyMilliseconds;
}

} // namespace

PrefixFetch::PrefixFetch(const ServerCost &cost, std::vector<PrefixKeeper> keepers)
    : m_cost(&cost)
{
    // A large pool has tens of sources, and each decision looks at all servers for each of them.
    // One source per zone is enough.
    for (PrefixKeeper &keeper : keepers) {
        const auto sameZone = std::find_if(m_keepers.begin(), m_keepers.end(),
                                           [&](const auto &it) { return it.zone == keeper.zone; });
        if (sameZone == m_keepers.end())
            m_keepers.push_back(std::move(keeper));
        else if (isBetter(keeper, *sameZone))
            *sameZone = std::move(keeper);
    }
}

std::optional<FetchPlan> PrefixFetch::plan(const Base::ServerId &server, const Base::ZoneId &zone,
                                           std::uint32_t cachedTokens) const
{
    std::optional<FetchPlan> best;
    double mostSaved = 0;
    for (const PrefixKeeper &keeper : m_keepers) {
        if (keeper.server == server || keeper.tokens <= cachedTokens)
            continue;
        const std::uint32_t tokens = keeper.tokens - cachedTokens;
        const double fetching =
            m_cost->fetchMilliseconds(tokens, keeper.zone != zone) + keeper.busyMilliseconds;
        const double saved =
            m_cost->readMilliseconds(tokens) + m_cost->rereadMilliseconds(tokens) - fetching;
        if (saved <= mostSaved)
            continue;
        mostSaved = saved;
        best = FetchPlan{keeper.server, tokens, fetching};
    }
    return best;
}

} // namespace Routing
