#include "gateway/gatewaysettings.h"
#include "gateway/hostreport.h"
#include "gateway/storecopy.h"
#include "support/oddbytes.h"

#include <catch2/catch.hpp>

using namespace Gateway;

// Guards against bytes of a few datagrams that end the process.
TEST_CASE("reports and copies of nested or endless values are malformed", "[gateway]")
{
    const std::string copyStart = "\x83\x01";
    for (const char mark : {'\x81', '\x9f', '\x7f', '\x5f', '\xc6', '\xbf'}) {
        CAPTURE(static_cast<int>(mark));
        const std::string nested(endlessLevels, mark);
        CHECK_FALSE(decodeReport(nested));
        CHECK_FALSE(decodeReport(nested + '\x01'));
        CHECK_FALSE(decodeCopy(nested));
        CHECK_FALSE(decodeCopy(copyStart + nested));
    }
    for (const char *length :
         {"\x9b\x7f\xff\xff\xff\xff\xff\xff\xff", "\xbb\xff\xff\xff\xff\xff\xff\xff\xff",
          "\x7b\x7f\xff\xff\xff\xff\xff\xff\xff", "\x5b\xff\xff\xff\xff\xff\xff\xff\xff"}) {
        CHECK_FALSE(decodeReport(length));
        CHECK_FALSE(decodeCopy(copyStart + length));
    }
    // A sound report with a deep value behind its last field.
    HostReport report;
    report.self.host = Base::HostId("a");
    std::string bytes = encodeReport(report);
    REQUIRE(decodeReport(bytes));
    ++bytes.front();
    CHECK_FALSE(decodeReport(bytes + deepCbor(manyLevels)));
}

// Guards against a value in an operator's file that ends the process.
TEST_CASE("settings with too many levels are refused", "[gateway]")
{
    const std::string text = R"({"storeAddress":"127.0.0.1:1"})";
    REQUIRE(GatewaySettings::isGatewayText(text));
    for (const std::string &odd : oddTexts(text)) {
        CHECK_FALSE(GatewaySettings::isGatewayText(odd));
        CHECK_FALSE(GatewaySettings::parse(odd));
    }
}
