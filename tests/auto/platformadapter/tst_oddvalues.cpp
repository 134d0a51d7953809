#include "platform/rowtext.h"
#include "platform/servertext.h"
#include "platform/storecodec.h"
#include "platform/streamtext.h"
#include "platform/versiontext.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace Platform;

namespace {

constexpr Base::Milliseconds freshFor{2000};

struct Entry
{
    std::string key;
    std::string value;
    std::string part = {};
};

Gateway::HttpAnswer answerWith(const std::vector<Entry> &entries)
{
    Json rows = Json::array();
    for (const Entry &it : entries) {
        rows.push_back(
            {{"key", it.key}, {"part", it.part}, {"value", encodeBase64(it.value)}, {"ver", 3}});
    }
    return {200, Json{{"rows", rows}, {"ver", 9}, {"nowMs", 51230}}.dump()};
}

Json server()
{
    return {{"service", "pool"},
            {"address", "10.128.0.9:8080"},
            {"zone", "z"},
            {"version", "v1"},
            {"slots", 64},
            {"state", "ready"},
            {"coldRemainingMs", 250},
            {"sequence", 4},
            {"born", 1764700000123}};
}

std::string serverWith(const char *field, const Json &value)
{
    Json json = server();
    json[field] = value;
    return json.dump();
}

/// Returns the ids of the servers that are read from \a entries.
std::set<std::string> idsOf(const std::vector<Entry> &entries)
{
    const auto reading = StoreCodec().servers(answerWith(entries));
    REQUIRE(reading);
    std::set<std::string> ids;
    for (const Routing::RegisteredServer &it : reading->servers)
        ids.insert(it.start.name);
    return ids;
}

std::size_t hostsIn(const std::string &value)
{
    const std::string good = R"({"peerAddress":"10.1.0.1:7400","zone":"z","storeTimeMs":51000})";
    const auto reading =
        StoreCodec().hosts(answerWith({{"edge-1", good}, {"edge-2", value}}), freshFor);
    REQUIRE(reading);
    return reading->hosts.size();
}

std::string cborText(const Json &json)
{
    const std::vector<std::uint8_t> bytes = Json::to_cbor(json);
    return {bytes.begin(), bytes.end()};
}

const Gateway::VersionRow soundVersion{{"pool", "v1"}, Base::Milliseconds(700), {}, 0};
const std::string longName(200'000, 'v');

/// Values that no field expects, or only few fields.
const std::vector<Json> oddValues = {
    nullptr,
    true,
    -1,
    1.5,
    1e300,
    9'007'199'254'740'993ULL,
    UINT64_MAX,
    1ULL << 63U,
    "",
    std::string("a\0b", 3),
    longName,
    "a\r\nb",
    Json::array(),
    Json::object(),
    "10.0.0.1:0",
    "10.0.0.1:70000",
};

} // namespace

// Guards against attempts at addresses that no server can have.
TEST_CASE("an entry with an address that is not a host's is malformed", "[platform][odd]")
{
    for (const char *address :
         {"0.0.0.0:8080", "0.1.2.3:8080", "224.0.0.1:8080", "239.255.255.255:80",
          "255.255.255.255:8080", "240.0.0.1:80", "10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:-1"}) {
        INFO(address);
        CHECK(idsOf({{"i-1", server().dump()}, {"i-2", serverWith("address", address)}})
              == std::set<std::string>{"i-1"});
    }
    CHECK(idsOf({{"i-1", serverWith("address", "127.0.0.1:65535")}}).size() == 1);
}

// Guards against rows and reports that nobody accepts, written again and again.
TEST_CASE("an entry with a name that is no name is malformed", "[platform][odd]")
{
    for (const char *field : {"service", "version", "zone"}) {
        for (const std::string &name :
             {longName, std::string(201, 'v'), std::string("v\0", 2), std::string("v\n1")}) {
            INFO(field << " of " << name.size() << " bytes");
            CHECK(idsOf({{"i-1", server().dump()}, {"i-2", serverWith(field, name)}})
                  == std::set<std::string>{"i-1"});
        }
        CHECK(idsOf({{"i-1", serverWith(field, std::string(200, 'v'))}}).size() == 1);
    }
    for (const std::string &id : {std::string("i\r\nX: 1"), std::string("i\0", 2)})
        CHECK(idsOf({{"i-1", server().dump()}, {id, server().dump()}}).size() == 1);
}

// Guards against a row of the same key in another part that takes a server's place.
TEST_CASE("rows of other parts do not change servers or the configuration", "[platform][odd]")
{
    const StoreCodec codec;
    CHECK(idsOf({{"i-1", server().dump()}, {"i-1", "odd", "x"}}).size() == 1);
    Json removal = Json::parse(answerWith({{"i-1", server().dump()}}).body);
    removal["rows"].push_back({{"key", "i-1"}, {"part", "x"}, {"removed", true}, {"ver", 5}});
    const auto reading = codec.servers({200, removal.dump()});
    REQUIRE(reading);
    CHECK(reading->servers.size() == 1);
    CHECK(reading->removed.empty());
    const auto configuration = codec.configuration(answerWith(
        {{"config", R"({"version":7})"}, {"config", "{", "x"}, {"evacuate/z", "", "x"}}));
    REQUIRE(configuration);
    CHECK(configuration->configuration->version == 7);
    CHECK(configuration->evacuations.empty());
}

// Guards against a watch that fails for ever though the operator has corrected the row.
TEST_CASE("a configuration replaces a malformed one before it", "[platform][odd]")
{
    const StoreCodec codec;
    const auto reading = codec.configuration(
        answerWith({{"config", "{"}, {"evacuate/z", ""}, {"config", R"({"version":8})"}}));
    REQUIRE(reading);
    CHECK(reading->configuration->version == 8);
    CHECK(reading->evacuations.size() == 1);
    CHECK_FALSE(codec.configuration(answerWith({{"config", R"({"version":8})"}, {"config", "{"}})));
}

// Guards against reports to addresses of no host, and against overflow of times.
TEST_CASE("a row of a host with an odd address or time is not read", "[platform][odd]")
{
    const auto row = [](const Json &address, const Json &time) {
        return Json{{"peerAddress", address}, {"zone", "z"}, {"storeTimeMs", time}}.dump();
    };
    CHECK(hostsIn(row("10.1.0.2:7400", 51000)) == 2);
    for (const Json &time : {Json(UINT64_MAX), Json(1ULL << 63U), Json(5'000'000'000'000ULL)})
        CHECK(hostsIn(row("10.1.0.2:7400", time)) == 1);
    for (const char *address : {"0.0.0.0:7400", "255.255.255.255:7400", "224.0.0.1:7400"})
        CHECK(hostsIn(row(address, 51000)) == 1);
}

// Guards against an uncaught exception, which ends the process.
TEST_CASE("texts that are not UTF-8 can be written to the store", "[platform][odd]")
{
    const StoreCodec codec;
    CHECK_FALSE(codec.writeHosts({{Base::HostId("\xFF"), Base::ZoneId("\xFF"), "\xFF"}}, freshFor)
                    .body.empty());
    CHECK_FALSE(codec.removeHost(Base::HostId("\xFF")).body.empty());
    Routing::RolloutState state;
    state.order = {"\xFF", "\xFF", Base::Milliseconds(1), 1};
    CHECK_FALSE(codec.writeRollout(state, 0).body.empty());
}

// Guards against a row of a version that stays in the store or makes later times overflow.
TEST_CASE("rows of versions and streams with odd names or times are malformed", "[platform][odd]")
{
    const auto isVersion = [](const Gateway::VersionRow &row) {
        Row read;
        read.key = versionKey(row.version);
        read.value = versionText(row);
        return readVersionRow(read).has_value();
    };
    CHECK(isVersion(soundVersion));
    CHECK_FALSE(isVersion({{"pool", longName}, std::nullopt, {}, 0}));
    CHECK_FALSE(isVersion({{"po\nol", "v1"}, std::nullopt, {}, 0}));
    CHECK_FALSE(isVersion({{"pool", "v1"}, Base::Milliseconds(INT64_MAX), {}, 0}));
    const auto isStreams = [](const Json &time, const std::string &version) {
        Row read;
        read.key = "k";
        read.value =
            cborText({{"writtenAtMs", time},
                      {"begun", {{{"service", "pool"}, {"version", version}, {"streams", {7}}}}}});
        return readStreamRow(read).has_value();
    };
    CHECK(isStreams(700, "v1"));
    CHECK_FALSE(isStreams(700, longName));
    CHECK_FALSE(isStreams(8'000'000'000'000'000'000ULL, "v1"));
}

// Guards against a state of a roll-out that the store refuses each time.
TEST_CASE("an order whose version is no name is not carried out", "[platform][odd]")
{
    for (const std::string &version : {longName, std::string("v\0", 2)}) {
        const auto reading = StoreCodec().configuration(
            answerWith({{"rollout/app", Json{{"to", version}, {"durationS", 20}}.dump()},
                        {"rollout/pool", Json{{"to", "v2"}, {"durationS", 20}}.dump()}}));
        REQUIRE(reading);
        REQUIRE(reading->rollouts.size() == 2);
        CHECK_FALSE(reading->rollouts[0].order->isUsable());
        CHECK(reading->rollouts[0].order->version.empty());
        CHECK(reading->rollouts[1].order->isUsable());
    }
}

// Guards against an odd row that hides the sound ones of its table.
TEST_CASE("odd rows do not hide sound ones in any table", "[platform][odd]")
{
    const StoreCodec codec;
    const auto spoilt = [](Json json) {
        const std::size_t at = *rc::gen::inRange<std::size_t>(0, json.size());
        auto it = json.begin();
        std::advance(it, at);
        *it = oddValues[*rc::gen::inRange<std::size_t>(0, oddValues.size())];
        return json;
    };
    const Json host{{"peerAddress", "10.1.0.1:7400"}, {"zone", "z"}, {"storeTimeMs", 51000}};
    const Json streams{{"writtenAtMs", 700}, {"begun", Json::array()}};
    const Json rollout{{"to", "v2"},         {"durationMs", 20},      {"order", 3},
                       {"phase", "moving"},  {"oldVersions", {"v1"}}, {"orderedAtMs", 1},
                       {"phaseBeganAtMs", 2}};
    const std::string key = versionKey(soundVersion.version);
    rc::prop("one row with one odd field", [&] {
        const auto servers = codec.servers(answerWith({{"i-1", server().dump()},
                                                       {"i-2", spoilt(server()).dump()},
                                                       {"i-3", server().dump()}}));
        RC_ASSERT(servers);
        RC_ASSERT(servers->servers.size() >= 2U);
        for (const Routing::RegisteredServer &it : servers->servers)
            RC_ASSERT(it.softwareVersion.size() <= 200U && it.service.size() <= 200U);
        const auto hosts = codec.hosts(
            answerWith({{"edge-1", host.dump()}, {"edge-2", spoilt(host).dump()}}), freshFor);
        RC_ASSERT(hosts);
        RC_ASSERT(hosts->hosts.size() >= 1U);
        const Json version = Json::parse(versionText(soundVersion));
        const auto versions =
            codec.versions(answerWith({{"0", spoilt(version).dump()}, {key, version.dump()}}));
        RC_ASSERT(versions);
        RC_ASSERT(versions->rows.size() == 1U && versions->malformed.size() == 1U);
        const auto read =
            codec.streams(answerWith({{"a", cborText(spoilt(streams))}, {"b", cborText(streams)}}));
        RC_ASSERT(read);
        RC_ASSERT(read->rows.size() + read->malformed.size() == 2U && !read->rows.empty());
        const auto rollouts =
            codec.rollouts(answerWith({{"app", spoilt(rollout).dump()}, {"pool", rollout.dump()}}));
        RC_ASSERT(rollouts);
        RC_ASSERT(rollouts->states.size() >= 1U);
        for (const Routing::RolloutState &it : rollouts->states)
            RC_ASSERT(it.order.version.size() <= 200U && it.phaseBeganAt.count() >= 0);
    });
}
