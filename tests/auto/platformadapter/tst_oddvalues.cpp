#include "platform/rowtext.h"
#include "platform/servertext.h"
#include "platform/storecodec.h"
#include "platform/streamtext.h"
#include "platform/versiontext.h"

#include <catch2/catch.hpp>

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

const std::string longName(200'000, 'v');


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

