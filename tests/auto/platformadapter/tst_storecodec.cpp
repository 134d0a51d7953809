#include "base/text.h"
#include "platform/configurationtext.h"
#include "platform/rollouttext.h"
#include "platform/rowtext.h"
#include "platform/servertext.h"
#include "platform/storecodec.h"
#include "platform/streamtext.h"
#include "platform/versiontext.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <limits>

using namespace Platform;

namespace {

enum class Outcome { Good, Refused, HistoryGone, Malformed, Other };

template <typename Read>
Outcome outcomeOf(Read read)
{
    return boost::leaf::try_handle_all(
        [&]() -> Base::Result<Outcome> {
            BOOST_LEAF_CHECK(read());
            return Outcome::Good;
        },
        [](const Gateway::StoreRefused &) { return Outcome::Refused; },
        [](const Gateway::StoreHistoryGone &) { return Outcome::HistoryGone; },
        [](const Gateway::MalformedStoreAnswer &) { return Outcome::Malformed; },
        [] { return Outcome::Other; });
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

const std::string serverExample = R"({"service":"pool","address":"10.128.0.9:8080","zone":"z",
    "version":"v1","slots":64,"state":"ready","coldRemainingMs":250.0,"sequence":4,
    "born":1764700000123})";

std::string rowsBody(const std::vector<std::pair<std::string, std::string>> &entries)
{
    Json rows = Json::array();
    for (const auto &[key, value] : entries)
        rows.push_back({{"key", key}, {"value", encodeBase64(value)}, {"ver", 3}});
    return Json{{"rows", rows}, {"hasMore", false}, {"ver", 9}, {"nowMs", 51230}}.dump();
}

/// Returns serverExample with \a field set to \a value.
std::string serverWith(const std::string &field, const Json &value)
{
    Json json = Json::parse(serverExample);
    json[field] = value;
    return json.dump();
}

} // namespace

TEST_CASE("the operator's configuration is parsed into routes, services and customers",
          "[platform]")
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

TEST_CASE("an unknown kind of route is treated as the most restrictive one", "[platform]")
{
    std::string text = configurationExample;
    text.replace(text.find("\"unsafe\""), 8, "\"novel\"");
    CHECK(readConfiguration(text)->routes[1].kind == Routing::WorkKind::NotIdempotent);
}

TEST_CASE("a malformed configuration is rejected as a whole", "[platform]")
{
    // If only the malformed route were left out, its requests would get 404 although it is in
    // force.
    std::string text = configurationExample;
    text.replace(text.find("\"prefix\":\"/puxa403/\""), 20, "\"prefix\":7          ");
    CHECK(outcomeOf([&] { return readConfiguration(text); }) == Outcome::Malformed);
    for (const std::string bad : {"", "[]", "{}", "{\"version\":0}", "{\"version\":\"7\"}"})
        CHECK(outcomeOf([&] { return readConfiguration(bad); }) == Outcome::Malformed);
}

TEST_CASE("the entry of a server identifies one start of it", "[platform]")
{
    const auto server = readServer("i-1", serverExample);
    REQUIRE(server);
    CHECK(server->start == Routing::ServerStart{"i-1", Base::Milliseconds(1764700000123)});
    CHECK(server->id == idOf(server->start));
    CHECK(server->slots == 64);
    CHECK(server->softwareVersion == "v1");
    CHECK(server->warmingUp == Base::Milliseconds(250));
    CHECK_FALSE(server->isLeaving);
    CHECK(readServer("i-1", serverWith("state", "draining"))->isLeaving);
    const auto again = readServer("i-1", serverWith("born", 1764700000124));
    CHECK(again->start.name == "i-1");
    CHECK(again->id != server->id);
}

