#pragma once

#include "base/ids.h"
#include "coordination/membership.h"

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace Node {

/// The order of homes of each shard under the present view of the routers.
///
/// Worked out once for each view: hashing all routers anew for every request cost 4% of a core
/// with 128 routers under load (docs/CAPACITY.md).
class HomeOrderCache
{
public:
    /// \a membership outlives the object.
    explicit HomeOrderCache(const Coordination::Membership &membership);

    /// The home first, its standby second; empty while no router is usable.
    const std::vector<Base::HostId> &order(const Base::PoolId &pool, std::uint32_t shard) const;
    /// The home of a shard; this router itself while no router is usable.
    Base::HostId home(const Base::PoolId &pool, std::uint32_t shard) const;

private:
    const Coordination::Membership *m_membership;
    mutable std::uint64_t m_view = 0;
    mutable std::vector<Base::HostId> m_routers;
    mutable std::map<std::pair<Base::PoolId, std::uint32_t>, std::vector<Base::HostId>> m_orders;
};

} // namespace Node
