#include "gateway/routedurations.h"
#include "gateway/shutdownschedule.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <vector>

using namespace Gateway;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Base::TimePoint signalledAt{seconds(100)};
constexpr Base::Duration grace = seconds(8);
constexpr Base::Duration step = milliseconds(5);

Base::TimePoint at(Base::Duration age)
{
    return signalledAt + age;
}

ExpectedWork plain(Base::Duration age, Base::Duration timeout,
                   std::optional<Base::Duration> usual = {})
{
    return {at(age) + timeout, usual, false};
}

/// How the requests fared that callers sent after the signal until the process was gone.
struct Fates
{
    int answered = 0;
    int refused = 0;
    /// Ended by the failure that says that the request may have run.
    int unknown = 0;
    /// Open when the process stopped.
    int lost = 0;
    Base::Duration stoppedAfter{};
};

/// Replays callers who send one request after the other until the process is gone; a request takes
/// \a work after the signal, and took \a workBefore.
Fates replay(int callers, Base::Duration work, Base::Duration workBefore, Base::Duration timeout)
{
    const ShutdownSchedule schedule(signalledAt, grace);
    RouteDurations durations;
    for (int i = 0; i < 200; ++i)
        durations.record("once", workBefore);
    Fates fates;
    std::vector<std::optional<Base::TimePoint>> endsAt(static_cast<std::size_t>(callers));
    for (Base::TimePoint now = signalledAt; now < signalledAt + grace; now += step) {
        const auto open = [&] {
            return std::ranges::count_if(endsAt, [](auto &it) { return !!it; });
        };
        for (auto &it : endsAt) {
            if (it && now >= *it) {
                it.reset();
                ++fates.answered;
                durations.record("once", work);
            }
            if (it && schedule.endsOpenRequests(now)) {
                it.reset();
                ++fates.unknown;
            }
        }
        if (schedule.isOver(open() == 0, now)) {
            fates.stoppedAfter = now - signalledAt;
            fates.lost = static_cast<int>(open());
            return fates;
        }
        for (std::size_t i = 0; i < endsAt.size(); ++i) {
            if (endsAt[i])
                continue;
            const ExpectedWork expected{now + timeout, durations.longest("once"), false};
            if (schedule.accepts(expected, now))
                endsAt[i] = now + std::min(work + step * static_cast<int>(i % 7), timeout);
            else
                ++fates.refused;
        }
    }
    fates.lost = -1;
    return fates;
}

} // namespace

TEST_CASE("callers that stay do not keep a leaving host from ending all requests", "[gateway]")
{
    // Guards against requests that are open when the process stops, since it never stops taking new
    // ones: under load there is no moment at which nothing is open.
    const Fates fates = replay(24, milliseconds(60), milliseconds(60), seconds(2));
    CHECK(fates.lost == 0);
    CHECK(fates.unknown == 0);
    CHECK(fates.stoppedAfter < milliseconds(5500));
    // Callers that still have the old list are served until it has expired everywhere.
    CHECK(fates.answered > 24 * 5000 / 100);
}

TEST_CASE("requests that outlast a shutdown are told that they may have run", "[gateway]")
{
    const Fates fates = replay(24, seconds(8), milliseconds(60), seconds(10));
    CHECK(fates.lost == 0);
    CHECK(fates.answered == 0);
    CHECK(fates.unknown == 24);
    CHECK(fates.stoppedAfter <= milliseconds(7300));
}

TEST_CASE("whatever requests take, none is open when the process stops", "[gateway]")
{
    rc::check([] {
        const auto work = milliseconds(*rc::gen::inRange(1, 12000));
        const auto before = milliseconds(*rc::gen::inRange(1, 12000));
        const auto timeout = milliseconds(*rc::gen::inRange(100, 12000));
        const Fates fates = replay(*rc::gen::inRange(1, 30), work, before, timeout);
        RC_ASSERT(fates.lost == 0);
        RC_ASSERT(fates.stoppedAfter <= milliseconds(7300));
        // A request that surely ends in time is never ended by a failure.
        if (timeout <= seconds(2))
            RC_ASSERT(fates.unknown == 0);
    });
}

TEST_CASE("a leaving host takes what ends before the process does", "[gateway]")
{
    const ShutdownSchedule schedule(signalledAt, grace);
    CHECK(schedule.accepts(plain(seconds(0), seconds(30)), at(seconds(0))));
    CHECK(schedule.accepts(plain(milliseconds(5100), seconds(2)), at(milliseconds(5100))));
    CHECK_FALSE(schedule.accepts(plain(milliseconds(5200), seconds(1)), at(milliseconds(5200))));
    // The timeout is long, but the route is known to be quick, or to be slow.
    CHECK_FALSE(schedule.accepts(plain(seconds(4), seconds(6)), at(seconds(4))));
    CHECK(schedule.accepts(plain(seconds(4), seconds(6), milliseconds(300)), at(seconds(4))));
    CHECK_FALSE(schedule.accepts(plain(seconds(4), seconds(6), seconds(2)), at(seconds(4))));
    // A stream may be cut off at the end, so only its timeout counts.
    CHECK(schedule.accepts({at(seconds(15)), {}, true}, at(milliseconds(2700))));
    CHECK_FALSE(schedule.accepts({at(seconds(15)), milliseconds(10), true}, at(seconds(3))));
    CHECK(schedule.accepts({at(seconds(6)), {}, true}, at(seconds(3))));
}

TEST_CASE("a leaving host without open requests stays while callers may use an old list",
          "[gateway]")
{
    const ShutdownSchedule schedule(signalledAt, grace);
    CHECK_FALSE(schedule.isOver(true, at(seconds(5))));
    CHECK(schedule.isOver(true, at(milliseconds(5300))));
    CHECK_FALSE(schedule.isOver(false, at(milliseconds(7300))));
    CHECK(schedule.isOver(false, at(milliseconds(7800))));
}

TEST_CASE("the durations of routes are the longest of the last answers", "[gateway]")
{
    RouteDurations durations;
    CHECK_FALSE(durations.longest("a").has_value());
    durations.record("a", seconds(3));
    durations.record("a", seconds(1));
    durations.record("b", seconds(9));
    CHECK(durations.longest("a") == Base::Duration(seconds(3)));
    for (int i = 0; i < 128; ++i)
        durations.record("a", seconds(1));
    CHECK(durations.longest("a") == Base::Duration(seconds(1)));
    durations.keepOnly({"a"});
    CHECK_FALSE(durations.longest("b").has_value());
}