TEST_CASE("an entry with values that no server writes is malformed", "[platform]")
{
    // Guards against defaults for missing or unknown values in an entry that another program wrote:
    // requests would fail at an address where nothing listens, or a running server would be
    // excluded permanently.
    const auto isMalformed = [](const std::string &text) {
        return outcomeOf([&] { return readServer("i-1", text); }) == Outcome::Malformed;
    };
    const Json example = Json::parse(serverExample);
    for (const auto &[name, value] : example.items()) {
        INFO(name);
        Json without = example;
        without.erase(name);
        // Servers that never restart under the same id do not state when they started.
        CHECK(isMalformed(without.dump()) == (name != "born"));
        CHECK(isMalformed(serverWith(name, nullptr)) == (name != "born"));
        CHECK(isMalformed(serverWith(name, Json::array())));
        CHECK(isMalformed(serverWith(name, value.is_string() ? Json(7) : Json("7"))));
    }
    CHECK(isMalformed(serverWith("state", "novel")));
    CHECK(isMalformed(serverWith("slots", 0)));
    CHECK(isMalformed(serverWith("slots", 4'000'000'000)));
    CHECK(isMalformed(serverWith("slots", -1)));
    CHECK(isMalformed(serverWith("coldRemainingMs", 1e12)));
    CHECK(isMalformed(serverWith("born", 1764700000123.5)));
    CHECK(isMalformed(serverWith("born", 1764700000123000000)));
    CHECK(isMalformed(serverWith("address", "nowhere")));
    CHECK(isMalformed(serverWith("service", "")));
    CHECK(isMalformed("{}"));
}

TEST_CASE("a malformed entry does not hide the others", "[platform]")
{
    // Guards against a reading that fails as a whole because of one malformed entry: no host would
    // learn of changes of servers while such an entry by another program is in the store.
    const StoreCodec codec;
    rc::prop("arbitrary bytes in one entry beside good ones", [&](const std::string &bytes) {
        const auto reading = codec.servers(
            {200, rowsBody({{"i-1", serverExample}, {"i-2", bytes}, {"i-3", serverExample}})});
        RC_ASSERT(reading);
        RC_ASSERT(reading->servers.size() == 2);
        RC_ASSERT(reading->unreadable == std::set<std::string>{"i-2"});
    });
    rc::prop("a malformed row beside good ones", [&] {
        const std::vector<Json> odd = {Json(7), Json::object(), Json{{"key", 7}},
                                       Json{{"key", "k"}, {"value", 3}},
                                       Json{{"key", "k"}, {"value", "%"}}};
        Json body = Json::parse(rowsBody({{"i-1", serverExample}, {"i-3", serverExample}}));
        Json rows = Json::array();
        const std::size_t at = *rc::gen::inRange<std::size_t>(0, 2);
        for (std::size_t i = 0; i < body["rows"].size(); ++i) {
            if (i == at)
                rows.push_back(odd[*rc::gen::inRange<std::size_t>(0, odd.size())]);
            rows.push_back(body["rows"][i]);
        }
        body["rows"] = rows;
        const auto reading = codec.servers({200, body.dump()});
        RC_ASSERT(reading);
        RC_ASSERT(reading->servers.size() == 2);
        RC_ASSERT(reading->unreadable.size() == 1);
    });
    rc::prop("arbitrary bytes in one host's row beside a good one", [&](const std::string &bytes) {
        const std::string good =
            R"({"peerAddress":"10.1.0.1:7400","zone":"z","storeTimeMs":51000})";
        const auto reading = codec.hosts({200, rowsBody({{"edge-1", good}, {"edge-2", bytes}})},
                                         Base::Milliseconds(2000));
        RC_ASSERT(reading);
        RC_ASSERT(reading->hosts.size() == 1);
    });
}

TEST_CASE("the store's answers are decoded into readings or typed errors", "[platform]")
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
    CHECK(configuration(410, "") == Outcome::HistoryGone);
    CHECK(configuration(429, "") == Outcome::Refused);
    CHECK(configuration(503, "") == Outcome::Refused);
    CHECK(configuration(200, "{\"rows\":7,\"ver\":1}") == Outcome::Malformed);
    CHECK(configuration(200, rowsBody("config", "{}")) == Outcome::Malformed);
    // An empty store is no failure.
    CHECK(configuration(200, R"({"rows":[],"hasMore":false,"ver":0,"nowMs":3})") == Outcome::Good);
}

TEST_CASE("evacuated zones are read beside the configuration", "[platform]")
{
    const StoreCodec codec;
    const auto read = codec.configuration({200, rowsBody({{"config", configurationExample},
                                                          {"evacuate/east", "{}"},
                                                          {"evacuate/north", "not JSON"},
                                                          {"evacuate/", "{}"},
                                                          {"novel/east", "{}"}})});
    REQUIRE(read);
    CHECK(read->configuration);
    CHECK(read->hasChanges);
    CHECK(read->evacuations
          == std::vector<Routing::EvacuationChange>{{Base::ZoneId("east"), true},
                                                    {Base::ZoneId("north"), true}});
    CHECK(read->unreadable == std::vector<std::string>{"evacuate/"});
}

TEST_CASE("an evacuation that is taken back is a removed row of a watch", "[platform]")
{
    const StoreCodec codec;
    const Json row{{"key", "evacuate/east"}, {"removed", true}, {"ver", 8}};
    const Json answer{{"rows", Json::array({row})}, {"ver", 9}, {"nowMs", 1}};
    const auto read = codec.configuration({200, answer.dump()});
    REQUIRE(read);
    CHECK_FALSE(read->configuration);
    CHECK(read->evacuations
          == std::vector<Routing::EvacuationChange>{{Base::ZoneId("east"), false}});
}

TEST_CASE("the warm-up of a service's servers is read from the configuration", "[platform]")
{
    std::string text = configurationExample;
    const std::string before = R"("maxConnections":360,)";
    text.replace(text.find(before), before.size(), before + R"("coldStartS":3.0,"coldPerS":8.8,)");
    const auto read = readConfiguration(text);
    REQUIRE(read);
    CHECK(read->services[0].warmUp == Routing::WarmUp{Base::Milliseconds(3000), 8.8});
    CHECK_FALSE(read->services[1].warmUp);
    text.replace(text.find("3.0,"), 4, "-1 ,");
    CHECK(outcomeOf([&] { return readConfiguration(text); }) == Outcome::Malformed);
}

TEST_CASE("servers are read page by page", "[platform]")
{
    const StoreCodec codec;
    Json body = Json::parse(rowsBody("i-1", serverExample));
    CHECK(codec.servers({200, body.dump()})->continueFrom.empty());
    body["hasMore"] = true;
    const auto page = codec.servers({200, body.dump()});
    REQUIRE(page);
    CHECK(codec.readServers(page->continueFrom).target
          == "/-/rows-get?table=servers&part=&from=i-1%00");
    // The key by another program contains characters with a meaning in a query.
    body["rows"][0]["key"] = "a&limit=1";
    CHECK(codec.servers({200, body.dump()})->continueFrom == "a%26limit%3D1%00");
    // Without a readable key there is nowhere to continue: the next page would be the first again.
    body["rows"][0]["key"] = 7;
    CHECK(codec.servers({200, body.dump()})->continueFrom.empty());
}

TEST_CASE("the changes of servers are read from a version of the store", "[platform]")
{
    // Guards against servers that are gone and stay in the list.
    const StoreCodec codec;
    CHECK(codec.readServerChanges(77).target == "/-/rows-feed?table=servers&after=77&waitMs=1");
    Json body = Json::parse(
        rowsBody({{"i-1", serverExample}, {"i-2", serverExample}, {"i-3", serverExample}}));
    body["rows"][0]["ver"] = 80;
    body["rows"][1] = Json{{"key", "i-2"}, {"removed", true}, {"ver", 83}};
    body["rows"][2]["ver"] = 82;
    const auto changes = codec.servers({200, body.dump()});
    REQUIRE(changes);
    CHECK(changes->newestEntryVersion == 83);
    CHECK(changes->removed == std::vector<std::string>{"i-2"});
    CHECK(changes->servers.size() == 2);
    // The last of several changes of an entry counts.
    body["rows"][0]["key"] = "i-2";
    body["rows"][2] = Json{{"key", "i-2"}, {"removed", true}, {"ver", 84}};
    const auto repeated = codec.servers({200, body.dump()});
    REQUIRE(repeated);
    CHECK(repeated->removed == std::vector<std::string>{"i-2"});
    CHECK(repeated->servers.empty());
}

TEST_CASE("the age of hosts' rows is measured by the store's clock", "[platform]")
{
    const StoreCodec codec;
    const Gateway::HttpCall write =
        codec.writeHosts({{Base::HostId("edge-1"), Base::ZoneId("z"), "10.1.0.1:7400"},
                          {Base::HostId("edge-2"), Base::ZoneId("z"), "10.1.0.2:7400"}},
                         Base::Milliseconds(50000));
    const Json sent = Json::parse(write.body);
    CHECK(write.target == "/-/rows-tx");
    REQUIRE(sent["puts"].size() == 2);
    CHECK(sent["puts"][1]["key"] == "edge-2");
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

TEST_CASE("arbitrary bytes from the store give a typed result", "[platform]")
{
    const StoreCodec codec;
    rc::prop("any body", [&](const std::string &body) {
        RC_ASSERT(outcomeOf([&] { return codec.configuration({200, body}); }) != Outcome::Other);
        RC_ASSERT(outcomeOf([&] { return codec.servers({200, body}); }) != Outcome::Other);
        RC_ASSERT(outcomeOf([&] {
                      return codec.hosts({200, body}, Base::Milliseconds(1));
                  })
                  != Outcome::Other);
    });
    rc::prop("a good value with some bytes changed", [&] {
        std::string value = configurationExample;
        const int changes = *rc::gen::inRange(1, 4);
        for (int i = 0; i < changes; ++i)
            value[*rc::gen::inRange<std::size_t>(0, value.size())] = *rc::gen::arbitrary<char>();
        const std::string body = rowsBody("config", value);
        RC_ASSERT(outcomeOf([&] { return codec.configuration({200, body}); }) != Outcome::Other);
        RC_ASSERT(outcomeOf([&] { return readServer("i", value); }) != Outcome::Other);
    });
}

TEST_CASE("allowed regions are read from routes and customers", "[platform]")
{
    const std::string text = R"({"version":7,"routeTable":[{"name":"r","host":"a.example",
        "prefix":"/x/","routeKind":"safe","service":"app","allowedRegions":["south","north"]}],
        "services":[{"name":"app"}],"tenants":[{"name":"t","allowedRegions":["north"]},
        {"name":"u","allowedRegions":[]}]})";
    boost::leaf::try_handle_all(
        [&]() -> Base::Result<void> {
            BOOST_LEAF_AUTO(read, readConfiguration(text));
            CHECK(read.routes.front().allowedRegions
                  == std::vector{Base::RegionId("south"), Base::RegionId("north")});
            CHECK(read.customers[0].allowedRegions == std::vector{Base::RegionId("north")});
            CHECK(read.customers[1].allowedRegions.empty());
            return {};
        },
        [] { FAIL("not read"); });
    const std::string bad = R"({"version":7,"routeTable":[{"name":"r","host":"a.example",
        "prefix":"/x/","routeKind":"safe","service":"app","allowedRegions":[3]}]})";
    CHECK(outcomeOf([&]() -> Base::Result<void> {
              BOOST_LEAF_CHECK(readConfiguration(bad));
              return {};
          })
          == Outcome::Malformed);
}

