#pragma once

#include "base/ids.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace Coordination {

/// Target number of servers per shard. The home of a shard is the router that grants the permits
/// for its servers; with 24 servers the shard's permit traffic fits one daemon's budget for
/// control traffic (see TrafficBudget).
inline constexpr std::size_t serversPerShard = 24;

/// Returns the number of shards of a pool with \a servers servers, at least 1. It depends on the
/// current number of servers only, so that routers with the same list agree, whatever lists they
/// have seen before.
std::uint32_t shardCount(std::size_t servers);

/// Returns the shard of \a pool that \a server belongs to, out of \a shards.
std::uint32_t shardOf(const Base::PoolId &pool, const Base::ServerId &server, std::uint32_t shards);

/// Returns all \a routers ranked for this shard: the first is its home, the second the standby
/// that takes over. The rank is a rendezvous hash, so that the loss of a router moves only the
/// shards of that router, and two routers whose views differ by one member agree on all shards
/// that are not that member's. The ranking deliberately ignores zones; docs/design/homes.md has
/// the reasons.
std::vector<Base::HostId> homeOrder(const Base::PoolId &pool, std::uint32_t shard,
                                    const std::vector<Base::HostId> &routers);

} // namespace Coordination
