#include "routing/customeraccount.h"
#include "routing/dispatcher.h"
#include "routing/routetable.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

using namespace Routing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Base::TimePoint start{seconds(1000)};
const Base::RegionId north("north");
const Base::RegionId south("south");
const Base::RegionId west("west");
const std::vector<Base::RegionId> allRegions{north, south, west};

ZoneRegions zones()
{
    return ZoneRegions({{Base::ZoneId("n1"), north},
                        {Base::ZoneId("n2"), north},
                        {Base::ZoneId("s1"), south},
                        {Base::ZoneId("w1"), west}});
}

RegisteredServer server(std::size_t number, const std::string &zone)
{
    RegisteredServer it;
    it.id = Base::ServerId("s" + std::to_string(number));
    it.zone = Base::ZoneId(zone);
    it.slots = 8;
    return it;
}

Work work(WorkId id, Base::TimePoint now)
{
    Work it;
    it.id = id;
    it.customer = Base::CustomerId("c" + std::to_string(id % 3));
    it.arrivedAt = now;
    it.startBy = now + milliseconds(1000);
    it.deadline = now + seconds(8);
    it.promptTokens = 9000;
    it.outputTokens = 100;
    return it;
}

ServiceTraits engineTraits()
{
    ServiceTraits traits{true, 500000, 40, 40 * 1000 * 4};
    traits.transferMsPerToken = 0.001;
    return traits;
}

Dispatcher dispatcherOf(const std::vector<RegisteredServer> &servers)
{
    Dispatcher dispatcher(engineTraits(), Base::ZoneId("n1"), Base::HostId("h"));
    dispatcher.setRegions(north, zones());
    dispatcher.setServers(servers);
    return dispatcher;
}

} // namespace

TEST_CASE("regions of a route and of a customer both bind", "[routing]")
{
    RoutingConfiguration configuration;
    configuration.version = 1;
    Route route;
    route.host = "a.example";
    route.prefix = "/x/";
    route.allowedRegions = {south, north};
    configuration.routes = {route};
    configuration.customers = {{Base::CustomerId("bound"), {"k"}, {south, west}},
                               {Base::CustomerId("elsewhere"), {"l"}, {west}},
                               {Base::CustomerId("free"), {"m"}, {}}};
    const auto table = RouteTable::create(configuration);
    const Route &known = table->configuration().routes.front();
    const auto of = [&](const char *customer) {
        return table->residency(known, Base::CustomerId(customer));
    };
    CHECK(of("bound").regions() == std::vector{south});
    CHECK(of("elsewhere").allowsNone());
    CHECK(of("free").regions() == std::vector{north, south});
    CHECK(of("").regions() == std::vector{north, south});
    CHECK(table->residency("a.example").regions() == std::vector{north, south});
    CHECK_FALSE(table->residency("b.example").isRestricted());
}

TEST_CASE("an account keeps its customer and its regions", "[routing]")
{
    rc::prop("both are read back", [] {
        std::vector<Base::RegionId> regions;
        for (const Base::RegionId &it : allRegions) {
            if (*rc::gen::arbitrary<bool>())
                regions.push_back(it);
        }
        const Base::CustomerId customer("c");
        const Residency residency = Residency::of(regions);
        const Base::CustomerId account = accountOf(customer, residency);
        RC_ASSERT(customerOf(account) == customer);
        RC_ASSERT(residencyOf(account) == residency);
    });
}