TEST_CASE("an order for a roll-out is read as far as it can be carried out", "[platform]")
{
    const auto read = [](const std::string &value) {
        Row row;
        row.key = "rollout/app";
        row.value = value;
        row.version = 31;
        return readRolloutOrder(row)->order.value();
    };
    const Routing::RolloutOrder good = read(R"({"service":"app","to":"v2","durationS":20.5})");
    CHECK(good == Routing::RolloutOrder{"app", "v2", Base::Milliseconds(20500), 31});
    CHECK(read(R"({"to":"v2","durationS":3600})").isUsable());
    for (const char *value :
         {R"({"service":"app","to":"v2","durationS":0})",
          R"({"service":"app","to":"v2","durationS":-4})",
          R"({"service":"app","to":"v2","durationS":"long"})",
          R"({"service":"app","to":"v2","durationS":1e300})", R"({"service":"app","to":"v2"})",
          R"({"service":"other","to":"v2","durationS":20})", R"({"to":4,"durationS":20})", "[]",
          "{", ""})
        CHECK_FALSE(read(value).isUsable());
    Row removed;
    removed.key = "rollout/app";
    removed.isRemoved = true;
    CHECK_FALSE(readRolloutOrder(removed)->order);
    removed.key = "rollout/";
    CHECK_FALSE(readRolloutOrder(removed));
}

