#include "gateway/fleetview.h"
#include "gateway/hostreport.h"
#include "gateway/storecopy.h"

#include <catch2/catch.hpp>

#include <nlohmann/json.hpp>

using namespace Gateway;
using Base::Milliseconds;

namespace {

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

