#include "routing/residency.h"

#include <algorithm>
#include <iterator>
#include <set>

namespace Routing {

Residency Residency::of(const std::vector<Base::RegionId> &regions)
{
    Residency residency;
    if (regions.empty())
        return residency;
    residency.m_regions = regions;
    std::vector<Base::RegionId> &sorted = *residency.m_regions;
    std::ranges::sort(sorted);
    sorted.erase(std::unique(sorted.begin(), sorted.end()), sorted.end());
    return residency;
}

Residency Residency::intersected(const Residency &other) const
{
    if (!m_regions)
        return other;
    if (!other.m_regions)
        return *this;
    Residency both;
    both.m_regions.emplace();
    std::ranges::set_intersection(*m_regions, *other.m_regions,
                                  std::back_inserter(*both.m_regions));
    return both;
}

Residency Residency::without(const std::vector<Base::RegionId> &excluded,
                             const std::vector<Base::RegionId> &all) const
{
    Residency left;
    left.m_regions.emplace();
    for (const Base::RegionId &it : m_regions ? *m_regions : all) {
        if (std::ranges::find(excluded, it) == excluded.end())
            left.m_regions->push_back(it);
    }
    return left;
}

std::vector<Base::RegionId> Residency::regions() const
{
    return m_regions.value_or(std::vector<Base::RegionId>());
}

std::string Residency::text() const
{
    std::string text;
    for (const Base::RegionId &it : regions())
        text += (text.empty() ? "" : ",") + it.value();
    return text;
}

bool Residency::allowsRestricted(const Base::RegionId &region) const
{
    return std::ranges::binary_search(*m_regions, region);
}

const Base::RegionId &ZoneRegions::regionOf(const Base::ZoneId &zone) const
{
    static const Base::RegionId unknown;
    const auto it = m_regions.find(zone);
    return it == m_regions.end() ? unknown : it->second;
}

std::vector<Base::RegionId> ZoneRegions::regions() const
{
    std::set<Base::RegionId> regions;
    for (const auto &[zone, region] : m_regions)
        regions.insert(region);
    return {regions.begin(), regions.end()};
}

std::size_t ZoneRegions::zonesIn(const Base::RegionId &region) const
{
    const auto n =
        std::ranges::count_if(m_regions, [&](const auto &it) { return it.second == region; });
    return static_cast<std::size_t>(n);
}

} // namespace Routing
