#include "platform/configurationtext.h"
#include "platform/rollouttext.h"
#include "platform/rowtext.h"
#include "platform/servertext.h"
#include "platform/storecodec.h"
#include "platform/streamtext.h"
#include "platform/versiontext.h"
#include "support/oddbytes.h"

#include <catch2/catch.hpp>

using namespace Platform;

namespace {

const std::string soundServer = R"({"service":"pool","address":"10.128.0.9:8080","zone":"z",
    "version":"v1","slots":64,"state":"ready","coldRemainingMs":250.0,"sequence":4,
    "born":1764700000123})";
const std::string soundHost = R"({"peerAddress":"10.0.0.1:1","zone":"z","storeTimeMs":51000})";
const std::string soundConfiguration =
    R"({"version":7,"routeTable":[],"services":[],"tenants":[]})";

Gateway::HttpAnswer answerOf(const std::vector<std::pair<std::string, std::string>> &entries)
{
    Json rows = Json::array();
    for (const auto &[key, value] : entries)
        rows.push_back({{"key", key}, {"value", encodeBase64(value)}, {"ver", 3}});
    return {200, Json{{"rows", rows}, {"hasMore", false}, {"ver", 9}, {"nowMs", 51230}}.dump()};
}

std::vector<std::string> oddCbor()
{
    const auto list = [](const std::string &begun) {
        return "\xa2\x6bwrittenAtMs\x01\x65"
               "begun"
               + begun;
    };
    return {deepCbor(manyLevels),
            deepCbor(endlessLevels),
            std::string(endlessLevels, '\x81'),
            std::string(endlessLevels, '\x9f'),
            std::string(endlessLevels, '\x7f'),
            std::string(endlessLevels, '\xc6'),
            list(deepCbor(manyLevels)),
            list(deepCbor(endlessLevels)),
            list("\x9b\x7f\xff\xff\xff\xff\xff\xff\xff"),
            list("\x9b\xff\xff\xff\xff\xff\xff\xff\xff"),
            "\xbb\xff\xff\xff\xff\xff\xff\xff\xff",
            "\x5b\x7f\xff\xff\xff\xff\xff\xff\xff",
            "\x7b\x7f\xff\xff\xff\xff\xff\xff\xff"};
}

} // namespace

// Guards against a row of streams that ends the process which reads it.
TEST_CASE("rows of streams with odd bytes are malformed and the rest is read", "[platform]")
{
    const StoreCodec codec;
    const Gateway::StreamRow good{"good", Base::Milliseconds(7), {{{"pool", "v1"}, {1, 2}}}};
    for (const std::string &odd : oddCbor()) {
        const auto reading = codec.streams(answerOf({{"odd", odd}, {"good", streamText(good)}}));
        REQUIRE(reading);
        CHECK(reading->rows == std::vector{good});
        CHECK(reading->malformed == std::vector<std::string>{"odd"});
    }
}

// Guards against odd rows that are read, or that keep the rows beside them from being read.
TEST_CASE("rows of JSON with odd bytes are not read and the rest is", "[platform]")
{
    const StoreCodec codec;
    for (const std::string &odd : oddTexts(soundServer)) {
        const auto reading = codec.servers(answerOf({{"odd", odd}, {"good", soundServer}}));
        REQUIRE(reading);
        CHECK(reading->servers.size() == 1);
        CHECK(reading->unreadable == std::set<std::string>{"odd"});
    }
    for (const std::string &odd : oddTexts(soundHost)) {
        const auto reading =
            codec.hosts(answerOf({{"odd", odd}, {"good", soundHost}}), Base::Milliseconds(9000));
        REQUIRE(reading);
        CHECK(reading->hosts.size() == 1);
    }
    const Gateway::VersionRow version{{"pool", "v1"}, std::nullopt, {}, 0};
    const std::string key = versionKey(version.version);
    for (const std::string &odd : oddTexts(versionText(version))) {
        const auto reading = codec.versions(answerOf({{key, odd}, {key, versionText(version)}}));
        REQUIRE(reading);
        CHECK(reading->rows.size() == 1);
        CHECK(reading->malformed.size() == 1);
    }
    const std::string rollout = rolloutStateText({});
    for (const std::string &odd : oddTexts(rollout)) {
        const auto reading = codec.rollouts(answerOf({{"odd", odd}, {"good", rollout}}));
        REQUIRE(reading);
        CHECK(reading->states.size() == 1);
        CHECK(reading->unreadable == std::vector<std::string>{"odd"});
    }
    const std::string order = R"({"service":"pool","to":"v2","durationS":60})";
    for (const std::string &odd : oddTexts(order)) {
        const auto reading =
            codec.configuration(answerOf({{"config", soundConfiguration}, {"rollout/pool", odd}}));
        REQUIRE(reading);
        REQUIRE(reading->configuration);
        REQUIRE(reading->rollouts.size() == 1);
        CHECK(reading->rollouts[0].order->duration == Base::Milliseconds(0));
    }
    for (const std::string &odd : oddTexts(soundConfiguration))
        CHECK_FALSE(readConfiguration(odd));
}

// Guards against an answer of the store that ends the process which reads it.
TEST_CASE("answers of the store with odd bytes are malformed", "[platform]")
{
    const StoreCodec codec;
    for (const std::string &odd : oddTexts(answerOf({{"good", soundServer}}).body)) {
        CHECK_FALSE(codec.servers({200, odd}));
        CHECK_FALSE(codec.streams({200, odd}));
        CHECK_FALSE(codec.streamsWritten({200, odd}));
    }
    // Rows are copied with the whole list.
    CHECK_FALSE(codec.servers({200, R"({"ver":9,"rows":)" + deepText(endlessLevels) + "}"}));
}