TEST_CASE("no way leads a request or its prompt out of its regions", "[routing]")
{
    // Guards against requests, repeats, streams, waiting requests or fetched prompts that reach
    // servers in a region that the route or the customer does not allow.
    rc::prop("placements and fetches stay in the regions", [] {
        const std::vector<std::string> zoneNames{"n1", "n2", "s1", "w1", "unknown"};
        std::vector<RegisteredServer> servers;
        const auto n = *rc::gen::inRange<std::size_t>(2, 9);
        for (std::size_t i = 0; i < n; ++i) {
            servers.push_back(server(i, *rc::gen::elementOf(zoneNames)));
            servers.back().softwareVersion = *rc::gen::element<std::string>("v1", "v2");
        }
        std::map<Base::ServerId, Base::RegionId> regionOf;
        for (const RegisteredServer &it : servers)
            regionOf[it.id] = zones().regionOf(it.zone);
        Dispatcher dispatcher = dispatcherOf(servers);
        std::map<WorkId, Residency> residencies;
        std::vector<WorkId> running;
        Base::TimePoint now = start;
        const auto check = [&](const Decisions &decisions) {
            for (const Placement &it : decisions.placements) {
                const Residency &residency = residencies[it.work];
                RC_ASSERT(residency.allows(regionOf[it.server]));
                running.push_back(it.work);
                if (it.fetchFrom.isEmpty())
                    continue;
                RC_ASSERT(residency.allows(regionOf[it.fetchFrom]));
                RC_ASSERT(regionOf[it.fetchFrom] == regionOf[it.server]);
            }
        };
        const auto steps = *rc::gen::inRange(10, 80);
        for (int i = 1; i <= steps; ++i) {
            now += milliseconds(*rc::gen::inRange(0, 120));
            Work it = work(static_cast<WorkId>(i), now);
            const auto parts = *rc::gen::inRange(1U, 4U);
            it.parts = {{parts, 4000}, {100 + parts, 3000}, {1000U + static_cast<unsigned>(i), 10}};
            std::vector<Base::RegionId> regions;
            for (const Base::RegionId &region : allRegions) {
                if (*rc::gen::arbitrary<bool>())
                    regions.push_back(region);
            }
            it.residency = Residency::of(regions);
            if (*rc::gen::inRange(0, 4) == 0)
                it.tried = {servers.front().id};
            if (*rc::gen::inRange(0, 4) == 0)
                it.softwareVersion = "v1";
            it.isContinuation = it.softwareVersion.has_value();
            residencies[it.id] = it.residency;
            check(dispatcher.submit(it, now));
            if (*rc::gen::inRange(0, 3) == 0 && !running.empty()) {
                dispatcher.started(running.back(), now);
                const auto outcome = *rc::gen::element(
                    AttemptOutcome::Served, AttemptOutcome::Unreachable, AttemptOutcome::Silent);
                const WorkId ended = running.back();
                running.pop_back();
                check(dispatcher.finished(ended, outcome, now));
            }
            if (*rc::gen::inRange(0, 6) == 0)
                dispatcher.setEvacuatedZones({Base::ZoneId(*rc::gen::elementOf(zoneNames))}, now);
            check(dispatcher.advance(now));
        }
    });
}

TEST_CASE("a request with no server in its regions is refused at once", "[routing]")
{
    Dispatcher dispatcher = dispatcherOf({server(1, "n1"), server(2, "unknown")});
    Work it = work(1, start);
    it.residency = Residency::of({south});
    const Decisions decisions = dispatcher.submit(it, start);
    REQUIRE(decisions.rejected.size() == 1);
    CHECK(decisions.rejected.front().reason == RejectionReason::NoRegion);
    CHECK(decisions.placements.empty());
}

TEST_CASE("servers of the own region go first while they have capacity", "[routing]")
{
    Dispatcher dispatcher =
        dispatcherOf({server(1, "s1"), server(2, "s1"), server(3, "n2"), server(4, "w1")});
    for (WorkId id = 1; id <= 3; ++id) {
        const Decisions decisions = dispatcher.submit(work(id, start), start);
        REQUIRE(decisions.placements.size() == 1);
        if (id == 1)
            CHECK(decisions.placements.front().server == Base::ServerId("s3"));
    }
    ServiceTraits plain;
    Dispatcher application(plain, Base::ZoneId("n1"), Base::HostId("h"));
    application.setRegions(north, zones());
    application.setServers({server(1, "s1"), server(2, "s1"), server(3, "n2")});
    for (WorkId id = 1; id <= 6; ++id) {
        Work it = work(id, start);
        it.promptTokens = 0;
        const Decisions decisions = application.submit(it, start);
        REQUIRE(decisions.placements.size() == 1);
        CHECK(decisions.placements.front().server == Base::ServerId("s3"));
    }
}

