#include "settings/processsettings.h"
#include "support/settingsfaults.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using Settings::ProcessSettings;
using Settings::SettingsFault;

namespace {

const std::string completeSettings = R"({
  // Comments are allowed.
  "host": "entry-1", "zone": "langley", "region": "lower-mainland",
  "callerAddress": "10.0.0.1:8080", "peerAddress": "10.0.0.1:9090",
  "platform": {"address": "10.0.9.1:7000"},
  "seeds": [{"host": "entry-2", "peerAddress": "10.0.0.2:9090"}],
  "limits": {"connections": 500, "bodyBytes": 65536, "streamBufferBytes": 8192,
             "memoryMb": 100},
  "log": {"level": "debug"}, "trace": {"file": "/dev/stderr"}
})";

std::vector<SettingsFault> faultsOf(const std::string &text)
{
    return Support::faultsOf([&] { return ProcessSettings::parse(text); });
}

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    return text.replace(text.find(from), from.size(), to);
}

} // namespace

TEST_CASE("A complete settings file is parsed")
{
    const Base::Result<ProcessSettings> settings = ProcessSettings::parse(completeSettings);
    REQUIRE(settings);
    CHECK(settings->host.value() == "entry-1");
    CHECK(settings->zone.value() == "langley");
    CHECK(settings->region.value() == "lower-mainland");
    CHECK(toString(settings->callerAddress) == "10.0.0.1:8080");
    CHECK(settings->peerAddress == Settings::Address{"10.0.0.1", 9090});
    CHECK(toString(settings->platformAddress) == "10.0.9.1:7000");
    REQUIRE(settings->seeds.size() == 1);
    CHECK(settings->seeds[0].host.value() == "entry-2");
    CHECK(settings->limits == Settings::ProcessLimits{500, 65536, 8192, 100'000'000});
    CHECK(settings->logLevel == Settings::LogLevel::Debug);
    CHECK(settings->traceFile == "/dev/stderr");
}

TEST_CASE("All faults of a file are reported in one run")
{
    // If only the first fault were reported, a file with a dozen faults would take a dozen starts
    // until the host serves.
    const std::vector<SettingsFault> faults = faultsOf(R"({
      "host": "", "zone": 7, "callerAddress": "router.example:80",
      "peerAddress": "10.0.0.1:70000", "platform": {"adress": "10.0.9.1:7000"},
      "seeds": [{"host": "a b", "peerAddress": "10.0.0.2:1", "weight": 3}, 5],
      "limits": {"connections": 0, "bodyBytes": 1e30, "streamBufferBytes": "big"},
      "log": {"level": "loud"}, "trace": [], "weights": {"a/b": 1}
    })");
    std::vector<std::string> pointers;
    for (const SettingsFault &fault : faults) {
        pointers.push_back(fault.pointer);
        CHECK_FALSE(fault.expected.empty());
        CHECK_FALSE(fault.found.empty());
    }
    CHECK(pointers
          == std::vector<std::string>{"/host", "/zone", "/region", "/callerAddress", "/peerAddress",
                                      "/platform/address", "/platform/adress", "/seeds/0/host",
                                      "/seeds/0/weight", "/seeds/1", "/limits/connections",
                                      "/limits/bodyBytes", "/limits/streamBufferBytes",
                                      "/log/level", "/trace", "/weights"});
}

TEST_CASE("A fault states what was expected and what was found")
{
    const auto faults =
        faultsOf(replaced(completeSettings, "\"connections\": 500", "\"connections\": -1"));
    CHECK(faults
          == std::vector<SettingsFault>{
              {"/limits/connections", "a whole number from 1 to 32768", "-1"}});
    CHECK(toString(faults.at(0))
          == "/limits/connections: expected a whole number from 1 to 32768, found -1");
}

TEST_CASE("Numbers beyond the range of integers are rejected and do not wrap around")
{
    for (const std::string number : {"18446744073709551615", "9223372036854775809", "1e300", "2.5"})
        CHECK(faultsOf(replaced(completeSettings, "500", number)).at(0).pointer
              == "/limits/connections");
}

TEST_CASE("A duplicate key is a fault, also in an object within an array")
{
    const auto faults = faultsOf(
        replaced(completeSettings, "\"host\": \"entry-2\"", "\"host\": \"x\", \"host\": \"y\""));
    CHECK(faults
          == std::vector<SettingsFault>{{"/seeds/0/host", "each key once", "a duplicate key"}});
}

TEST_CASE("Keys are escaped in JSON pointers")
{
    const auto faults = faultsOf(replaced(completeSettings, "\"log\":", "\"a/b~c\": 1, \"log\":"));
    REQUIRE(faults.size() == 1);
    CHECK(faults[0].pointer == "/a~1b~0c");
}

TEST_CASE("Duplicate seed hosts and equal addresses are faults")
{
    const auto seeds = faultsOf(replaced(
        completeSettings, "[{", "[{\"host\": \"entry-2\", \"peerAddress\": \"10.0.0.3:1\"}, {"));
    REQUIRE(seeds.size() == 1);
    CHECK(seeds[0].pointer == "/seeds/1/host");
    const auto addresses = faultsOf(replaced(completeSettings, "10.0.0.1:9090", "10.0.0.1:8080"));
    REQUIRE(addresses.size() == 1);
    CHECK(addresses[0].pointer == "/peerAddress");
}

TEST_CASE("Text that is not JSON is one fault of the whole text")
{
    for (const std::string text : {"", "{", "nul", "{\"host\": 1e999}", "\xff\xfe", "[1,]"}) {
        const auto faults = faultsOf(text);
        REQUIRE(faults.size() == 1);
        CHECK(faults[0].pointer.empty());
    }
    CHECK(faultsOf("[]").at(0).expected == "an object");
}

TEST_CASE("Addresses are IPv4 addresses with a port")
{
    for (const std::string text : {"127.0.0.1:1", "0.0.0.0:65535"})
        CHECK(Settings::toString(Settings::parseAddress(text).value()) == text);
    for (const std::string text :
         {"", ":", "127.0.0.1", "127.0.0.1:", "127.0.0.1:0", "127.0.0.1:65536", "127.0.0.1:-1",
          "127.0.0.1: 1", "127.0.0.1:1x", "localhost:80", "1.2.3:80", "1.2.3.256:80"})
        CHECK_FALSE(Settings::parseAddress(text));
    CHECK_FALSE(Settings::parseAddress(std::string_view("1.2.3.4\0x:80", 12)));
}

TEST_CASE("Any bytes give settings or typed faults")
{
    rc::prop("arbitrary bytes", [](const std::string &text) { faultsOf(text); });
    rc::prop("a complete file with some bytes changed", [] {
        std::string text = completeSettings;
        const auto changes = *rc::gen::inRange(1, 6);
        for (int i = 0; i < changes; ++i)
            text[*rc::gen::inRange<std::size_t>(0, text.size())] = *rc::gen::arbitrary<char>();
        for (const SettingsFault &fault : faultsOf(text))
            RC_ASSERT(!fault.expected.empty() && !fault.found.empty());
    });
}

TEST_CASE("Deep nesting is a fault and does not crash")
{
    const std::string deep = std::string(200000, '[') + std::string(200000, ']');
    CHECK(faultsOf(deep).size() == 1);
    CHECK_FALSE(faultsOf(replaced(completeSettings, "\"entry-1\"", deep)).empty());
}