TEST_CASE("the state of a roll-out is written and read back", "[platform]")
{
    Routing::RolloutState state;
    state.order = {"app", "v2", Base::Milliseconds(20000), 31};
    state.phase = Routing::RolloutPhase::Moving;
    state.oldVersions = {"v1", "v0"};
    state.orderedAt = Base::Milliseconds(51000);
    state.phaseBeganAt = Base::Milliseconds(61000);
    state.revision = 40;
    Row row;
    row.key = "app";
    row.value = rolloutStateText(state);
    row.version = 40;
    boost::leaf::try_handle_all(
        [&]() -> Base::Result<void> {
            BOOST_LEAF_AUTO(read, readRolloutState(row));
            CHECK(read == state);
            return {};
        },
        [] { FAIL("not read"); });
    CHECK(Json::parse(rolloutStatusText(state)) == Json{{"state", "active"}, {"to", "v2"}});
    state.phase = Routing::RolloutPhase::RolledBack;
    CHECK(Json::parse(rolloutStatusText(state)) == Json{{"state", "rolled_back"}, {"to", "v2"}});
    row.value = R"({"to":"v2","phase":"unheard"})";
    CHECK(outcomeOf([&]() -> Base::Result<void> {
              BOOST_LEAF_CHECK(readRolloutState(row));
              return {};
          })
          == Outcome::Malformed);
}

