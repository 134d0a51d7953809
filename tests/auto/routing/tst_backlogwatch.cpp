#include "routing/backlogwatch.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace Routing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// What a small host made of ten seconds of load.
struct Outcome
{
    Base::Duration longestWait{};
    double servedTokens = 0;
};

Work stream(std::uint32_t promptTokens, std::uint32_t outputTokens)
{
    Work work;
    work.promptTokens = promptTokens;
    work.outputTokens = outputTokens;
    return work;
}

/// \a streamsPerSecond streams a second, half of them with long prompts and twenty events and half
/// with short prompts and thirty, come to a host of 0.12 cores. A request takes 125 us, an event
/// 40 us, a refusal 80 us.
Outcome play(int streamsPerSecond, bool chooses)
{
    constexpr double millisecondsOfProcessor = 0.12;
    Base::TimePoint now{seconds(100)};
    BacklogWatch watch;
    watch.noteIdle(now);
    Outcome outcome;
    double backlog = 0;
    double due = 0;
    bool isLong = false;
    for (int i = 0; i < 10000; ++i) {
        now += milliseconds(1);
        due += streamsPerSecond / 1000.0;
        for (; due >= 1; due -= 1) {
            isLong = !isLong;
            const Work work = isLong ? stream(17000, 480) : stream(1460, 700);
            if (chooses && !watch.takesStream(work, now)) {
                backlog += 0.08;
                continue;
            }
            backlog += 0.125 + 0.04 * (isLong ? 20 : 30);
            outcome.servedTokens += work.promptTokens;
        }
        backlog -= millisecondsOfProcessor;
        if (backlog <= 0) {
            backlog = 0;
            watch.noteIdle(now);
        }
        const std::chrono::duration<double, std::milli> wait(backlog / millisecondsOfProcessor);
        outcome.longestWait =
            std::max(outcome.longestWait, std::chrono::duration_cast<Base::Duration>(wait));
    }
    return outcome;
}

} // namespace

TEST_CASE("a host with three times the streams that it can forward stays near its callers",
          "[routing]")
{
    // A large customer's callers stay with one host of an eighth of a core. Their streams end
    // unfinished, and for fifteen seconds nobody else can even connect. Cause: the host took in
    // whatever came, and its backlog grew with every second.
    CHECK(play(330, false).longestWait > seconds(10));
    CHECK(play(330, true).longestWait < milliseconds(1200));
}

TEST_CASE("a host that is behind takes the streams that serve most for their cost", "[routing]")
{
    // The same customer gets a tenth of what others get. Cause: its host spent its processor on
    // many events of small work; of its 1,300 us a stream a long prompt takes 925.
    const Outcome outcome = play(330, true);
    // Taken as they come, a host that keeps up serves 106 streams a second of 9,230 tokens.
    CHECK(outcome.servedTokens > 1.3 * 10 * 106 * 9230);
}

TEST_CASE("a host that keeps up refuses nothing", "[routing]")
{
    const Outcome all = play(90, false);
    const Outcome chosen = play(90, true);
    CHECK(all.servedTokens == chosen.servedTokens);
    CHECK(all.longestWait == chosen.longestWait);
}
