#pragma once

#include "base/ids.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace Coordination {

/// Servers that one home router gives permits for. Small enough that the permit traffic of a
/// shard fits one daemon's control budget (docs/CAPACITY.md).
inline constexpr std::size_t serversPerShard = 24;

/// Into how many shards a pool of \a servers is cut; at least 1. It depends on the list of
/// servers alone, not on what it was before: routers that have the same list agree, whatever
/// lists they had seen earlier.
std::uint32_t shardCount(std::size_t servers);

/// The shard of \a pool that \a server belongs to.
std::uint32_t shardOf(const Base::PoolId &pool, const Base::ServerId &server, std::uint32_t shards);

/// All \a routers in the order in which they are home of this shard: the first is the home,
/// the second its standby. Rendezvous hashing: the loss of a router moves only its shards, and
/// two routers whose views differ by one member agree on all shards that are not that member's.
/// Zones are left out on purpose (docs/design/homes.md).
std::vector<Base::HostId> homeOrder(const Base::PoolId &pool, std::uint32_t shard,
                                    const std::vector<Base::HostId> &routers);

} // namespace Coordination