TEST_CASE("a state of a roll-out is written only over the one it is based on", "[platform]")
{
    const StoreCodec codec;
    Routing::RolloutState state;
    state.order = {"app", "v2", Base::Milliseconds(20000), 31};
    const Json body = Json::parse(codec.writeRollout(state, 12).body);
    CHECK(body["expectedRevision"]
          == Json::array({{{"table", "rollouts"}, {"part", ""}, {"key", "app"}, {"ver", 12}}}));
    CHECK(body["puts"][1]["table"] == "status");
    CHECK(body["puts"][1]["key"] == "rollout/app");
    boost::leaf::try_handle_all(
        [&]() -> Base::Result<void> {
            BOOST_LEAF_AUTO(written, codec.rolloutWritten({200, R"({"ver":44,"nowMs":1})"}));
            CHECK(written.isWritten);
            CHECK(written.revision == 44);
            BOOST_LEAF_AUTO(refused, codec.rolloutWritten({412, R"({"rows":[]})"}));
            CHECK_FALSE(refused.isWritten);
            return {};
        },
        [] { FAIL("not read"); });
    CHECK(outcomeOf([&]() -> Base::Result<void> {
              BOOST_LEAF_CHECK(codec.rolloutWritten({503, ""}));
              return {};
          })
          == Outcome::Refused);
}

