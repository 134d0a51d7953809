#include "settings/changecodec.h"
#include "settings/processsettings.h"
#include "settings/targetbody.h"
#include "support/oddbytes.h"

#include <catch2/catch.hpp>

using namespace Settings;

// Guards against a row of another writer that ends the router.
TEST_CASE("changes and configurations with odd values are malformed", "[settings]")
{
    const std::string change = encodeChange({1, RemoveClass{Base::ClassId("c")}}, "token");
    REQUIRE(decodeChange(1, change));
    for (const std::string &odd : oddTexts(change)) {
        CHECK_FALSE(decodeChange(1, odd));
        CHECK(tokenOf(odd).empty());
    }
    for (const std::string &odd : oddTexts(encodeConfiguration({})))
        CHECK_FALSE(decodeConfiguration(odd));
}

// Guards against a text with an odd value that ends the process.
TEST_CASE("settings and targets with odd values are refused", "[settings]")
{
    const std::string target = R"({"startWithinMs":500})";
    REQUIRE(parseTargetBody(Base::ClassId("c"), target));
    for (const std::string &odd : oddTexts(target)) {
        CHECK_FALSE(parseTargetBody(Base::ClassId("c"), odd));
        CHECK_FALSE(ProcessSettings::parse(odd));
    }
    // A value that a message describes.
    CHECK_FALSE(parseTargetBody(Base::ClassId("c"),
                                R"({"startWithinMs":)" + deepText(endlessLevels) + "}"));
}
