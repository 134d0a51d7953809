#include "coordination/homemap.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <map>

namespace {

using namespace Coordination;

std::vector<Base::HostId> makeRouters(std::size_t count)
{
    std::vector<Base::HostId> routers;
    for (std::size_t i = 0; i < count; ++i)
        routers.emplace_back("router-" + std::to_string(i));
    return routers;
}

Base::PoolId makePool(std::uint32_t i)
{
    return Base::PoolId("model/m" + std::to_string(i));
}

} // namespace

// Guards against a loss that moves more shards than those of the lost router: requests for
// permits would go to the wrong homes in the whole region while capacity is short.
TEST_CASE("the loss of a router moves its own shards only, each to its standby", "[homes]")
{
    rc::prop("the order of the remaining routers is unchanged", [] {
        const auto count = *rc::gen::inRange<std::size_t>(2, 40);
        std::vector<Base::HostId> routers = makeRouters(count);
        const auto lost = *rc::gen::inRange<std::size_t>(0, count);
        const Base::HostId gone = routers[lost];
        std::vector<Base::HostId> left = routers;
        left.erase(left.begin() + static_cast<long>(lost));
        std::reverse(left.begin(), left.end());
        for (std::uint32_t shard = 0; shard < 50; ++shard) {
            std::vector<Base::HostId> expected = homeOrder(makePool(shard % 18), shard, routers);
            std::erase(expected, gone);
            RC_ASSERT(homeOrder(makePool(shard % 18), shard, left) == expected);
        }
    });
}

TEST_CASE("shards are spread over the routers, and servers over the shards", "[homes]")
{
    const std::vector<Base::HostId> routers = makeRouters(39);
    std::map<Base::HostId, int> homes;
    for (std::uint32_t i = 0; i < 3900; ++i)
        ++homes[homeOrder(makePool(i), i % 3, routers).front()];
    for (const Base::HostId &router : routers) {
        CHECK(homes[router] >= 60);
        CHECK(homes[router] <= 140);
    }
    const std::uint32_t shards = shardCount(600);
    CHECK(shards == 25);
    std::map<std::uint32_t, int> servers;
    for (int i = 0; i < 600; ++i)
        ++servers[shardOf(makePool(1), Base::ServerId("s" + std::to_string(i)), shards)];
    CHECK(servers.size() == shards);
    for (const auto &[shard, count] : servers)
        CHECK(count <= 48);
}

TEST_CASE("an added shard takes servers from the others and moves none between them", "[homes]")
{
    rc::prop("a server stays or moves to the new shard", [] {
        const auto shards = *rc::gen::inRange<std::uint32_t>(1, 30);
        for (int i = 0; i < 100; ++i) {
            const Base::ServerId server("s" + std::to_string(i));
            const std::uint32_t before = shardOf(makePool(1), server, shards);
            const std::uint32_t after = shardOf(makePool(1), server, shards + 1);
            RC_ASSERT(after == before || after == shards);
        }
    });
}