TEST_CASE("rows of software versions are written and read back", "[platform]")
{
    const StoreCodec codec;
    rc::prop("any names and times", [&] {
        const auto names = rc::gen::container<std::string>(rc::gen::inRange<char>(' ', 127));
        Gateway::VersionRow row{{*names, *names}, std::nullopt, {}, 3};
        if (*rc::gen::arbitrary<bool>())
            row.goneAt = Base::Milliseconds(*rc::gen::inRange(0, 1'000'000));
        const std::string key = versionKey(row.version);
        const auto reading = codec.versions({200, rowsBody(key, versionText(row))});
        RC_ASSERT(reading);
        row.key = key;
        RC_ASSERT(reading->rows == std::vector{row});
        RC_ASSERT(reading->storeTime == Base::Milliseconds(51230));
    });
    rc::prop("any bytes as names", [&] {
        Gateway::VersionRow row{{*rc::gen::arbitrary<std::string>(), "v1"}, std::nullopt, {}, 3};
        row.key = versionKey(row.version);
        const auto reading = codec.versions({200, rowsBody(row.key, versionText(row))});
        RC_ASSERT(reading);
        if (Base::isPlainName(row.version.service))
            RC_ASSERT(reading->rows == std::vector{row});
        else
            RC_ASSERT(reading->rows.empty() && reading->malformed.front().key == row.key);
    });
    rc::prop("arbitrary bytes in one row beside a good one", [&](const std::string &bytes) {
        const Gateway::VersionRow good{{"pool", "v1"}, std::nullopt, {}, 3};
        const auto reading = codec.versions(
            {200, rowsBody({{"x", bytes}, {versionKey(good.version), versionText(good)}})});
        RC_ASSERT(reading);
        RC_ASSERT(reading->rows.size() == 1);
        RC_ASSERT(reading->malformed.size() == 1);
        RC_ASSERT(reading->malformed.front().key == "x");
        RC_ASSERT(reading->malformed.front().revision == 3);
    });
    // A row under the key of another version would be written again and again.
    const Gateway::VersionRow other{{"pool", "v2"}, std::nullopt, {}, 3};
    const auto misplaced = codec.versions({200, rowsBody("x", versionText(other))});
    REQUIRE(misplaced);
    CHECK(misplaced->rows.empty());
    CHECK(misplaced->malformed.size() == 1);
}

TEST_CASE("rows of software versions are written only over those they are based on", "[platform]")
{
    const StoreCodec codec;
    CHECK(codec.readVersions({}).target == "/-/rows-get?table=versions&part=");
    const Gateway::VersionRow added{{"pool", "v2"}, std::nullopt, {}, 0};
    const Gateway::VersionRow removed{{}, std::nullopt, "x", 12};
    const Json body = Json::parse(codec.writeVersions({{added}, {removed}}).body);
    const std::string key = versionKey(added.version);
    CHECK(body["expectedRevision"]
          == Json::array({{{"table", "versions"}, {"part", ""}, {"key", key}, {"ver", 0}},
                          {{"table", "versions"}, {"part", ""}, {"key", "x"}, {"ver", 12}}}));
    CHECK(body["puts"][0]["key"] == key);
    CHECK(body["remove"] == Json::array({{{"table", "versions"}, {"part", ""}, {"key", "x"}}}));
    const auto written = codec.versionsWritten({200, R"({"ver":44,"nowMs":1})"});
    REQUIRE(written);
    CHECK(written->isWritten);
    CHECK(written->revision == 44);
    const auto refused = codec.versionsWritten({412, R"({"rows":[]})"});
    REQUIRE(refused);
    CHECK_FALSE(refused->isWritten);
    CHECK(outcomeOf([&] { return codec.versionsWritten({503, ""}); }) == Outcome::Refused);
    CHECK(outcomeOf([&] { return codec.versionsWritten({200, "{}"}); }) == Outcome::Malformed);
}

TEST_CASE("rows of hosts are read page by page", "[platform]")
{
    const StoreCodec codec;
    CHECK(codec.readHosts({}).target == "/-/rows-get?table=routers&part=hosts");
    CHECK(codec.readHosts("h%201%00").target
          == "/-/rows-get?table=routers&part=hosts&from=h%201%00");
    Json page = Json::parse(rowsBody("h 1", R"({"peerAddress":"1.2.3.4:5","zone":"z",)"
                                            R"("storeTimeMs":51230})"));
    page["hasMore"] = true;
    boost::leaf::try_handle_all(
        [&]() -> Base::Result<void> {
            BOOST_LEAF_AUTO(first, codec.hosts({200, page.dump()}, Base::Milliseconds(9000)));
            CHECK(first.hosts.size() == 1);
            CHECK(first.continueFrom == "h%201%00");
            page["hasMore"] = false;
            BOOST_LEAF_AUTO(last, codec.hosts({200, page.dump()}, Base::Milliseconds(9000)));
            CHECK(last.continueFrom.empty());
            return {};
        },
        [] { FAIL("not read"); });
}

