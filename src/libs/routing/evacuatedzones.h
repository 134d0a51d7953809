#pragma once

#include "base/ids.h"

#include <cstdint>
#include <set>
#include <vector>

namespace Routing {

/// The operator's last word on one availability zone.
struct EvacuationChange
{
    Base::ZoneId zone;
    bool isEvacuated = false;

    bool operator==(const EvacuationChange &) const = default;
};

/// The availability zones that the operator has evacuated. Their servers get no new requests until
/// the evacuation is taken back.
///
/// The state has the version of the store at which it was read. The store never decreases its
/// version, so of two states the one with the higher version is the newer one, whichever host read
/// it and whichever way it came.
class EvacuatedZones
{
public:
    /// Returns whether any state was read yet.
    bool isKnown() const { return m_version > 0; }
    std::uint64_t version() const { return m_version; }
    const std::set<Base::ZoneId> &zones() const { return m_zones; }
    bool contains(const Base::ZoneId &zone) const { return m_zones.count(zone) > 0; }

    /// Takes the complete state as of \a version, unless a newer one is known. Returns whether the
    /// zones have changed.
    bool replace(const std::set<Base::ZoneId> &zones, std::uint64_t version);
    /// Takes all changes up to \a version since a state that is not newer than the known one.
    /// Returns whether the zones have changed.
    bool apply(const std::vector<EvacuationChange> &changes, std::uint64_t version);

private:
    std::uint64_t m_version = 0;
    std::set<Base::ZoneId> m_zones;
};

} // namespace Routing
