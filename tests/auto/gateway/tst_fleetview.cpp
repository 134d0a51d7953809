#include "gateway/fleetview.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace Gateway;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Base::TimePoint start{seconds(1000)};

HostReport report(const std::string &host, std::uint64_t sequence)
{
    HostReport it;
    it.host = Base::HostId(host);
    it.incarnation = 5;
    it.sequence = sequence;
    it.peerAddress = host + ":7000";
    it.callerAddress = host + ":8000";
    it.isServing = true;
    it.load.servers[Base::ServerId("s")] = {3, 700};
    it.load.asked[Base::CustomerId("c")] = 90;
    it.load.received[Base::CustomerId("c")] = 40;
    it.load.partUses = {{Base::ServerId("s"), 0xffffffffffffffffULL, 12}};
    return it;
}

} // namespace

TEST_CASE("a report comes out as it went in, and no bytes do harm", "[gateway]")
{
    const HostReport before = report("a", 1);
    const auto after = decodeReport(encodeReport(before));
    REQUIRE(after);
    CHECK(*after == before);
    rc::prop("any bytes", [](const std::string &bytes) { (void)decodeReport(bytes); });
    rc::prop("a report with one byte changed", [&] {
        std::string bytes = encodeReport(before);
        bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] = *rc::gen::arbitrary<char>();
        (void)decodeReport(bytes);
    });
}

TEST_CASE("a host that is silent is not named to callers and its load does not count", "[gateway]")
{
    FleetView view{Base::HostId("self")};
    view.receive(report("a", 1), start);
    view.receive(report("b", 1), start + seconds(1));
    view.sumUp(start + seconds(1));
    CHECK(view.servingAddresses(start + seconds(1)).size() == 2);
    CHECK(view.others().servers.at(Base::ServerId("s")).running == 6);
    CHECK(view.others().hosts == 3);
    const Base::TimePoint later = start + milliseconds(1500);
    view.sumUp(later);
    CHECK(view.servingAddresses(later) == std::vector<std::string>{"b:8000"});
    CHECK(view.others().servers.at(Base::ServerId("s")).running == 3);
    CHECK(view.others().received.at(Base::CustomerId("c")) == 40);
    // Both ends of a cut link keep trying for a while.
    CHECK(view.receivers().size() == 2);
    view.advance(start + seconds(30));
    CHECK(view.receivers().empty());
}

TEST_CASE("hosts that leave or cannot serve are not named while others can", "[gateway]")
{
    FleetView view{Base::HostId("self")};
    HostReport leaving = report("a", 1);
    leaving.isLeaving = true;
    HostReport blind = report("b", 1);
    blind.isServing = false;
    view.receive(leaving, start);
    view.receive(blind, start);
    CHECK(view.servingAddresses(start) == std::vector<std::string>{"b:8000"});
    view.receive(report("c", 1), start);
    CHECK(view.servingAddresses(start) == std::vector<std::string>{"c:8000"});
}

TEST_CASE("a late report of an older start or sequence changes nothing", "[gateway]")
{
    FleetView view{Base::HostId("self")};
    view.receive(report("a", 7), start);
    HostReport old = report("a", 6);
    old.isLeaving = true;
    view.receive(old, start);
    CHECK(view.servingAddresses(start).size() == 1);
    HostReport restarted = report("a", 1);
    restarted.incarnation = 6;
    restarted.isLeaving = true;
    view.receive(restarted, start);
    CHECK(view.servingAddresses(start).empty());
    // Its own report, sent back by a wrong address, is no other host.
    view.receive(report("self", 1), start);
    CHECK(view.liveHosts(start) == 2);
}
