#include "gateway/hostload.h"

#include <catch2/catch.hpp>

using namespace Gateway;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("a host's load is logged once a second with the customers rejected most", "[gateway]")
{
    // Guards against a host that is overloaded for seconds while its log does not say whose streams
    // it rejects.
    const Base::TimePoint start{seconds(100)};
    HostLoadCounter counts;
    LoadSample sample;
    CHECK_FALSE(counts.line(sample, start));
    for (int i = 0; i < 10; ++i) {
        for (int j = 0; j <= i; ++j)
            counts.addShedStream(Base::CustomerId("c" + std::to_string(i)));
    }
    counts.addRequest();
    counts.addRefusal();
    counts.addEvents(12);
    counts.addBusy(start, start + milliseconds(700));
    sample.processorTime = milliseconds(60);
    sample.costFactor = 1.5;
    sample.slowestPace = 2.5;
    sample.shareLevel = 2000;
    sample.unmetLevel = 500;
    sample.unmetCustomer = Base::CustomerId("c3");
    sample.largestCustomer =
        Routing::CustomerSample{Base::CustomerId("c9"), 900, 400, 300, 0.5, 250};
    CHECK_FALSE(counts.line(sample, start + milliseconds(900)));
    const auto line = counts.line(sample, start + seconds(1));
    REQUIRE(line);
    CHECK(line->text().ends_with(
        "\"event\":\"host.load\",\"busyMs\":700,\"processorMs\":60,\"costFactor\":1.500,"
        "\"slowestPace\":2.500,"
        "\"requests\":1,\"refusals\":1,\"events\":12,\"passedOver\":\"c9:10 c8:9 c7:8\","
        "\"shareLevel\":2000.000,\"unmetLevel\":500.000,\"unmetCustomer\":\"c3\","
        "\"customer\":\"c9\",\"asked\":900.000,\"received\":400.000,\"begun\":300.000,\"ownPart\":"
        "0.500,\"rate\":250.000}\n"));
    // No further work was counted.
    CHECK_FALSE(counts.line(sample, start + seconds(2)));
    counts.addEvents(1);
    const auto next = counts.line(sample, start + seconds(3));
    REQUIRE(next);
    CHECK(next->text().find("\"busyMs\":0,\"processorMs\":0") != std::string::npos);
    CHECK(next->text().find("passedOver") == std::string::npos);
}
