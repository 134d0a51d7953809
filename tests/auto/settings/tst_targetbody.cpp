#include "settings/targetbody.h"
#include "support/settingsfaults.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace {

const Base::ClassId chat("chat");

std::vector<Settings::SettingsFault> faultsOf(const std::string &body)
{
    return Support::faultsOf([&] { return Settings::parseTargetBody(chat, body); });
}

} // namespace

TEST_CASE("A target is parsed with and without a claim")
{
    const auto withClaim = Settings::parseTargetBody(chat, R"({"startWithinMs":800,"claim":0.25})");
    REQUIRE(withClaim);
    CHECK(*withClaim == Settings::ClassTarget{chat, Base::Milliseconds(800), 0.25});
    const auto withoutClaim = Settings::parseTargetBody(chat, R"({"startWithinMs":800})");
    REQUIRE(withoutClaim);
    CHECK_FALSE(withoutClaim->claim);
}

TEST_CASE("All faults of a target are reported")
{
    const auto faults = faultsOf(R"({"startWithinMs":0,"claim":1.5,"weight":2})");
    REQUIRE(faults.size() == 3);
    CHECK(faults[0].pointer == "/startWithinMs");
    CHECK(faults[1].pointer == "/claim");
    CHECK(faults[2].pointer == "/weight");
    CHECK(faultsOf("{}").at(0).pointer == "/startWithinMs");
    for (const std::string claim : {"0", "-0.1", "1.0001", "\"half\"", "true"})
        CHECK(faultsOf("{\"startWithinMs\":1,\"claim\":" + claim + "}").size() == 1);
}

TEST_CASE("Any bytes give typed faults or a target that is in range")
{
    rc::prop("any bytes", [](const std::string &body) { faultsOf(body); });
    rc::prop("any numbers", [](std::int64_t start, double claim) {
        const auto target =
            Settings::parseTargetBody(chat, "{\"startWithinMs\":" + std::to_string(start)
                                                + ",\"claim\":" + std::to_string(claim) + "}");
        if (!target)
            return;
        RC_ASSERT(target->startWithin.count() == start && start > 0);
        RC_ASSERT(*target->claim > 0 && *target->claim <= 1);
    });
}