TEST_CASE("rows of streams are written and read back", "[platform]")
{
    const StoreCodec codec;
    const auto names = rc::gen::container<std::string>(rc::gen::inRange<char>(' ', 127));
    rc::prop("any names and ids", [&] {
        Gateway::StreamRow row{"k", Base::Milliseconds(*rc::gen::inRange(0, 1'000'000)), {}};
        for (int left = *rc::gen::inRange(0, 4); left > 0; --left) {
            row.begun.push_back({{*names, *names},
                                 *rc::gen::container<std::vector<Routing::StreamId>>(
                                     rc::gen::arbitrary<Routing::StreamId>())});
        }
        const auto reading = codec.streams({200, rowsBody(row.key, streamText(row))});
        RC_ASSERT(reading);
        RC_ASSERT(reading->rows == std::vector{row});
        RC_ASSERT(reading->malformed.empty());
        RC_ASSERT(reading->storeTime == Base::Milliseconds(51230));
    });
    rc::prop("any bytes as names", [&] {
        const std::string name = *rc::gen::arbitrary<std::string>();
        const Gateway::StreamRow row{"k", Base::Milliseconds(7), {{{"pool", name}, {1}}}};
        const auto reading = codec.streams({200, rowsBody(row.key, streamText(row))});
        RC_ASSERT(reading);
        if (Base::isPlainName(name))
            RC_ASSERT(reading->rows == std::vector{row});
        else
            RC_ASSERT(reading->rows.empty() && reading->malformed == std::vector{row.key});
    });
    rc::prop("arbitrary bytes in one row beside a good one", [&] {
        const Gateway::StreamRow good{"good", Base::Milliseconds(7), {{{"pool", "v1"}, {1, 2}}}};
        std::string bytes = *rc::gen::arbitrary<std::string>();
        if (*rc::gen::arbitrary<bool>()) {
            bytes = streamText(good);
            bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] = *rc::gen::arbitrary<char>();
        }
        const auto reading =
            codec.streams({200, rowsBody({{"x", bytes}, {"good", streamText(good)}})});
        RC_ASSERT(reading);
        RC_ASSERT(reading->rows.size() + reading->malformed.size() == 2);
        RC_ASSERT(reading->rows.back() == good);
        RC_ASSERT(reading->rows.front().key == "x"
                  || reading->malformed == std::vector<std::string>{"x"});
    });
}

// Guards against a stream of another version, read from a damaged row.
TEST_CASE("a row of streams with a field of another type is malformed as a whole", "[platform]")
{
    const StoreCodec codec;
    const Json report{{"service", "pool"}, {"version", "v1"}, {"streams", {1U, 2U}}};
    const Json good{{"writtenAtMs", 7U}, {"begun", {report}}};
    const auto isMalformed = [&](const Json &json) {
        const std::vector<std::uint8_t> bytes = Json::to_cbor(json);
        const auto reading = codec.streams({200, rowsBody("x", {bytes.begin(), bytes.end()})});
        return reading && reading->rows.empty()
               && reading->malformed == std::vector<std::string>{"x"};
    };
    CHECK_FALSE(isMalformed(good));
    for (const Json &wrong : {Json(), Json(-1), Json("1"), Json::array(), Json::object()}) {
        CAPTURE(wrong.dump());
        for (const char *field : {"writtenAtMs", "begun"}) {
            Json changed = good;
            changed[field] = wrong;
            CHECK(isMalformed(changed) == !(wrong.is_array() && changed["begun"] == wrong));
            changed.erase(field);
            CHECK(isMalformed(changed));
        }
        for (const char *field : {"service", "version", "streams"}) {
            Json changed = good;
            // The report before is sound, and is not used either.
            changed["begun"].push_back(report);
            changed["begun"][1][field] = wrong;
            const bool isText = std::string(field) != "streams" && wrong.is_string();
            const bool isList = std::string(field) == "streams" && wrong.is_array();
            CHECK(isMalformed(changed) == !(isText || isList));
            changed["begun"][1].erase(field);
            CHECK(isMalformed(changed));
        }
        Json changed = good;
        changed["begun"][0]["streams"][1] = wrong;
        CHECK(isMalformed(changed));
    }
    Json fraction = good;
    fraction["begun"][0]["streams"][1] = 1.5;
    CHECK(isMalformed(fraction));
    CHECK(isMalformed(Json::array({good})));
    // Bytes after the value, and a list that is shorter than it says.
    CHECK(codec.streams({200, rowsBody("x", streamText({}) + "x")})->malformed.size() == 1);
    CHECK(codec.streams({200, rowsBody("x", "\x9b\x7f\xff\xff\xff\xff\xff\xff\xff")})
              ->malformed.size()
          == 1);
}

