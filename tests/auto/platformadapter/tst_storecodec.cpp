#include "platform/configurationtext.h"
#include "platform/rowtext.h"
#include "platform/servertext.h"
#include "platform/storecodec.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace Platform;

namespace {

enum class Found { Good, Refused, HistoryGone, Malformed, Other };

template <typename Read>
Found outcomeOf(Read read)
{
    return boost::leaf::try_handle_all(
        [&]() -> Base::Result<Found> {
            BOOST_LEAF_CHECK(read());
            return Found::Good;
        },
        [](const Gateway::StoreRefused &) { return Found::Refused; },
        [](const Gateway::StoreHistoryGone &) { return Found::HistoryGone; },
        [](const Gateway::MalformedStoreAnswer &) { return Found::Malformed; },
        [] { return Found::Other; });
}

std::string rowsBody(const std::string &key, const std::string &value)
{
    return Json{{"rows", Json::array({{{"key", key}, {"value", encodeBase64(value)}, {"ver", 3}}})},
                {"hasMore", false},
                {"ver", 9},
                {"nowMs", 51230}}
        .dump();
}

const std::string configurationExample = R"({"version":7,"routeTable":[
    {"name":"r-1","host":"ficu95.example","prefix":"/lohu930/","routeKind":"streaming",
     "timeoutMs":8000,"targetLatencyMs":800,"priority":1,
     "weightedServices":[{"service":"pool","weight":90},{"service":"other","weight":10}],
     "maxAttempts":2,"anonymous":false,"sessionAffinity":true,"streamResume":true,
     "gapTargetMs":500},
    {"name":"r-2","host":"ficu95.example","prefix":"/puxa403/","routeKind":"unsafe",
     "timeoutMs":800,"service":"app","maxAttempts":1,"anonymous":true}],
    "services":[{"name":"pool","maxConnections":360,
     "engine":{"slots":64,"kvCapacity":542627}},{"name":"app","maxConnections":96}],
    "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,
     "idleTimeoutMs":15000,"tokensPerS":660000},
    "tenants":[{"name":"hule930","apiKeys":["k1","k2"],"priority":1}]})";

} // namespace

TEST_CASE("the operator's configuration becomes routes, services and customers", "[platform]")
{
    const auto read = readConfiguration(configurationExample);
    REQUIRE(read);
    CHECK(read->version == 7);
    REQUIRE(read->routes.size() == 2);
    const Routing::Route &stream = read->routes[0];
    CHECK(stream.kind == Routing::WorkKind::ResumableStream);
    CHECK(stream.timeout == Base::Milliseconds(8000));
    CHECK(stream.startTarget == Base::Milliseconds(800));
    CHECK(stream.longestPause == Base::Milliseconds(500));
    CHECK(stream.services == std::vector<Routing::WeightedService>{{"pool", 90}, {"other", 10}});
    CHECK(stream.maxAttempts == 2);
    CHECK(read->routes[1].kind == Routing::WorkKind::NotIdempotent);
    CHECK(read->routes[1].isAnonymous);
    CHECK(read->services[0].engine->memoryTokens == 542627);
    CHECK_FALSE(read->services[1].engine);
    CHECK(read->customers[0].keys == std::vector<std::string>{"k1", "k2"});
    CHECK(read->limits.tokensPerSecond == 660000);
}

TEST_CASE("a kind of route that is not known allows least", "[platform]")
{
    std::string text = configurationExample;
    text.replace(text.find("\"unsafe\""), 8, "\"novel\"");
    CHECK(readConfiguration(text)->routes[1].kind == Routing::WorkKind::NotIdempotent);
}

TEST_CASE("a configuration that cannot be read is no configuration", "[platform]")
{
    // A route that was left out would be answered with 404 although it is in force.
    std::string text = configurationExample;
    text.replace(text.find("\"prefix\":\"/puxa403/\""), 20, "\"prefix\":7          ");
    CHECK(outcomeOf([&] { return readConfiguration(text); }) == Found::Malformed);
    for (const std::string bad : {"", "[]", "{}", "{\"version\":0}", "{\"version\":\"7\"}"})
        CHECK(outcomeOf([&] { return readConfiguration(bad); }) == Found::Malformed);
}

