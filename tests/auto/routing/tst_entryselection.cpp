#include "routing/entryselection.h"
#include "routing/forwardingmeter.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <map>
#include <set>

using namespace Routing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Base::TimePoint start{seconds(1000)};

EntryHost host(const std::string &name, const std::string &zone, MilliCores capacity,
               MilliCores load = 0)
{
    return {Base::HostId(name), Base::ZoneId(zone), name + ":8000", capacity, load};
}

/// Returns four zones with two strong hosts and \a weak weak hosts each. Together they forward
/// \a load.
std::vector<EntryHost> mixedFleet(int weak, MilliCores load)
{
    std::vector<EntryHost> hosts;
    for (int zone = 0; zone < 4; ++zone) {
        const std::string name = std::to_string(zone);
        for (int i = 0; i < weak; ++i)
            hosts.push_back(host("a" + name + std::to_string(i), name, 120));
        for (int i = 0; i < 2; ++i)
            hosts.push_back(host("b" + name + std::to_string(i), name, 500, load / 8));
    }
    return hosts;
}

std::set<Base::HostId> namesOf(const EntrySelection &selection)
{
    std::set<Base::HostId> names;
    for (const EntryHost &it : selection.chosen())
        names.insert(it.host);
    return names;
}

} // namespace

TEST_CASE("only the strong hosts of a large fleet are listed while they suffice", "[routing]")
{
    // Guards against listing all 66 hosts, most of which are weak. The weak ones fall behind in
    // bursts and each opens connections that it uses once, so answers are late although half of the
    // fleet's processor time is unused.
    EntrySelection selection;
    selection.update(mixedFleet(14, 1000), start);
    REQUIRE(selection.chosen().size() == 8);
    for (const EntryHost &it : selection.chosen())
        CHECK(it.capacity == 500);
}

TEST_CASE("more hosts are listed when the load grows, and fewer some time after it fell",
          "[routing]")
{
    EntrySelection selection;
    selection.update(mixedFleet(14, 1000), start);
    selection.update(mixedFleet(14, 1800), start + milliseconds(200));
    const std::size_t many = selection.chosen().size();
    CHECK(many > 8);
    selection.update(mixedFleet(14, 1000), start + milliseconds(400));
    CHECK(selection.chosen().size() + 2 >= many);
    selection.update(mixedFleet(14, 1000), start + seconds(20));
    CHECK(selection.chosen().size() == 8);
}

TEST_CASE("weak hosts are listed at once when strong ones are lost", "[routing]")
{
    EntrySelection selection;
    selection.update(mixedFleet(14, 1000), start);
    std::vector<EntryHost> left;
    for (const EntryHost &it : mixedFleet(14, 1000)) {
        if (it.capacity < 500 || it.zone == Base::ZoneId("0"))
            left.push_back(it);
    }
    selection.update(left, start + seconds(1));
    double capacity = 0;
    std::map<Base::ZoneId, int> zones;
    for (const EntryHost &it : selection.chosen()) {
        capacity += it.capacity;
        ++zones[it.zone];
    }
    CHECK(capacity >= 3000);
    CHECK(zones.size() == 4);
}

TEST_CASE("in any fleet each zone has entry hosts, and a small fleet is listed completely",
          "[routing]")
{
    rc::prop("no host is listed twice, all zones and the required capacity are covered", [] {
        const int zones = *rc::gen::inRange(1, 6);
        const int count = *rc::gen::inRange(1, 40);
        std::vector<EntryHost> hosts;
        std::set<Base::ZoneId> used;
        double load = 0;
        for (int i = 0; i < count; ++i) {
            const std::string zone = std::to_string(*rc::gen::inRange(0, zones));
            const auto capacity = *rc::gen::inRange<MilliCores>(50, 1000);
            const auto own = *rc::gen::inRange<MilliCores>(0, 400);
            hosts.push_back(host("h" + std::to_string(i), zone, capacity, own));
            used.insert(Base::ZoneId(zone));
            load += own;
        }
        EntrySelection selection;
        selection.update(hosts, start);
        std::set<Base::ZoneId> listed;
        double capacity = 0;
        for (const EntryHost &it : selection.chosen()) {
            listed.insert(it.zone);
            capacity += it.capacity;
        }
        RC_ASSERT(namesOf(selection).size() == selection.chosen().size());
        RC_ASSERT(listed == used);
        if (hosts.size() <= 8)
            RC_ASSERT(selection.chosen().size() == hosts.size());
        RC_ASSERT(selection.chosen().size() == hosts.size() || capacity >= 3 * load);
        RC_ASSERT(selection.isChosen(selection.chosen().front().host));
        RC_ASSERT(!selection.isChosen(Base::HostId("none")));
    });
}

TEST_CASE("the forwarding load is a rate that decays", "[routing]")
{
    ForwardingMeter meter;
    CHECK(meter.load(start) == 0);
    Base::TimePoint now = start;
    for (int i = 0; i < 1000; ++i) {
        now += milliseconds(10);
        meter.addRequest(now);
        meter.addEvents(10, now);
    }
    // A hundred requests and a thousand events per second take 12.5 + 40 ms.
    CHECK(meter.load(now) >= 50);
    CHECK(meter.load(now) <= 55);
    CHECK(meter.load(now + seconds(30)) == 0);
}
