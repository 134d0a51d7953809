#include "daemon/sseparser.h"
#include "daemon/ssewriter.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace {

using namespace Daemon;

constexpr std::size_t maxEventBytes = 100000;

std::vector<SseEvent> parse(const std::vector<std::string> &pieces)
{
    SseParser parser(maxEventBytes);
    std::vector<SseEvent> events;
    for (const std::string &piece : pieces)
        REQUIRE(parser.feed(piece, events));
    return events;
}

/// Splits \a text at arbitrary places.
std::vector<std::string> cut(const std::string &text)
{
    std::vector<std::string> pieces;
    std::size_t begin = 0;
    while (begin < text.size()) {
        const auto n = *rc::gen::inRange<std::size_t>(1, text.size() - begin + 1);
        pieces.push_back(text.substr(begin, n));
        begin += n;
    }
    return pieces;
}

std::string arbitraryData()
{
    return *rc::gen::container<std::string>(
        rc::gen::element<char>('a', ' ', ':', '\n', '{', '"', '\\', 'd'));
}

} // namespace

TEST_CASE("Events are parsed regardless of how their bytes are split")
{
    rc::prop("the parser returns the events that the writer was given", [] {
        std::string text;
        std::vector<SseEvent> written;
        const int n = *rc::gen::inRange(0, 8);
        for (int i = 0; i < n; ++i) {
            const std::string data = arbitraryData();
            const bool isNamed = *rc::gen::arbitrary<bool>();
            written.push_back({isNamed ? "error" : "", "", data});
            text += isNamed ? sseEvent("error", data) : sseEvent(data);
        }
        RC_ASSERT(parse(cut(text)) == written);
    });
    rc::prop("the line ends do not matter", [] {
        const std::string end = *rc::gen::element<std::string>("\n", "\r\n", "\r");
        const std::string text =
            "id: 7" + end + "data: a" + end + "data:b" + end + end + ": comment" + end + end;
        const std::vector<SseEvent> expected{{"", "7", "a\nb"}};
        RC_ASSERT(parse(cut(text)) == expected);
    });
}

TEST_CASE("Any bytes are safe, and an endless event is refused")
{
    rc::prop("arbitrary bytes", [](const std::string &bytes) {
        SseParser parser(64);
        std::vector<SseEvent> events;
        const bool isTaken = static_cast<bool>(parser.feed(bytes, events));
        for (const SseEvent &event : events)
            RC_ASSERT(event.data.size() <= 64U);
        RC_ASSERT(isTaken || bytes.size() > 64U);
    });
    SseParser parser(64);
    std::vector<SseEvent> events;
    CHECK_FALSE(parser.feed("data: " + std::string(65, 'x'), events));
    SseParser lines(64);
    std::string text;
    for (int i = 0; i < 20; ++i)
        text += "data: xxxxxxxx\n";
    CHECK_FALSE(lines.feed(text, events));
}
