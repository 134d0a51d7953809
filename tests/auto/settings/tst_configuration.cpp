#include "settings/changecodec.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <string>

namespace {

using namespace Settings;

std::string randomName()
{
    return "n" + std::to_string(*rc::gen::inRange(0, 5));
}

ConfigurationChange randomChange(ConfigurationVersion version)
{
    switch (*rc::gen::inRange(0, 5)) {
    case 0:
        return {version, RemoveClass{Base::ClassId(randomName())}};
    case 1:
        return {version, RemoveCustomer{Base::CustomerId(randomName())}};
    case 2:
        return {version, Customer{Base::CustomerId(randomName()),
                                  "d" + std::to_string(*rc::gen::inRange(0, 3))}};
    case 3:
        return {version,
                ClassTarget{Base::ClassId(randomName()),
                            Base::Milliseconds(*rc::gen::inRange(1, 90000)), std::nullopt}};
    default:
        return {version, ClassTarget{Base::ClassId(randomName()), Base::Milliseconds(1000),
                                     *rc::gen::inRange(1, 100) / 100.0}};
    }
}

} // namespace

TEST_CASE("changes and whole configurations survive encoding and decoding", "[configuration]")
{
    rc::prop("round trip", [] {
        Configuration configuration;
        const auto count = *rc::gen::inRange<ConfigurationVersion>(0, 40);
        for (ConfigurationVersion version = 1; version <= count; ++version) {
            const ConfigurationChange change = randomChange(version);
            const std::string text = encodeChange(change, "r1-7-3");
            RC_ASSERT(*decodeChange(version, text) == change);
            RC_ASSERT(tokenOf(text) == "r1-7-3");
            RC_ASSERT(tokenOf(encodeChange(change)).empty());
            RC_ASSERT(configuration.apply(change));
            RC_ASSERT(!configuration.apply(change));
        }
        const Configuration decoded = *decodeConfiguration(encodeConfiguration(configuration));
        RC_ASSERT(decoded.version() == configuration.version());
        RC_ASSERT(decoded.targets() == configuration.targets());
        RC_ASSERT(decoded.customers() == configuration.customers());
    });
}

TEST_CASE("a row or an object with any bytes can be decoded safely", "[configuration]")
{
    rc::prop("corrupted text gives a typed error or a change", [] {
        std::string text = *rc::gen::element<std::string>(
            encodeChange(randomChange(1), "token"),
            R"({"version":3,"entries":[{"version":2,"kind":"target"}]})",
            R"({"version":-1,"entries":[7]})", R"({"entries":{}})");
        const int changes = *rc::gen::inRange(0, 4);
        for (int i = 0; i < changes && !text.empty(); ++i)
            text[*rc::gen::inRange<std::size_t>(0, text.size())] = *rc::gen::arbitrary<char>();
        text.resize(*rc::gen::inRange<std::size_t>(0, text.size() + 1));
        const auto change = decodeChange(1, text);
        if (change)
            RC_ASSERT(change->version == 1u);
        const auto configuration = decodeConfiguration(text);
        if (configuration)
            RC_ASSERT(configuration->version() <= 9u);
        tokenOf(text);
    });
}

TEST_CASE("bytes of a name that are not UTF-8 are replaced when it is encoded", "[configuration]")
{
    const ConfigurationChange change{1, ClassTarget{Base::ClassId("a\xff"), {}, std::nullopt}};
    const auto decoded = decodeChange(1, encodeChange(change));
    REQUIRE(decoded);
    CHECK(std::get<ClassTarget>(decoded->what).name == Base::ClassId("a\xEF\xBF\xBD"));
}

// Guards against a customer that is locked out because another customer, which had been given the
// same key by mistake, is removed.
TEST_CASE("a key digest stays with the customer that was given the key last", "[configuration]")
{
    Configuration configuration;
    configuration.apply({1, Customer{Base::CustomerId("a"), "d"}});
    configuration.apply({2, Customer{Base::CustomerId("b"), "d"}});
    configuration.apply({3, RemoveCustomer{Base::CustomerId("a")}});
    REQUIRE(configuration.customerByKeyDigest("d"));
    CHECK(configuration.customerByKeyDigest("d")->id == Base::CustomerId("b"));
    configuration.apply({4, Customer{Base::CustomerId("b"), "e"}});
    CHECK_FALSE(configuration.customerByKeyDigest("d"));
    CHECK(configuration.customerByKeyDigest("e"));
}

TEST_CASE("change keys sort like versions and can be parsed", "[configuration]")
{
    rc::prop("keys", [] {
        const auto a = *rc::gen::inRange<ConfigurationVersion>(1, 1ull << 50);
        const auto b = *rc::gen::inRange<ConfigurationVersion>(1, 1ull << 50);
        RC_ASSERT((changeKey(a) < changeKey(b)) == (a < b));
        RC_ASSERT(versionOfKey(changeKey(a)) == a);
    });
    CHECK(versionOfKey("config/change/12x") == 0);
    CHECK(versionOfKey("config/head") == 0);
}
