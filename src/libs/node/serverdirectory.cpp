#include "node/serverdirectory.h"

#include "coordination/homemap.h"

namespace Node {

bool ServerDirectory::update(const Storage::HostListing &listing)
{
    if (listing.version < m_version)
        return false;
    m_version = listing.version;
    m_servers.clear();
    m_pools.clear();
    for (const Storage::ListedHost &host : listing.hosts) {
        if (host.role == Storage::HostRole::Router)
            continue;
        Server server;
        server.id = Base::ServerId(host.name);
        server.address = host.address;
        server.zone = host.zone;
        server.incarnation = host.incarnation;
        server.role = host.role;
        server.isCheckingFences = host.isCheckingFences;
        server.isLeaving = host.state == Storage::HostState::Leaving;
        server.pools = host.pools;
        for (const Base::PoolId &pool : host.pools)
            m_pools[pool].push_back(server.id);
        m_servers[server.id] = server;
    }
    return true;
}

void ServerDirectory::markLeaving(const Coordination::Membership &membership)
{
    for (auto &[id, server] : m_servers) {
        if (membership.isLeaving(id.value(), server.incarnation))
            server.isLeaving = true;
    }
}

const Server *ServerDirectory::server(const Base::ServerId &id) const
{
    const auto it = m_servers.find(id);
    return it == m_servers.end() ? nullptr : &it->second;
}

std::uint32_t ServerDirectory::shards(const Base::PoolId &pool) const
{
    const auto it = m_pools.find(pool);
    return Coordination::shardCount(it == m_pools.end() ? 0 : it->second.size());
}

std::vector<const Server *> ServerDirectory::usable(const Base::PoolId &pool,
                                                    std::uint32_t shard) const
{
    std::vector<const Server *> servers;
    const auto it = m_pools.find(pool);
    if (it == m_pools.end())
        return servers;
    const std::uint32_t count = shards(pool);
    for (const Base::ServerId &id : it->second) {
        const Server &server = m_servers.at(id);
        if (server.isLeaving || Coordination::shardOf(pool, id, count) != shard)
            continue;
        servers.push_back(&server);
    }
    return servers;
}

} // namespace Node
