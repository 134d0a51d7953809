#include "routing/evacuatedzones.h"

#include <utility>

namespace Routing {

bool EvacuatedZones::replace(const std::set<Base::ZoneId> &zones, std::uint64_t version)
{
    if (version <= m_version)
        return false;
    m_version = version;
    return std::exchange(m_zones, zones) != zones;
}

bool EvacuatedZones::apply(const std::vector<EvacuationChange> &changes, std::uint64_t version)
{
    std::set<Base::ZoneId> zones = m_zones;
    for (const EvacuationChange &it : changes) {
        if (it.isEvacuated)
            zones.insert(it.zone);
        else
            zones.erase(it.zone);
    }
    return replace(zones, version);
}

} // namespace Routing
