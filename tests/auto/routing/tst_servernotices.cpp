#include "routing/servernotices.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>

using namespace Routing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Base::TimePoint start{seconds(1000)};

} // namespace

TEST_CASE("a backoff lasts until the latest end that the server asked for", "[routing]")
{
    // Guards against an answer that overtakes another one, or a shorter time in a later answer, and
    // ends a server's backoff early.
    rc::prop("any answers in any order", [] {
        const Base::ServerId server("s-1");
        ServerNotices notices;
        Base::TimePoint now = start;
        Base::TimePoint end = start;
        for (int step = 0; step < 30; ++step) {
            now += milliseconds(*rc::gen::inRange(0, 2000));
            const bool isOver = now >= end;
            const milliseconds backoff(*rc::gen::inRange(0, 5000));
            const bool isNews = notices.record(server, {backoff, false}, now);
            RC_ASSERT(isNews == (isOver && backoff > milliseconds(0)));
            if (backoff > milliseconds(0))
                end = std::max(end, now + backoff);
            const Base::TimePoint later = now + milliseconds(*rc::gen::inRange(0, 6000));
            RC_ASSERT(notices.backoffLeft(server, later)
                      == std::max(Base::Duration::zero(), end - later));
            RC_ASSERT(notices.backoffLeft(Base::ServerId("s-2"), now) == Base::Duration::zero());
        }
    });
}

TEST_CASE("a server that announces that it leaves does so for good", "[routing]")
{
    const Base::ServerId server("s-1");
    ServerNotices notices;
    CHECK_FALSE(notices.isLeaving(server));
    CHECK(notices.record(server, {{}, true}, start));
    CHECK_FALSE(notices.record(server, {{}, true}, start));
    CHECK_FALSE(notices.record(server, {{}, false}, start + seconds(100)));
    CHECK(notices.isLeaving(server));
    CHECK_FALSE(notices.isLeaving(Base::ServerId("s-2")));
}
