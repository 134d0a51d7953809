#pragma once

#include "base/ids.h"
#include "coordination/membership.h"

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace Node {

/// Caches the order of homes of each pool shard for the current view of the routers.
///
/// The first router in the order is the home of the shard, the second its standby. The order is
/// computed once per view, because hashing all routers for every request takes 4% of a core with
/// 128 routers under load.
class HomeOrderCache
{
public:
    /// \a membership must outlive this object.
    explicit HomeOrderCache(const Coordination::Membership &membership);

    /// Returns the routers in order, the home first; empty while no router is usable.
    const std::vector<Base::HostId> &order(const Base::PoolId &pool, std::uint32_t shard) const;
    /// Returns the home of a shard, or this router while no router is usable.
    Base::HostId home(const Base::PoolId &pool, std::uint32_t shard) const;

private:
    const Coordination::Membership *m_membership;
    mutable std::uint64_t m_view = 0;
    mutable std::vector<Base::HostId> m_routers;
    mutable std::map<std::pair<Base::PoolId, std::uint32_t>, std::vector<Base::HostId>> m_orders;
};

} // namespace Node
