#include "coordination/membership.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <map>
#include <memory>

namespace {

using namespace std::chrono_literals;
using namespace Coordination;

const Base::HostId r0("r0");
const Base::HostId r1("r1");
const Base::HostId r2("r2");

Storage::ListedHost listedRouter(const std::string &name, Base::Incarnation incarnation,
                                 Storage::HostState state)
{
    Storage::ListedHost host;
    host.name = name;
    host.state = state;
    host.zone = Base::ZoneId("z");
    host.address = name + ":1";
    host.callerAddress = name + ":2";
    host.incarnation = incarnation;
    return host;
}

/// Three routers and the platform's list; links can be cut in either direction.
class Region
{
public:
    Region()
    {
        for (const Base::HostId &host : {r0, r1, r2})
            start(host, 1);
    }

    void start(const Base::HostId &host, Base::Incarnation incarnation)
    {
        const RouterIdentity self{host, incarnation, Base::ZoneId("z"), host.value() + ":1",
                                  host.value() + ":2"};
        routers[host] = std::make_unique<Membership>(*Membership::create({}, self));
    }

    void list(const Base::HostId &at, std::uint64_t version, Storage::HostState stateOfR2)
    {
        Storage::HostListing listing;
        listing.version = version;
        for (const Base::HostId &host : {r0, r1})
            listing.hosts.push_back(listedRouter(host.value(), 1, Storage::HostState::Live));
        listing.hosts.push_back(listedRouter("r2", 1, stateOfR2));
        routers[at]->seed(listing, now);
    }

    void run(Base::Duration length)
    {
        for (const Base::TimePoint end = now + length; now < end; now += 100ms) {
            for (auto &[host, router] : routers) {
                router->advance(now);
                const std::optional<Heartbeat> heartbeat = router->dueHeartbeat(now);
                for (auto &[to, other] : routers) {
                    if (heartbeat && to != host && !isCut(host, to))
                        other->receive(*heartbeat, now);
                }
            }
        }
    }

    bool isCut(const Base::HostId &from, const Base::HostId &to) { return cut[{from, to}]; }

    bool isUsable(const Base::HostId &at, const Base::HostId &host)
    {
        const auto usable = routers[at]->usableRouters();
        return std::find(usable.begin(), usable.end(), host) != usable.end();
    }

    std::map<Base::HostId, std::unique_ptr<Membership>> routers;
    std::map<std::pair<Base::HostId, Base::HostId>, bool> cut;
    Base::TimePoint now{1s};
};

constexpr auto live = Storage::HostState::Live;
constexpr auto leaving = Storage::HostState::Leaving;

} // namespace

// A router is told to leave. The list flaps between live and leaving, comes late in an old
// version, links break and heal. If one router took it for live again, work sent there would
// be cut off when it goes.
TEST_CASE("a leaving host never becomes usable again in the same start", "[membership]")
{
    rc::prop("sticky, and known to all once links are whole", [] {
        Region region;
        for (const Base::HostId &at : {r0, r1, r2})
            region.list(at, 10, live);
        region.run(1s);
        std::map<Base::HostId, bool> hasKnown;
        bool isAnyTold = false;
        const int steps = *rc::gen::inRange(1, 30);
        for (int i = 0; i < steps; ++i) {
            const Base::HostId at("r" + std::to_string(*rc::gen::inRange(0, 3)));
            const Base::HostId other("r" + std::to_string(*rc::gen::inRange(0, 3)));
            const int what = *rc::gen::inRange(0, 6);
            if (what == 0)
                region.cut[{at, other}] = !region.cut[{at, other}];
            if (what == 1)
                region.routers[at]->recordUnreachable(other, region.now);
            if (what >= 2 && what <= 4) {
                const auto state = *rc::gen::element(live, leaving);
                region.list(at, *rc::gen::inRange<std::uint64_t>(1, 30), state);
                isAnyTold = isAnyTold || state == leaving;
            }
            region.run(std::chrono::milliseconds(*rc::gen::inRange(0, 30) * 100));
            for (const Base::HostId &seenBy : {r0, r1, r2}) {
                if (region.routers[seenBy]->isLeaving("r2", 1))
                    hasKnown[seenBy] = true;
                RC_ASSERT(!(hasKnown[seenBy] && region.isUsable(seenBy, r2)));
            }
        }
        region.cut.clear();
        region.run(20s);
        for (const Base::HostId &at : {r0, r1, r2}) {
            RC_ASSERT(region.isUsable(at, r0));
            RC_ASSERT(region.isUsable(at, r1));
            RC_ASSERT(region.isUsable(at, r2) == !isAnyTold);
        }
    });
}

