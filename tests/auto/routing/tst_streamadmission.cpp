#include "routing/streamadmission.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace Routing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// The result of ten seconds of load on a small host.
struct Result
{
    Base::Duration longestWait{};
    double servedTokens = 0;
    /// The processor time of the streams that were admitted after the first second.
    double promisedMilliseconds = 0;
};

/// The processor time that is available in each millisecond.
constexpr double processorShare = 0.12;

/// Returns the time until a host with a \a backlog, given in milliseconds of its processor, starts
/// on new work.
Base::Duration waitFor(double backlog)
{
    const std::chrono::duration<double, std::milli> wait(backlog / processorShare);
    return std::chrono::duration_cast<Base::Duration>(wait);
}

Work stream(std::uint32_t promptTokens, std::uint32_t outputTokens)
{
    Work work;
    work.promptTokens = promptTokens;
    work.outputTokens = outputTokens;
    return work;
}

/// Simulates a host of 0.12 cores that gets \a streamsPerSecond streams. Half of them have long
/// prompts and twenty events, the others short prompts and thirty events. A request costs 125
/// us, an event 40 us, a refusal 80 us. Connections that would wait for longer than
/// \a maxConnectionWait are not accepted.
Result simulate(int streamsPerSecond, bool isSelective,
                Base::Duration maxConnectionWait = Base::Duration::max())
{
    const Base::TimePoint firstSecondOver{seconds(101)};
    Base::TimePoint now{seconds(100)};
    StreamAdmission admission(120);
    admission.recordIdle(now);
    Result result;
    double backlog = 0;
    double due = 0;
    bool isLong = false;
    for (int i = 0; i < 10000; ++i) {
        now += milliseconds(1);
        due += streamsPerSecond / 1000.0;
        for (; due >= 1; due -= 1) {
            isLong = !isLong;
            if (waitFor(backlog) > maxConnectionWait)
                continue;
            const Work work = isLong ? stream(17000, 480) : stream(1460, 700);
            if (isSelective && !admission.admitStream(work, now)) {
                backlog += 0.08;
                continue;
            }
            const double cost = 0.125 + 0.04 * (isLong ? 20 : 30);
            backlog += cost;
            admission.recordEvents(isLong ? 20 : 30);
            if (now >= firstSecondOver)
                result.promisedMilliseconds += cost;
            result.servedTokens += work.promptTokens;
        }
        backlog -= processorShare;
        if (backlog <= 0) {
            backlog = 0;
            admission.recordIdle(now);
        }
        result.longestWait = std::max(result.longestWait, waitFor(backlog));
    }
    return result;
}

/// The processor time of the streams of two customers that were admitted after the first two
/// seconds.
struct PerCustomer
{
    double ofLong = 0;
    double ofShort = 0;
};

/// Simulates ten seconds on a host of 0.12 cores. One customer sends streams with long prompts and
/// short answers, another one streams with short prompts and long answers, each at its own rate per
/// second.
PerCustomer simulateTwo(int longPerSecond, int shortPerSecond)
{
    Base::TimePoint now{seconds(100)};
    StreamAdmission admission(120);
    admission.recordIdle(now);
    PerCustomer taken;
    double backlog = 0;
    double dueLong = 0;
    double dueShort = 0;
    for (int ms = 0; ms < 10000; ++ms) {
        now += milliseconds(1);
        dueLong += longPerSecond / 1000.0;
        dueShort += shortPerSecond / 1000.0;
        while ((dueLong >= 1 || dueShort >= 1) && waitFor(backlog) <= seconds(1)) {
            // The customers take turns at being first, since not all connections are accepted at
            // the same moment.
            const bool isLong = ms % 2 == 0 ? dueLong >= 1 : dueShort < 1;
            (isLong ? dueLong : dueShort) -= 1;
            Work work = isLong ? stream(17000, 480) : stream(1460, 700);
            work.customer = Base::CustomerId(isLong ? "long" : "short");
            if (!admission.admitStream(work, now)) {
                backlog += 0.08;
                continue;
            }
            const double cost = 0.125 + 0.04 * (isLong ? 20 : 30);
            backlog += cost;
            admission.recordEvents(isLong ? 20 : 30);
            if (ms >= 2000)
                (isLong ? taken.ofLong : taken.ofShort) += cost;
        }
        dueLong = std::min(dueLong, 1.0);
        dueShort = std::min(dueShort, 1.0);
        backlog = std::max(backlog - processorShare, 0.0);
        if (backlog <= 0)
            admission.recordIdle(now);
    }
    return taken;
}

} // namespace