TEST_CASE("requests that wait for a full region do not keep others from servers elsewhere",
          "[routing]")
{
    // Guards against a queue in which the requests of the least served customers, which are bound
    // to a full region, are tried first in every pass, while servers of another region are idle.
    Dispatcher dispatcher = dispatcherOf({server(1, "s1"), server(2, "n1")});
    Base::TimePoint now = start;
    WorkId id = 0;
    // Fills both servers, so that what follows waits.
    std::map<Base::ServerId, std::vector<WorkId>> running;
    const auto submit = [&](Work it) {
        Decisions decisions = dispatcher.submit(std::move(it), now);
        for (const Placement &placement : decisions.placements)
            running[placement.server].push_back(placement.work);
        return decisions;
    };
    for (int i = 0; i < 40; ++i) {
        Work it = work(++id, now);
        it.promptTokens = 2000;
        it.residency = Residency::of({i % 2 == 0 ? south : north});
        submit(it);
    }
    for (int i = 0; i < 60; ++i) {
        Work it = work(++id, now);
        it.promptTokens = 10;
        it.customer = Base::CustomerId("bound" + std::to_string(i));
        it.startBy = now + seconds(60);
        it.residency = Residency::of({south});
        submit(it);
    }
    Work open = work(++id, now);
    open.promptTokens = 10;
    open.customer = Base::CustomerId("open");
    open.startBy = now + seconds(60);
    open.residency = Residency::of({north});
    const Decisions waits = submit(open);
    REQUIRE(waits.placements.empty());
    REQUIRE(waits.rejected.empty());
    now += milliseconds(50);
    bool isPlaced = false;
    const auto take = [&](const Decisions &decisions) {
        for (const Placement &it : decisions.placements)
            isPlaced = isPlaced || it.work == open.id;
    };
    for (const WorkId it : running[Base::ServerId("s2")]) {
        dispatcher.started(it, now);
        take(dispatcher.finished(it, AttemptOutcome::Served, now));
        now += milliseconds(20);
    }
    take(dispatcher.advance(now));
    CHECK(isPlaced);
}

TEST_CASE("a customer that lacks service in its region does not hold down others elsewhere",
          "[routing]")
{
    // Guards against a pool of which one region stays idle, because a customer that may not use it
    // gets less than it asks for.
    CustomerShares shares;
    shares.setThroughput(1'000'000);
    shares.setSaturation(0.5);
    const Base::CustomerId bound("bound");
    const Base::CustomerId boundAccount = accountOf(bound, Residency::of({south}));
    const Base::CustomerId open("open");
    Base::TimePoint now = start;
    int refused = 0;
    Residency left;
    for (int i = 0; i < 4000; ++i) {
        now += milliseconds(1);
        shares.recordDemand(boundAccount, 800, now);
        if (i % 8 == 0) {
            shares.recordSent(boundAccount, 800, now);
            shares.recordStarted(boundAccount, 800, now);
        }
        shares.recordDemand(open, 600, now);
        const Admission admission = shares.admission(open, now);
        if (isRefused(admission) && i > 2000)
            ++refused;
        if (!isRefused(admission)) {
            shares.recordAdmitted(open, 600, now);
            shares.recordSent(open, 600, now);
            shares.recordStarted(open, 600, now);
        }
    }
    left = shares.regionsLeftFor(open, Residency(), allRegions, now);
    CHECK(refused < 100);
    CHECK_FALSE(left.allows(south));
    CHECK(left.allows(north));
    CHECK(shares.regionsLeftFor(bound, Residency::of({south}), allRegions, now).allows(south));
}
