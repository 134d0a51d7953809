#include "routing/streamadmission.h"

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
    /// Of the processor, that the streams take which were taken after the first second.
    double promisedMilliseconds = 0;
};

/// Of each millisecond.
constexpr double millisecondsOfProcessor = 0.12;

/// Until a host with \a backlog, in milliseconds of its processor, gets to what comes now.
Base::Duration waitFor(double backlog)
{
    const std::chrono::duration<double, std::milli> wait(backlog / millisecondsOfProcessor);
    return std::chrono::duration_cast<Base::Duration>(wait);
}

Work stream(std::uint32_t promptTokens, std::uint32_t outputTokens)
{
    Work work;
    work.promptTokens = promptTokens;
    work.outputTokens = outputTokens;
    return work;
}

/// \a streamsPerSecond streams a second, half of them with long prompts and twenty events and half
/// with short prompts and thirty, come to a host of 0.12 cores. A request takes 125 us, an event
/// 40 us, a refusal 80 us. Connections that would wait for longer than \a callersWait are not
/// accepted any more.
Outcome play(int streamsPerSecond, bool chooses, Base::Duration callersWait = Base::Duration::max())
{
    const Base::TimePoint firstSecondOver{seconds(101)};
    Base::TimePoint now{seconds(100)};
    StreamAdmission watch(120);
    watch.recordIdle(now);
    Outcome outcome;
    double backlog = 0;
    double due = 0;
    bool isLong = false;
    for (int i = 0; i < 10000; ++i) {
        now += milliseconds(1);
        due += streamsPerSecond / 1000.0;
        for (; due >= 1; due -= 1) {
            isLong = !isLong;
            if (waitFor(backlog) > callersWait)
                continue;
            const Work work = isLong ? stream(17000, 480) : stream(1460, 700);
            if (chooses && !watch.admitStream(work, now)) {
                backlog += 0.08;
                continue;
            }
            const double cost = 0.125 + 0.04 * (isLong ? 20 : 30);
            backlog += cost;
            watch.recordEvents(isLong ? 20 : 30);
            if (now >= firstSecondOver)
                outcome.promisedMilliseconds += cost;
            outcome.servedTokens += work.promptTokens;
        }
        backlog -= millisecondsOfProcessor;
        if (backlog <= 0) {
            backlog = 0;
            watch.recordIdle(now);
        }
        outcome.longestWait = std::max(outcome.longestWait, waitFor(backlog));
    }
    return outcome;
}

/// Processor time that streams of two customers took which were taken after the first two seconds.
struct PerCustomer
{
    double ofLong = 0;
    double ofShort = 0;
};

