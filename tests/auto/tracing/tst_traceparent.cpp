#include "tracing/traceparent.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using Tracing::TraceParent;

namespace {

const std::string good = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";

std::string replaced(std::size_t place, const std::string &text)
{
    return std::string(good).replace(place, text.size(), text);
}

} // namespace

TEST_CASE("A traceparent is read and written back the same")
{
    const auto parent = TraceParent::parse(good);
    REQUIRE(parent);
    CHECK(*parent == TraceParent{0x0af7651916cd43dd, 0x8448eb211c80319c, 0xb7ad6b7169203331, 1});
    CHECK(toString(*parent) == good);
    rc::prop("any ids",
             [](std::uint64_t high, std::uint64_t low, std::uint64_t span, std::uint8_t flags) {
                 RC_PRE((high != 0 || low != 0) && span != 0);
                 const TraceParent written{high, low, span, flags};
                 RC_ASSERT(TraceParent::parse(toString(written)).value() == written);
             });
}

TEST_CASE("A later version is read as far as it is known")
{
    CHECK(TraceParent::parse(replaced(0, "01")));
    CHECK(TraceParent::parse(replaced(0, "cc") + "-what-comes"));
    CHECK_FALSE(TraceParent::parse(replaced(0, "cc") + "."));
    CHECK_FALSE(TraceParent::parse(good + "-more"));
    CHECK_FALSE(TraceParent::parse(replaced(0, "ff")));
}

TEST_CASE("Malformed headers are refused")
{
    CHECK_FALSE(TraceParent::parse(""));
    CHECK_FALSE(TraceParent::parse(good.substr(0, 54)));
    CHECK_FALSE(TraceParent::parse(replaced(3, "0AF7")));
    CHECK_FALSE(TraceParent::parse(replaced(35, "_")));
    CHECK_FALSE(TraceParent::parse(replaced(53, " 1")));
    CHECK_FALSE(TraceParent::parse(replaced(36, std::string(16, '0'))));
    CHECK_FALSE(TraceParent::parse(replaced(3, std::string(32, '0'))));
}

TEST_CASE("Any bytes are safe, and what is read can be written")
{
    rc::prop("of no form", [](const std::string &text) { (void)TraceParent::parse(text); });
    rc::prop("a header with a byte changed", [] {
        const auto place = *rc::gen::inRange<std::size_t>(0, good.size());
        const std::string text = replaced(place, std::string(1, *rc::gen::arbitrary<char>()));
        const auto parent = TraceParent::parse(text);
        if (parent && text.rfind("00", 0) == 0)
            RC_ASSERT(toString(*parent) == text);
    });
}