TEST_CASE("leaving spreads in one exchange, to a cold start too, and ends with the start",
          "[membership]")
{
    Region region;
    for (const Base::HostId &at : {r0, r1, r2})
        region.list(at, 1, live);
    region.run(2s);
    region.routers[r2]->beginLeaving();
    region.run(100ms);
    CHECK_FALSE(region.isUsable(r0, r2));
    region.run(10s);
    // r1 starts cold from the old list, cut off from r2: r0 tells it.
    region.cut[{r2, r1}] = true;
    region.start(r1, 2);
    region.list(r1, 1, live);
    region.run(1s);
    CHECK(region.routers[r1]->isLeaving("r2", 1));
    region.start(r2, 2);
    region.cut.clear();
    region.run(1s);
    CHECK(region.isUsable(r0, r2));
    CHECK(region.isUsable(r1, r2));
    // The new start has heard of the old one within one exchange.
    CHECK(region.routers[r2]->isLeaving("r2", 1));
}

// 2,600 starts leave every day; marks of hosts that are gone must go, and must not be kept
// alive by routers telling each other.
TEST_CASE("marks are dropped a day after the list has moved past them", "[membership]")
{
    Region region;
    for (const Base::HostId &at : {r0, r1, r2})
        region.list(at, 1, leaving);
    region.run(1s);
    region.routers.erase(r2);
    // The list reaches the two some hours apart, so that each drops its mark while the other
    // still has it.
    for (const Base::HostId &at : {r0, r1}) {
        Storage::HostListing listing;
        listing.version = 2;
        region.routers[at]->seed(listing, region.now);
        region.now += 5h;
        region.run(10s);
    }
    CHECK(region.routers[r0]->leavingMarks() == 1);
    region.now += 14h + 1min;
    region.run(10s);
    CHECK(region.routers[r0]->leavingMarks() == 0);
    CHECK(region.routers[r1]->leavingMarks() == 1);
    region.now += 5h;
    region.run(10s);
    CHECK(region.routers[r0]->leavingMarks() == 0);
    CHECK(region.routers[r1]->leavingMarks() == 0);
    CHECK(region.routers[r0]->others().count(r2) == 0);
}

TEST_CASE("a late or doubled heartbeat does not make a dead router live", "[membership]")
{
    Region region;
    for (const Base::HostId &at : {r0, r1, r2})
        region.list(at, 1, live);
    region.run(2s);
    const std::optional<Heartbeat> late = region.routers[r2]->dueHeartbeat(region.now + 1s);
    const std::optional<Heartbeat> last = region.routers[r2]->dueHeartbeat(region.now + 2s);
    region.routers[r0]->receive(*last, region.now);
    region.routers.erase(r2);
    region.run(3s);
    region.routers[r0]->receive(*late, region.now);
    region.routers[r0]->receive(*last, region.now);
    CHECK_FALSE(region.isUsable(r0, r2));
}

// A router's link fails every few seconds. Undamped, its pool shards would move twice each time.
TEST_CASE("a flapping router is used again only after a steady while", "[membership]")
{
    Region region;
    for (const Base::HostId &at : {r0, r1, r2})
        region.list(at, 1, live);
    region.run(2s);
    const std::uint64_t before = region.routers[r0]->viewVersion();
    for (int i = 0; i < 20; ++i) {
        region.cut[{r2, r0}] = i % 2 == 0;
        region.run(2s);
    }
    CHECK(region.routers[r0]->viewVersion() - before <= 6);
    region.run(6s);
    CHECK(region.isUsable(r0, r2));
}