/// For ten seconds one customer sends streams with long prompts and short answers to a host of
/// 0.12 cores, and another one streams with short prompts and long answers, each so many a second.
PerCustomer playTwo(int longPerSecond, int shortPerSecond)
{
    Base::TimePoint now{seconds(100)};
    StreamAdmission watch(120);
    watch.recordIdle(now);
    PerCustomer taken;
    double backlog = 0;
    double dueLong = 0;
    double dueShort = 0;
    for (int ms = 0; ms < 10000; ++ms) {
        now += milliseconds(1);
        dueLong += longPerSecond / 1000.0;
        dueShort += shortPerSecond / 1000.0;
        while ((dueLong >= 1 || dueShort >= 1) && waitFor(backlog) <= seconds(1)) {
            // Who is first takes turns: at one moment not all are accepted.
            const bool isLong = ms % 2 == 0 ? dueLong >= 1 : dueShort < 1;
            (isLong ? dueLong : dueShort) -= 1;
            Work work = isLong ? stream(17000, 480) : stream(1460, 700);
            work.customer = Base::CustomerId(isLong ? "long" : "short");
            if (!watch.admitStream(work, now)) {
                backlog += 0.08;
                continue;
            }
            const double cost = 0.125 + 0.04 * (isLong ? 20 : 30);
            backlog += cost;
            watch.recordEvents(isLong ? 20 : 30);
            if (ms >= 2000)
                (isLong ? taken.ofLong : taken.ofShort) += cost;
        }
        dueLong = std::min(dueLong, 1.0);
        dueShort = std::min(dueShort, 1.0);
        backlog = std::max(backlog - millisecondsOfProcessor, 0.0);
        if (backlog <= 0)
            watch.recordIdle(now);
    }
    return taken;
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

TEST_CASE("a host whose refusals alone fill its processor still serves its customer", "[routing]")
{
    // A large customer's callers all stay with one host of an eighth of a core: 2,400 requests a
    // second with those that come back, while seven other hosts are idle. Callers see nothing but
    // refusals for as long as it lasts, though the pool has room. Cause: refusing them fills the
    // processor, so the host is never idle, and a host that is behind took no streams.
    const Outcome outcome = play(2400, true, seconds(1));
    // Another customer got 450,000 tokens a second. Fair is half of that; half again is the room.
    CHECK(outcome.servedTokens > 1.5 * 10 * 450000 / 2);
    // And those that it takes are not promised more than half of its processor can forward.
    CHECK(outcome.promisedMilliseconds < 0.55 * 9000 * millisecondsOfProcessor);
}

TEST_CASE("a host that keeps up refuses nothing", "[routing]")
{
    const Outcome all = play(90, false);
    const Outcome chosen = play(90, true);
    CHECK(all.servedTokens == chosen.servedTokens);
    CHECK(all.longestWait == chosen.longestWait);
}

TEST_CASE("a customer with short prompts and long answers is not the one passed over", "[routing]")
{
    // Two customers' callers stay with one host that is behind. One of them gets nothing for as
    // long as that lasts. Cause: only streams that serve most for their cost were taken, and all of
    // its streams serve less than the other's.
    const PerCustomer taken = playTwo(200, 100);
    CHECK(taken.ofLong > 0);
    CHECK(taken.ofShort > 0.7 * taken.ofLong);
    CHECK(taken.ofShort < 1.4 * taken.ofLong);
}

TEST_CASE("a customer that asks ten times as much at a host that is behind gets no more",
          "[routing]")
{
    // Guards against a host that serves whoever asks most often.
    const PerCustomer taken = playTwo(1500, 80);
    CHECK(taken.ofShort > 0.7 * taken.ofLong);
    const PerCustomer other = playTwo(80, 1500);
    CHECK(other.ofLong > 0.7 * other.ofShort);
}

TEST_CASE("a customer whose large streams are rare uses its part of a host that is behind",
          "[routing]")
{
    // Guards against a part that is left unused: few of its streams serve more than their mean.
    Base::TimePoint now{seconds(100)};
    StreamAdmission watch(120);
    watch.recordIdle(now);
    double promised = 0;
    double backlog = 0;
    for (int i = 0; i < 20000; ++i) {
        now += std::chrono::microseconds(500);
        backlog -= millisecondsOfProcessor / 2;
        if (backlog <= 0) {
            backlog = 0;
            watch.recordIdle(now);
        }
        if (waitFor(backlog) > seconds(1))
            continue;
        const Work work = i % 100 == 0 ? stream(40000, 400) : stream(1000, 400);
        if (!watch.admitStream(work, now)) {
            backlog += 0.08;
            continue;
        }
        watch.recordEvents(20);
        backlog += 0.125 + 0.04 * 20;
        if (i >= 4000)
            promised += 0.125 + 0.04 * 20;
    }
    CHECK(promised > 0.15 * 8000 * millisecondsOfProcessor);
}

TEST_CASE("streams that are refused for another reason take nothing of what a host promises",
          "[routing]")
{
    // Guards against a host that serves nobody beside a flood that is beyond its share.
    Base::TimePoint now{seconds(100)};
    StreamAdmission watch(120);
    watch.recordIdle(now);
    now += seconds(1);
    Work flood = stream(17000, 480);
    flood.customer = Base::CustomerId("flood");
    Work small = flood;
    small.customer = Base::CustomerId("small");
    std::size_t taken = 0;
    for (int ms = 0; ms < 5000; ++ms) {
        now += milliseconds(1);
        if (watch.admitStream(flood, now))
            watch.refundStream(flood, now);
        if (ms % 100 == 0 && watch.admitStream(small, now))
            ++taken;
    }
    CHECK(taken >= 45);
}
