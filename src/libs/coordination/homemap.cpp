#include "coordination/homemap.h"

#include "base/hash.h"

#include <algorithm>
#include <utility>

namespace Coordination {

std::uint32_t shardCount(std::size_t servers)
{
    const std::size_t count = (servers + serversPerShard - 1) / serversPerShard;
    return static_cast<std::uint32_t>(std::max<std::size_t>(count, 1));
}

std::uint32_t shardOf(const Base::PoolId &pool, const Base::ServerId &server, std::uint32_t shards)
{
    std::uint32_t best = 0;
    std::uint64_t bestWeight = 0;
    const std::uint64_t serverHash =
        Base::stableHash(server.value(), Base::stableHash(pool.value()));
    for (std::uint32_t shard = 0; shard < shards; ++shard) {
        const std::uint64_t weight = Base::stableHash(std::to_string(shard), serverHash);
        if (weight < bestWeight)
            continue;
        best = shard;
        bestWeight = weight;
    }
    return best;
}

std::vector<Base::HostId> homeOrder(const Base::PoolId &pool, std::uint32_t shard,
                                    const std::vector<Base::HostId> &routers)
{
    const std::uint64_t shardHash = Base::stableHash(pool.value(), shard);
    std::vector<std::pair<std::uint64_t, Base::HostId>> weighted;
    for (const Base::HostId &router : routers)
        weighted.emplace_back(Base::stableHash(router.value(), shardHash), router);
    std::sort(weighted.begin(), weighted.end(), [](const auto &a, const auto &b) { return a > b; });
    std::vector<Base::HostId> order;
    for (const auto &[weight, router] : weighted)
        order.push_back(router);
    return order;
}

} // namespace Coordination