TEST_CASE("a host with three times the streams that it can forward keeps its backlog short",
          "[routing]")
{
    // Guards against a host that admits every stream while a large customer's callers stay with it.
    // Its backlog then grows with every second: the streams end unfinished, and for fifteen seconds
    // nobody else can connect.
    CHECK(simulate(330, false).longestWait > seconds(10));
    CHECK(simulate(330, true).longestWait < milliseconds(1200));
}

TEST_CASE("a host that is behind admits the streams with the highest ratio of service to cost",
          "[routing]")
{
    // Guards against a host that spends its processor on the many events of small streams. A stream
    // costs 1,300 us, of which a long prompt uses 925, and the host's customer would get a tenth of
    // what others get.
    const Result result = simulate(330, true);
    // If it admitted all streams, a host that keeps up would serve 106 streams of 9,230 tokens per
    // second.
    CHECK(result.servedTokens > 1.3 * 10 * 106 * 9230);
}

TEST_CASE("a host whose refusals alone use its whole processor still serves its customer",
          "[routing]")
{
    // A large customer's callers all stay with one host of an eighth of a core. With retries they
    // send 2,400 requests per second, while seven other hosts are idle. Refusing them uses the
    // whole processor, so the host is never idle. Guards against such a host refusing all streams
    // as long as the load lasts, although the pool has capacity.
    const Result result = simulate(2400, true, seconds(1));
    // Another customer got 450,000 tokens per second. Half of that is fair, and the bound adds half
    // as much again.
    CHECK(result.servedTokens > 1.5 * 10 * 450000 / 2);
    // The admitted streams need no more than half of the host's processor.
    CHECK(result.promisedMilliseconds < 0.55 * 9000 * processorShare);
}

TEST_CASE("a host that keeps up refuses nothing", "[routing]")
{
    const Result all = simulate(90, false);
    const Result chosen = simulate(90, true);
    CHECK(all.servedTokens == chosen.servedTokens);
    CHECK(all.longestWait == chosen.longestWait);
}

TEST_CASE("a customer with short prompts and long answers gets its share of a host that is behind",
          "[routing]")
{
    // Two customers' callers stay with one host that is behind. Guards against admitting only
    // streams with a high ratio of service to cost over all customers: all streams of one customer
    // have a lower ratio than those of the other, so it would get nothing.
    const PerCustomer taken = simulateTwo(200, 100);
    CHECK(taken.ofLong > 0);
    CHECK(taken.ofShort > 0.7 * taken.ofLong);
    CHECK(taken.ofShort < 1.4 * taken.ofLong);
}

TEST_CASE("a customer that sends many more requests to a host that is behind gets no more of it",
          "[routing]")
{
    // Guards against a host that serves the customer with the most requests.
    const PerCustomer taken = simulateTwo(1500, 80);
    CHECK(taken.ofShort > 0.7 * taken.ofLong);
    const PerCustomer other = simulateTwo(80, 1500);
    CHECK(other.ofLong > 0.7 * other.ofShort);
}

TEST_CASE("a customer whose large streams are rare uses its share of a host that is behind",
          "[routing]")
{
    // Guards against a share that stays unused because few of a customer's streams have a ratio
    // above their mean.
    Base::TimePoint now{seconds(100)};
    StreamAdmission admission(120);
    admission.recordIdle(now);
    double promised = 0;
    double backlog = 0;
    for (int i = 0; i < 20000; ++i) {
        now += std::chrono::microseconds(500);
        backlog -= processorShare / 2;
        if (backlog <= 0) {
            backlog = 0;
            admission.recordIdle(now);
        }
        if (waitFor(backlog) > seconds(1))
            continue;
        const Work work = i % 100 == 0 ? stream(40000, 400) : stream(1000, 400);
        if (!admission.admitStream(work, now)) {
            backlog += 0.08;
            continue;
        }
        admission.recordEvents(20);
        backlog += 0.125 + 0.04 * 20;
        if (i >= 4000)
            promised += 0.125 + 0.04 * 20;
    }
    CHECK(promised > 0.15 * 8000 * processorShare);
}

TEST_CASE("streams that are refused for another reason use none of the promised processor time",
          "[routing]")
{
    // Guards against a host that serves nobody else during a flood that is beyond its share.
    Base::TimePoint now{seconds(100)};
    StreamAdmission admission(120);
    admission.recordIdle(now);
    now += seconds(1);
    Work flood = stream(17000, 480);
    flood.customer = Base::CustomerId("flood");
    Work small = flood;
    small.customer = Base::CustomerId("small");
    std::size_t taken = 0;
    for (int ms = 0; ms < 5000; ++ms) {
        now += milliseconds(1);
        if (admission.admitStream(flood, now))
            admission.refundStream(flood, now);
        if (ms % 100 == 0 && admission.admitStream(small, now))
            ++taken;
    }
    CHECK(taken >= 45);
}
