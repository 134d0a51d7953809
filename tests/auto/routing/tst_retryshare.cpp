#include "routing/retryshare.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <deque>

using namespace Routing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Base::TimePoint start{seconds(1000)};

struct Sent
{
    Base::TimePoint at;
    bool isRepeat = false;
};

} // namespace

TEST_CASE("the retries of all hosts together stay within the fleet's budget in every window",
          "[routing]")
{
    // Half of the servers fail, and every host wants to retry each of its requests.
    rc::prop("any span of the window's length", [] {
        const RetryAllowance allowance{0.2, 52, seconds(10)};
        const auto hosts = static_cast<std::size_t>(*rc::gen::inRange(1, 9));
        std::vector<RetryShare> shares(hosts, RetryShare(allowance));
        std::deque<Sent> sent;
        const int steps = *rc::gen::inRange(10, 400);
        Base::TimePoint now = start;
        for (int i = 0; i < steps; ++i) {
            now += milliseconds(*rc::gen::inRange(0, 200));
            RetryShare &share = shares[*rc::gen::inRange<std::size_t>(0, hosts)];
            share.recordRequest(now);
            sent.push_back({now, false});
            while (share.take(hosts, now))
                sent.push_back({now, true});
            while (now - sent.front().at > allowance.window)
                sent.pop_front();
            double requests = 0;
            double repeats = 0;
            for (const Sent &it : sent)
                ++(it.isRepeat ? repeats : requests);
            RC_ASSERT(repeats <= allowance.ratio * requests + allowance.slack);
        }
    });
}

TEST_CASE("a host has some retries before it has had any request", "[routing]")
{
    RetryShare share({0.2, 52, seconds(10)});
    CHECK(share.take(6, start));
    RetryShare none({0, 0, seconds(10)});
    CHECK_FALSE(none.take(1, start));
}
