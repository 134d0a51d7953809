#include "gateway/entryhostselector.h"

#include <catch2/catch.hpp>

using namespace Gateway;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Base::TimePoint start{seconds(1000)};

MemberState member(const std::string &host, Routing::MilliCores capacity, Routing::MilliCores load)
{
    MemberState it;
    it.host = Base::HostId(host);
    it.zone = Base::ZoneId("z");
    it.callerAddress = host + ":8000";
    it.isServing = true;
    it.capacity = capacity;
    it.load = load;
    return it;
}

/// Returns ten strong hosts with \a load each.
std::vector<MemberState> strongHosts(Routing::MilliCores load)
{
    std::vector<MemberState> hosts;
    for (int i = 0; i < 10; ++i)
        hosts.push_back(member("strong-" + std::to_string(i), 500, load));
    return hosts;
}

} // namespace

TEST_CASE("a host that is not named gets connections in proportion to its traffic", "[gateway]")
{
    // Guards against a small host that is not named to callers and may open only four connections
    // to each server. A customer whose callers stay with that host would get 503 although servers
    // have room.
    EntryHostSelector selector{Routing::ZoneRegions()};
    Base::TimePoint now = start;
    for (int i = 0; i < 4000; ++i) {
        now += milliseconds(2);
        selector.addEvents(5, now);
    }
    // The load is about 100 ms of processor time a second, as much as that of each other host.
    const MemberState self = member("weak", 120, selector.load(now));
    CHECK(self.load >= 95);
    CHECK(self.load <= 105);
    selector.update(strongHosts(100), self, now);
    CHECK(selector.addresses(Base::RegionId(), Routing::Residency()).size() >= 8);
    const double share = selector.trafficShare(self.host, now);
    CHECK(share > 0.03);
    CHECK(share < 0.06);
}

TEST_CASE("without traffic the named hosts share the connections equally", "[gateway]")
{
    EntryHostSelector selector{Routing::ZoneRegions()};
    const MemberState self = member("strong-9", 500, 0);
    std::vector<MemberState> others = strongHosts(0);
    others.pop_back();
    others.resize(3);
    selector.update(others, self, start);
    CHECK(selector.addresses(Base::RegionId(), Routing::Residency()).size() == 4);
    CHECK(selector.trafficShare(self.host, start) == Approx(0.25));
    CHECK(selector.trafficShare(Base::HostId("other"), start) == 0);
}

TEST_CASE("a host that cannot serve names itself only if there is no other host", "[gateway]")
{
    EntryHostSelector selector{Routing::ZoneRegions()};
    MemberState self = member("self", 500, 0);
    self.isServing = false;
    selector.update({}, self, start);
    CHECK(selector.addresses(Base::RegionId(), Routing::Residency())
          == std::vector<std::string>{"self:8000"});
    selector.update(strongHosts(0), self, start);
    for (const std::string &address : selector.addresses(Base::RegionId(), Routing::Residency()))
        CHECK(address != "self:8000");
    self.isLeaving = true;
    selector.update({}, self, start);
    CHECK(selector.addresses(Base::RegionId(), Routing::Residency()).empty());
}