TEST_CASE("a router that was itself paused does not take all others for dead", "[membership]")
{
    Region region;
    for (const Base::HostId &at : {r0, r1, r2})
        region.list(at, 1, live);
    region.run(2s);
    region.now += 10s;
    region.routers[r0]->advance(region.now);
    CHECK(region.isUsable(r0, r1));
    region.routers.erase(r1);
    region.run(3s);
    CHECK_FALSE(region.isUsable(r0, r1));
}

TEST_CASE("a router that the lagging list does not have yet is learned from its heartbeat",
          "[membership]")
{
    Region region;
    for (const Base::HostId &at : {r0, r1, r2})
        region.list(at, 1, live);
    const Base::HostId added("r3");
    region.start(added, 1);
    region.list(added, 2, live);
    region.run(1s);
    CHECK(region.isUsable(r0, added));
    CHECK(region.routers[r0]->others().at(added).peerAddress == "r3:1");
    region.routers.erase(added);
    region.run(62s);
    CHECK(region.routers[r0]->others().count(added) == 0);
}

TEST_CASE("a heartbeat in a steady state carries neither marks nor pools", "[membership]")
{
    Region region;
    for (const Base::HostId &at : {r0, r1, r2})
        region.list(at, 1, leaving);
    region.run(10s);
    Membership &router = *region.routers[r0];
    std::size_t full = 0;
    std::size_t entries = 0;
    for (int i = 0; i < 80; ++i) {
        std::optional<Heartbeat> heartbeat = router.dueHeartbeat(region.now += 500ms);
        REQUIRE(heartbeat);
        heartbeat->pools = {{Base::PoolId("model/m"), 0, 100, 7, 30.0 + i % 3}};
        router.omitUnchanged(*heartbeat);
        full += heartbeat->isFull ? 1 : 0;
        entries += heartbeat->isFull ? 0 : heartbeat->pools.size() + heartbeat->leaving.size();
    }
    CHECK(full >= 2);
    CHECK(full <= 3);
    CHECK(entries <= 1);
}

TEST_CASE("many marks at once are spread over a few heartbeats", "[membership]")
{
    LeavingMarks marks;
    for (int i = 0; i < 30; ++i)
        marks.add("s" + std::to_string(i), 1);
    std::map<std::string, int> told;
    for (int i = 0; i < 38; ++i) {
        const std::vector<LeavingMark> some = marks.takeTold(false);
        CHECK(some.size() <= 4);
        for (const LeavingMark &mark : some)
            ++told[mark.name];
        CHECK((i < 7 || told.size() == 30));
    }
    CHECK(std::all_of(told.begin(), told.end(), [](const auto &it) { return it.second == 5; }));
    CHECK(marks.takeTold(false).empty());
    CHECK(marks.takeTold(true).size() == 30);
}

TEST_CASE("new spare permits are told at once, other changes of a pool once a second",
          "[membership]")
{
    Region region;
    Membership &router = *region.routers[r0];
    const auto isTold = [&](std::uint32_t waiting, std::uint32_t freePermits) {
        std::optional<Heartbeat> heartbeat = router.dueHeartbeat(region.now += 500ms);
        heartbeat->pools = {{Base::PoolId("model/m"), 0, waiting, freePermits, 30}};
        router.omitUnchanged(*heartbeat);
        return !heartbeat->pools.empty();
    };
    CHECK(isTold(100, 0));
    CHECK_FALSE(isTold(10, 0));
    CHECK(isTold(10, 0));
    CHECK(isTold(0, 5));
    CHECK_FALSE(isTold(3, 0));
    CHECK(isTold(3, 0));
    CHECK_FALSE(isTold(3, 0));
}
