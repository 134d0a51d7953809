#include "routing/customerratelimiter.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace Routing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Base::TimePoint start{seconds(1000)};
const Base::CustomerId customer("c");

/// Returns the tokens that are admitted within \a span if a request of \a tokens arrives each
/// millisecond.
double admittedTokens(CustomerRateLimiter &limiter, double tokens, Base::TimePoint from,
                      Base::Duration span)
{
    double sum = 0;
    for (Base::TimePoint now = from; now < from + span; now += milliseconds(1)) {
        if (!limiter.isAllowed(customer, now))
            continue;
        limiter.charge(customer, tokens, now);
        sum += tokens;
    }
    return sum;
}

} // namespace

TEST_CASE("a customer is admitted at its rate, whatever the size of its requests", "[routing]")
{
    // Guards against large requests that are starved, and small ones that exceed the rate.
    rc::prop("the total of ten seconds is the rate, give or take one request and the credit", [] {
        const double rate = *rc::gen::inRange(1000, 400000);
        const double tokens = *rc::gen::inRange(100, 60000);
        CustomerRateLimiter limiter;
        limiter.setRates({{customer, rate}}, start);
        const double sum = admittedTokens(limiter, tokens, start, seconds(10));
        RC_ASSERT(sum >= rate * 9.9 - tokens);
        RC_ASSERT(sum <= rate * 10.7 + tokens);
    });
}

TEST_CASE("a customer without a rate is admitted", "[routing]")
{
    CustomerRateLimiter limiter;
    CHECK(limiter.isAllowed(customer, start));
    limiter.setRates({{customer, 1000}}, start);
    limiter.charge(customer, 50000, start);
    CHECK_FALSE(limiter.isAllowed(customer, start + seconds(1)));
    limiter.setRates({}, start + seconds(1));
    CHECK(limiter.isAllowed(customer, start + seconds(1)));
}

TEST_CASE("the debt of a flood that was admitted earlier is limited", "[routing]")
{
    // Guards against a debt of several seconds, during which a customer would get nothing.
    CustomerRateLimiter limiter;
    limiter.setRates({{customer, 10000}}, start);
    for (int i = 0; i < 20; ++i)
        limiter.charge(customer, 5000, start);
    CHECK_FALSE(limiter.isAllowed(customer, start + milliseconds(900)));
    CHECK(limiter.isAllowed(customer, start + milliseconds(1100)));
}

TEST_CASE("the charge of a request that is not served is refunded", "[routing]")
{
    CustomerRateLimiter limiter;
    limiter.setRates({{customer, 10000}}, start);
    limiter.charge(customer, 8000, start);
    CHECK_FALSE(limiter.isAllowed(customer, start));
    limiter.charge(customer, -8000, start);
    CHECK(limiter.isAllowed(customer, start));
}

TEST_CASE("what a customer got before it was limited counts, but for a second and a half at most",
          "[routing]")
{
    constexpr double rate = 1000;
    for (const auto &[earlier, wait] : {std::pair(500.0, 250), std::pair(90000.0, 1500)}) {
        CustomerRateLimiter limiter;
        limiter.setRates({{customer, rate}}, start);
        limiter.chargeEarlier(customer, earlier);
        CHECK_FALSE(limiter.isAllowed(customer, start + milliseconds(wait - 10)));
        CHECK(limiter.isAllowed(customer, start + milliseconds(wait + 10)));
    }
}
