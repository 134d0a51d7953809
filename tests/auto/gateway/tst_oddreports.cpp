#include "gateway/fleetview.h"
#include "gateway/hostreport.h"
#include "gateway/storecopy.h"

#include <catch2/catch.hpp>

#include <nlohmann/json.hpp>

using namespace Gateway;
using Base::Milliseconds;

namespace {

/// The longest age that a report states.
constexpr Milliseconds maxAge{INT32_MAX};

HostReport soundReport()
{
    HostReport report;
    report.incarnation = 7;
    report.sequence = 1;
    report.self.host = Base::HostId("a");
    report.self.zone = Base::ZoneId("z");
    report.self.peerAddress = "10.1.0.1:7400";
    return report;
}

Routing::ServerChange foundServer()
{
    Routing::ServerChange change;
    change.server.id = Base::ServerId("t@9");
    change.server.start = {"t", Milliseconds(9)};
    change.server.service = "pool";
    change.server.address = "10.2.0.1:80";
    change.server.zone = Base::ZoneId("z");
    change.server.softwareVersion = "v1";
    change.server.slots = 64;
    return change;
}

} // namespace

// Guards against an uncaught exception where a text of the report is written as JSON.
TEST_CASE("a report with a text that is not UTF-8 is malformed", "[gateway][odd]")
{
    HostReport report = soundReport();
    CHECK(decodeReport(encodeReport(report)));
    report.members.emplace_back();
    report.members.back().host = Base::HostId("\xFF");
    CHECK_FALSE(decodeReport(encodeReport(report)));
    report = soundReport();
    report.self.callerAddress = "\xC0\x80";
    CHECK_FALSE(decodeReport(encodeReport(report)));
}

// Guards against servers that another host passes on though no entry may name them.
TEST_CASE("a found server with odd values is left out of a report", "[gateway][odd]")
{
    using Spoil = void (*)(Routing::RegisteredServer &);
    for (const Spoil spoil : std::vector<Spoil>{
             [](auto &it) { it.address = "255.255.255.255:80"; },
             [](auto &it) { it.address = "10.0.0.1:0"; },
             [](auto &it) { it.service.clear(); },
             [](auto &it) { it.softwareVersion = std::string(200'000, 'v'); },
             [](auto &it) { it.id = Base::ServerId("other"); },
             [](auto &it) { it.slots = 0; },
         }) {
        HostReport report = soundReport();
        report.store.serverChanges = {foundServer(), foundServer()};
        spoil(report.store.serverChanges[0].server);
        const auto read = decodeReport(encodeReport(report));
        REQUIRE(read);
        CHECK(read->store.serverChanges == std::vector{foundServer()});
    }
}

// Guards against reports that grow with names that no row or datagram has room for.
TEST_CASE("versions with odd names are left out of a report", "[gateway][odd]")
{
    const Routing::ServiceVersion odd{"pool", std::string(200'000, 'v')};
    const Routing::ServiceVersion sound{"pool", "v1"};
    HostReport report = soundReport();
    report.store.versions = {{odd, Milliseconds(1)}, {sound, Milliseconds(1)}};
    report.streams = {{odd, {7}}, {sound, {8}}};
    report.store.rollouts = {{odd.service, odd.softwareVersion, Milliseconds(1), 1}};
    report.rollouts.resize(1);
    report.rollouts[0].state.order = report.store.rollouts[0];
    const auto read = decodeReport(encodeReport(report));
    REQUIRE(read);
    CHECK(read->store.versions->size() == 1);
    CHECK(read->streams.size() == 1);
    CHECK(read->store.rollouts.empty());
    CHECK(read->rollouts.empty());
}

// Guards against an old proof that passes for a new one because its age wraps around.
TEST_CASE("an age beyond the range is the longest one", "[gateway][odd]")
{
    HostReport report = soundReport();
    report.store.proofAge = maxAge + Milliseconds(1);
    report.store.versions = {{{"pool", "v1"}, maxAge + Milliseconds(1)}};
    const auto read = decodeReport(encodeReport(report));
    REQUIRE(read);
    CHECK(read->store.proofAge == maxAge);
    CHECK(read->store.versions->front().age == maxAge);
    const auto copy = decodeCopy(encodeCopy({maxAge + Milliseconds(1), "text"}));
    REQUIRE(copy);
    CHECK(copy->proofAge == maxAge);
}

// Guards against sums of reported amounts that no report can hold.
TEST_CASE("sums of the largest amounts can be reported again", "[gateway][odd]")
{
    HostReport report = soundReport();
    report.load.asked[Base::CustomerId("c")] = 1e18;
    report.load.askedSeconds = 1e15;
    report.load.serviceUses["pool"] = {1e16, 1e16};
    FleetView view(Base::HostId("self"), Base::ZoneId("z"));
    for (int i = 0; i < 40; ++i) {
        report.self.host = Base::HostId("h" + std::to_string(i));
        const auto read = decodeReport(encodeReport(report));
        REQUIRE(read);
        view.receive(*read, Base::TimePoint(std::chrono::seconds(1)));
    }
    view.updateTotals(Base::TimePoint(std::chrono::seconds(1)));
    CHECK(view.others().asked.at(Base::CustomerId("c")) < 1e18);
    CHECK(view.others().serviceUses.at("pool").arrivals < 1e16);
}
