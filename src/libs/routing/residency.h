#pragma once

#include "base/ids.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Routing {

/// The regions in which a request may be handled: where it may run, and where its prompt and its
/// answer may be kept.
class Residency
{
public:
    /// Any region.
    Residency() = default;
    /// Only \a regions; any region if there are none.
    static Residency of(const std::vector<Base::RegionId> &regions);

    /// Returns the regions that both allow.
    Residency intersected(const Residency &other) const;
    /// Returns the regions without \a excluded. \a all are the regions of an unrestricted one.
    Residency without(const std::vector<Base::RegionId> &excluded,
                      const std::vector<Base::RegionId> &all) const;
    bool isRestricted() const { return m_regions.has_value(); }
    /// Returns whether no region is allowed.
    bool allowsNone() const { return m_regions && m_regions->empty(); }
    bool allows(const Base::RegionId &region) const
    {
        return !m_regions || allowsRestricted(region);
    }
    /// The allowed regions in ascending order; none if it is not restricted.
    std::vector<Base::RegionId> regions() const;
    /// The names of the allowed regions, separated by commas, for the log.
    std::string text() const;

    bool operator==(const Residency &) const = default;

private:
    bool allowsRestricted(const Base::RegionId &region) const;

    /// In ascending order; empty if any region is allowed.
    std::optional<std::vector<Base::RegionId>> m_regions;
};

/// The regions in which the availability zones of the deployment lie.
class ZoneRegions
{
public:
    ZoneRegions() = default;
    explicit ZoneRegions(std::map<Base::ZoneId, Base::RegionId> regions)
        : m_regions(std::move(regions))
    {}

    /// Returns the region of \a zone; an empty one if it is not known. A request that may be
    /// handled in some regions only is not sent to a zone of an unknown region.
    const Base::RegionId &regionOf(const Base::ZoneId &zone) const;
    /// Returns whether a zone lies in \a region.
    bool hasRegion(const Base::RegionId &region) const { return zonesIn(region) > 0; }
    /// Returns all regions in ascending order.
    std::vector<Base::RegionId> regions() const;
    /// Returns the number of zones that lie in \a region.
    std::size_t zonesIn(const Base::RegionId &region) const;

private:
    std::map<Base::ZoneId, Base::RegionId> m_regions;
};

} // namespace Routing
