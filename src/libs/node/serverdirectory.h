#pragma once

#include "base/ids.h"
#include "coordination/membership.h"
#include "storage/hostlist.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Node {

/// A backend server as the host list shows it.
struct Server
{
    Base::ServerId id;
    std::string address;
    Base::ZoneId zone;
    Base::Incarnation incarnation = 0;
    Storage::HostRole role = Storage::HostRole::ModelServer;
    /// Whether the server rejects work that carries an older fencing token.
    bool isCheckingFences = false;
    bool isLeaving = false;
    std::vector<Base::PoolId> pools;
};

/// The backend servers known to this process, by pool and shard.
class ServerDirectory
{
public:
    /// Replaces the servers by those of \a listing unless it is older than the current one. Returns
    /// whether it was used.
    bool update(const Storage::HostListing &listing);
    /// Marks the servers that are leaving according to \a membership.
    void markLeaving(const Coordination::Membership &membership);

    /// Returns whether a listing has arrived since the start of the process.
    bool isKnown() const { return m_version > 0; }
    /// Returns the server, or null if it is not listed.
    const Server *server(const Base::ServerId &id) const;
    const std::map<Base::PoolId, std::vector<Base::ServerId>> &pools() const { return m_pools; }
    bool hasPool(const Base::PoolId &pool) const { return m_pools.count(pool) > 0; }
    /// Returns the number of shards of a pool, at least 1.
    std::uint32_t shards(const Base::PoolId &pool) const;
    /// Returns the servers of one shard that may get new work.
    std::vector<const Server *> usable(const Base::PoolId &pool, std::uint32_t shard) const;

private:
    std::uint64_t m_version = 0;
    std::map<Base::ServerId, Server> m_servers;
    std::map<Base::PoolId, std::vector<Base::ServerId>> m_pools;
};

} // namespace Node
