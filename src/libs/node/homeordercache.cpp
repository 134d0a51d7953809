#include "node/homeordercache.h"

#include "coordination/homemap.h"

namespace Node {

HomeOrderCache::HomeOrderCache(const Coordination::Membership &membership)
    : m_membership(&membership)
{}

const std::vector<Base::HostId> &HomeOrderCache::order(const Base::PoolId &pool,
                                                       std::uint32_t shard) const
{
    if (m_view != m_membership->viewVersion()) {
        m_view = m_membership->viewVersion();
        m_routers = m_membership->usableRouters();
        m_orders.clear();
    }
    const auto [it, isNew] = m_orders.try_emplace({pool, shard});
    if (isNew)
        it->second = Coordination::homeOrder(pool, shard, m_routers);
    return it->second;
}

Base::HostId HomeOrderCache::home(const Base::PoolId &pool, std::uint32_t shard) const
{
    const std::vector<Base::HostId> &homes = order(pool, shard);
    return homes.empty() ? m_membership->self().host : homes.front();
}

} // namespace Node
