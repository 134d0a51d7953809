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
    bool isCheckingFences = false;
    bool isLeaving = false;
    std::vector<Base::PoolId> pools;
};

/// The backend servers known to this process, by pool and shard.
class ServerDirectory
{
public:
    /// Takes a newer listing; an older one is left. Returns whether it was taken.
    bool update(const Storage::HostListing &listing);
    /// Marks servers that \a membership knows to be leaving.
    void markLeaving(const Coordination::Membership &membership);

    /// Whether a listing has come since the start.
    bool isKnown() const { return m_version > 0; }
    const Server *server(const Base::ServerId &id) const;
    const std::map<Base::PoolId, std::vector<Base::ServerId>> &pools() const { return m_pools; }
    bool hasPool(const Base::PoolId &pool) const { return m_pools.count(pool) > 0; }
    std::uint32_t shards(const Base::PoolId &pool) const;
    /// The servers of one shard that new work may go to.
    std::vector<const Server *> usable(const Base::PoolId &pool, std::uint32_t shard) const;

private:
    std::uint64_t m_version = 0;
    std::map<Base::ServerId, Server> m_servers;
    std::map<Base::PoolId, std::vector<Base::ServerId>> m_pools;
};

} // namespace Node
