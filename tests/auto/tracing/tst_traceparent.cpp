#include "tracing/traceparent.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using Tracing::TraceParent;

namespace {

const std::string validHeader = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";

std::string replaced(std::size_t offset, const std::string &text)
{
    return std::string(validHeader).replace(offset, text.size(), text);
}

} // namespace

TEST_CASE("A traceparent header survives parsing and formatting")
{
    const auto parent = TraceParent::parse(validHeader);
    REQUIRE(parent);
    CHECK(*parent == TraceParent{0x0af7651916cd43dd, 0x8448eb211c80319c, 0xb7ad6b7169203331, 1});
    CHECK(toString(*parent) == validHeader);
    rc::prop("any ids",
             [](std::uint64_t high, std::uint64_t low, std::uint64_t span, std::uint8_t flags) {
                 RC_PRE((high != 0 || low != 0) && span != 0);
                 const TraceParent written{high, low, span, flags};
                 RC_ASSERT(TraceParent::parse(toString(written)).value() == written);
             });
}

TEST_CASE("The known fields of a later version are parsed")
{
    CHECK(TraceParent::parse(replaced(0, "01")));
    CHECK(TraceParent::parse(replaced(0, "cc") + "-what-comes"));
    CHECK_FALSE(TraceParent::parse(replaced(0, "cc") + "."));
    CHECK_FALSE(TraceParent::parse(validHeader + "-more"));
    CHECK_FALSE(TraceParent::parse(replaced(0, "ff")));
}

TEST_CASE("Malformed headers are rejected")
{
    CHECK_FALSE(TraceParent::parse(""));
    CHECK_FALSE(TraceParent::parse(validHeader.substr(0, 54)));
    CHECK_FALSE(TraceParent::parse(replaced(3, "0AF7")));
    CHECK_FALSE(TraceParent::parse(replaced(35, "_")));
    CHECK_FALSE(TraceParent::parse(replaced(53, " 1")));
    CHECK_FALSE(TraceParent::parse(replaced(36, std::string(16, '0'))));
    CHECK_FALSE(TraceParent::parse(replaced(3, std::string(32, '0'))));
}

TEST_CASE("Any bytes can be parsed safely, and a parsed header is formatted unchanged")
{
    rc::prop("arbitrary bytes", [](const std::string &text) { (void)TraceParent::parse(text); });
    rc::prop("a header with a byte changed", [] {
        const auto offset = *rc::gen::inRange<std::size_t>(0, validHeader.size());
        const std::string text = replaced(offset, std::string(1, *rc::gen::arbitrary<char>()));
        const auto parent = TraceParent::parse(text);
        if (parent && text.rfind("00", 0) == 0)
            RC_ASSERT(toString(*parent) == text);
    });
}
