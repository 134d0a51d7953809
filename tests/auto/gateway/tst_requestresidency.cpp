#include "gateway/entryhostselector.h"
#include "gateway/regionlinkbudget.h"
#include "gateway/requestresidency.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace Gateway;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Base::TimePoint start{seconds(1000)};
const Base::RegionId north("north");
const Base::RegionId south("south");

Routing::ZoneRegions zones()
{
    return Routing::ZoneRegions({{Base::ZoneId("n"), north}, {Base::ZoneId("s"), south}});
}

std::shared_ptr<const Routing::RouteTable> table(std::uint64_t version,
                                                 std::vector<Base::RegionId> regions)
{
    Routing::RoutingConfiguration configuration;
    configuration.version = version;
    Routing::Route route;
    route.host = "a.example";
    route.prefix = "/x/";
    route.allowedRegions = std::move(regions);
    configuration.routes = {route};
    return Routing::RouteTable::create(configuration);
}

Routing::RegisteredServer serverIn(const char *zone)
{
    Routing::RegisteredServer server;
    server.zone = Base::ZoneId(zone);
    return server;
}

MemberState member(const std::string &host, const char *zone)
{
    MemberState it;
    it.host = Base::HostId(host);
    it.zone = Base::ZoneId(zone);
    it.callerAddress = host + ":8000";
    it.isServing = true;
    return it;
}

} // namespace

TEST_CASE("a request that waits is bound to the regions of the newest configuration", "[gateway]")
{
    // Guards against a request that was accepted before its route was bound to a region and is
    // sent or repeated elsewhere seconds later.
    const RequestResidency residency(zones());
    AcceptedRequest accepted;
    accepted.table = table(1, {});
    accepted.route = &accepted.table->configuration().routes.front();
    accepted.request.message.set("Host", "a.example");
    accepted.request.message.target("/x/y");
    CHECK(residency.allows(accepted, serverIn("n"), accepted.table));
    const auto bound = table(2, {south});
    CHECK_FALSE(residency.allows(accepted, serverIn("n"), bound));
    CHECK(residency.allows(accepted, serverIn("s"), bound));
    CHECK_FALSE(residency.allows(accepted, serverIn("elsewhere"), bound));
    Routing::RoutingConfiguration empty;
    empty.version = 3;
    CHECK(residency.allows(accepted, serverIn("n"), Routing::RouteTable::create(empty)));
}

TEST_CASE("regions in which no zone lies are found", "[gateway]")
{
    CHECK(unknownRegions(*table(1, {south, Base::RegionId("nowhere")}), zones())
          == std::vector{Base::RegionId("nowhere")});
    CHECK(unknownRegions(*table(1, {south, north}), zones()).empty());
}

TEST_CASE("callers are told hosts of their own region, or else of an allowed one", "[gateway]")
{
    // Guards against callers that are sent to hosts in another region although their own has some.
    EntryHostSelector selector(zones());
    std::vector<MemberState> others{member("s1", "s"), member("s2", "s")};
    const MemberState self = member("n1", "n");
    selector.update(others, self, start);
    const Routing::Residency any;
    CHECK(selector.addresses(north, any) == std::vector<std::string>{"n1:8000"});
    CHECK(selector.addresses(south, any).size() == 2);
    CHECK(selector.addresses(Base::RegionId(), any).size() == 3);
    MemberState leaving = self;
    leaving.isServing = false;
    leaving.isLeaving = true;
    others.push_back(member("w1", "elsewhere"));
    selector.update(others, leaving, start + seconds(1));
    CHECK(selector.addresses(north, Routing::Residency::of({south})).size() == 2);
    CHECK(selector.addresses(north, any).size() == 3);
}

TEST_CASE("reports to other regions stay within their limit", "[gateway]")
{
    // Guards against leaders whose reports fill the link between two regions.
    rc::prop("the bytes of ten seconds are within the limit, but for one report", [] {
        const auto limit = *rc::gen::inRange<std::size_t>(10'000, 1'000'000);
        const auto senders = *rc::gen::inRange<std::size_t>(1, 6);
        const std::size_t share = limit / senders;
        const auto bytes = *rc::gen::inRange<std::size_t>(1, share / 2 + 2);
        RegionLinkBudget budget;
        budget.setLimit(limit, senders);
        std::size_t sent = 0;
        Base::TimePoint lastAt = start;
        for (int i = 0; i < 50; ++i) {
            const Base::TimePoint now = start + i * milliseconds(200);
            if (!budget.isDue(now))
                continue;
            RC_ASSERT(now - lastAt <= RegionLinkBudget::maxSilence);
            lastAt = now;
            budget.recordSent(bytes, now);
            sent += bytes;
        }
        RC_ASSERT(sent <= 10 * share + share + bytes);
    });
}