TEST_CASE("rows of streams are read page by page", "[platform]")
{
    const StoreCodec codec;
    CHECK(codec.readStreams({}).target == "/-/rows-get?table=streams&part=streams");
    // A malformed row is passed as well, so that no page is read twice.
    Json page = Json::parse(rowsBody({{"a", streamText({})}, {"b&", "malformed"}}));
    CHECK(codec.streams({200, page.dump()})->continueFrom.empty());
    page["hasMore"] = true;
    const auto reading = codec.streams({200, page.dump()});
    REQUIRE(reading);
    CHECK(reading->continueFrom == "b%26%00");
    CHECK(codec.readStreams(reading->continueFrom).target
          == "/-/rows-get?table=streams&part=streams&from=b%26%00");
    CHECK(outcomeOf([&] { return codec.streams({503, ""}); }) == Outcome::Refused);
    CHECK(outcomeOf([&] { return codec.streams({200, "[]"}); }) == Outcome::Malformed);
}

TEST_CASE("rows of streams are written and removed unconditionally in their own part", "[platform]")
{
    const StoreCodec codec;
    const Gateway::StreamRow row{"k", Base::Milliseconds(7), {{{"pool", "v1"}, {1}}}};
    const Gateway::HttpCall call = codec.writeStreams({{row}, {"old"}});
    CHECK(call.target == "/-/rows-tx");
    const Json body = Json::parse(call.body);
    CHECK(body["expectedRevision"].empty());
    CHECK(body["puts"]
          == Json::array({{{"table", "streams"},
                           {"part", "streams"},
                           {"key", "k"},
                           {"value", encodeBase64(streamText(row))}}}));
    CHECK(body["remove"]
          == Json::array({{{"table", "streams"}, {"part", "streams"}, {"key", "old"}}}));
    CHECK(codec.streamsWritten({200, R"({"ver":44,"nowMs":1})"}));
    CHECK(outcomeOf([&] { return codec.streamsWritten({503, ""}); }) == Outcome::Refused);
    CHECK(outcomeOf([&] { return codec.streamsWritten({200, "{}"}); }) == Outcome::Malformed);
}

// Guards against rows that the store refuses since they are larger than the gateway reckons.
TEST_CASE("a stream takes nine bytes of a row, beside the names", "[platform]")
{
    constexpr Routing::StreamId largest = std::numeric_limits<Routing::StreamId>::max();
    Gateway::StreamRow row{"k", Base::Milliseconds(std::numeric_limits<std::int64_t>::max()), {}};
    std::size_t reckoned = 0;
    for (const std::size_t streams : {5'000U, 0U, 300U, 1U}) {
        const std::string name(reckoned == 0 ? 300 : 3, 'v');
        row.begun.push_back({{name, name}, std::vector<Routing::StreamId>(streams, largest)});
        reckoned += 2 * name.size() + 64 + 9 * streams;
        CHECK(streamText(row).size() <= reckoned);
    }
}
