#include "routing/backlogwatch.h"

#include <catch2/catch.hpp>

using namespace Routing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// A host that can do \a perSecond units of work, given \a arriving units a second, a fifth of which
/// a refusal costs as well. Returns the longest time that work waited, over ten seconds.
Base::Duration longestWait(double perSecond, double arriving, bool refuses)
{
    constexpr double step = 0.005;
    Base::TimePoint now{seconds(100)};
    BacklogWatch watch;
    watch.noteIdle(now);
    double backlog = 0;
    double longest = 0;
    for (int i = 0; i < 2000; ++i) {
        now += milliseconds(5);
        const bool isRefused = refuses && watch.isBehind(now);
        backlog += arriving * step * (isRefused ? 0.2 : 1);
        backlog -= perSecond * step;
        if (backlog <= 0) {
            backlog = 0;
            watch.noteIdle(now);
        }
        longest = std::max(longest, backlog / perSecond);
    }
    return std::chrono::duration_cast<Base::Duration>(std::chrono::duration<double>(longest));
}

} // namespace

TEST_CASE("a host with four times the load that it can forward stays near its callers", "[routing]")
{
    // A large customer's callers stay with one host of an eighth of a core. Their streams end
    // unfinished, and for fifteen seconds nobody else can even connect. Cause: the host took in
    // whatever came, and its backlog grew with every second.
    CHECK(longestWait(100, 400, false) > seconds(10));
    CHECK(longestWait(100, 400, true) < milliseconds(700));
}

TEST_CASE("a host that keeps up refuses nothing", "[routing]")
{
    const Base::Duration wait = longestWait(100, 90, false);
    CHECK(wait == longestWait(100, 90, true));
}