TEST_CASE("a server's entry: anything but ready is leaving", "[platform]")
{
    const std::string text = R"({"service":"pool","address":"10.128.0.9:8080","zone":"z",
        "version":"v1","slots":64,"state":"ready","coldRemainingMs":250.0,"sequence":4})";
    const auto server = readServer("i-1", text);
    REQUIRE(server);
    CHECK(server->id.value() == "i-1");
    CHECK(server->slots == 64);
    CHECK(server->warmingUp == Base::Milliseconds(250));
    CHECK_FALSE(server->isLeaving);
    std::string draining = text;
    draining.replace(draining.find("\"ready\""), 7, "\"draining\"");
    CHECK(readServer("i-1", draining)->isLeaving);
    CHECK(outcomeOf([&] { return readServer("i-1", "{}"); }) == Found::Malformed);
}

TEST_CASE("the store's answers become readings or typed failures", "[platform]")
{
    const StoreCodec codec;
    const auto reading = codec.configuration({200, rowsBody("config", configurationExample)});
    REQUIRE(reading);
    CHECK(reading->storeVersion == 9);
    CHECK(reading->configuration->version == 7);
    CHECK_FALSE(codec.configuration({200, rowsBody("other", "x")})->configuration);
    const auto configuration = [&](unsigned status, const std::string &body) {
        return outcomeOf([&] { return codec.configuration({status, body}); });
    };
    CHECK(configuration(410, "") == Found::HistoryGone);
    CHECK(configuration(429, "") == Found::Refused);
    CHECK(configuration(503, "") == Found::Refused);
    CHECK(configuration(200, "{\"rows\":7,\"ver\":1}") == Found::Malformed);
    CHECK(configuration(200, rowsBody("config", "{}")) == Found::Malformed);
    // A store that holds nothing yet is no failure.
    CHECK(configuration(200, R"({"rows":[],"hasMore":false,"ver":0,"nowMs":3})") == Found::Good);
}

TEST_CASE("servers are read page by page", "[platform]")
{
    const StoreCodec codec;
    Json body = Json::parse(
        rowsBody("i-1", R"({"service":"pool","address":"10.1.0.9:80","slots":4,"state":"ready"})"));
    CHECK(codec.servers({200, body.dump()})->continueFrom.empty());
    body["hasMore"] = true;
    const auto page = codec.servers({200, body.dump()});
    REQUIRE(page);
    CHECK(codec.readServers(page->continueFrom).target
          == "/-/rows-get?table=servers&part=&from=i-1%00");
}

TEST_CASE("rows of hosts are known by the store's own clock", "[platform]")
{
    const StoreCodec codec;
    const Gateway::StoreCall write = codec.writeHost(
        {Base::HostId("edge-1"), Base::ZoneId("z"), "10.1.0.1:7400"}, Base::Milliseconds(50000));
    const Json sent = Json::parse(write.body);
    CHECK(write.target == "/-/rows-tx");
    Json row = sent["puts"][0];
    CHECK(row["key"] == "edge-1");
    const std::string body =
        Json{{"rows", Json::array({row})}, {"ver", 9}, {"nowMs", 51230}}.dump();
    const auto fresh = codec.hosts({200, body}, Base::Milliseconds(2000));
    REQUIRE(fresh->hosts.size() == 1);
    CHECK(fresh->hosts[0].peerAddress == "10.1.0.1:7400");
    CHECK(fresh->hosts[0].zone.value() == "z");
    CHECK(fresh->storeTime == Base::Milliseconds(51230));
    CHECK(codec.hosts({200, body}, Base::Milliseconds(1000))->hosts.empty());
    const Json removal = Json::parse(codec.removeHost(Base::HostId("edge-1")).body);
    CHECK(removal["remove"][0]["key"] == "edge-1");
}

TEST_CASE("any bytes from the store give a typed result", "[platform]")
{
    const StoreCodec codec;
    rc::prop("any body", [&](const std::string &body) {
        RC_ASSERT(outcomeOf([&] { return codec.configuration({200, body}); }) != Found::Other);
        RC_ASSERT(outcomeOf([&] { return codec.servers({200, body}); }) != Found::Other);
        RC_ASSERT(outcomeOf([&] {
                      return codec.hosts({200, body}, Base::Milliseconds(1));
                  })
                  != Found::Other);
    });
    rc::prop("a good value with some bytes changed", [&] {
        std::string value = configurationExample;
        const int changes = *rc::gen::inRange(1, 4);
        for (int i = 0; i < changes; ++i)
            value[*rc::gen::inRange<std::size_t>(0, value.size())] = *rc::gen::arbitrary<char>();
        const std::string body = rowsBody("config", value);
        RC_ASSERT(outcomeOf([&] { return codec.configuration({200, body}); }) != Found::Other);
        RC_ASSERT(outcomeOf([&] { return readServer("i", value); }) != Found::Other);
    });
}
