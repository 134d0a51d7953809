#include "routing/customerratelimiter.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace Routing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Base::TimePoint start{seconds(1000)};
const Base::CustomerId customer("c");

/// Tokens that are let in within \a span of requests of \a tokens that come each millisecond.
double letIn(CustomerPacer &pacer, double tokens, Base::TimePoint from, Base::Duration span)
{
    double sum = 0;
    for (Base::TimePoint now = from; now < from + span; now += milliseconds(1)) {
        if (!pacer.mayPass(customer, now))
            continue;
        pacer.charge(customer, tokens, now);
        sum += tokens;
    }
    return sum;
}

} // namespace

TEST_CASE("a customer is let in at its rate, whatever the size of its requests", "[routing]")
{
    // Guards against large requests that are passed over, and small ones that slip through.
    rc::prop("in ten seconds it is the rate within one request and what may come at once", [] {
        const double rate = *rc::gen::inRange(1000, 400000);
        const double tokens = *rc::gen::inRange(100, 60000);
        CustomerPacer pacer;
        pacer.setRates({{customer, rate}}, start);
        const double sum = letIn(pacer, tokens, start, seconds(10));
        RC_ASSERT(sum >= rate * 9.9 - tokens);
        RC_ASSERT(sum <= rate * 10.7 + tokens);
    });
}

TEST_CASE("who has no rate is let in", "[routing]")
{
    CustomerPacer pacer;
    CHECK(pacer.mayPass(customer, start));
    pacer.setRates({{customer, 1000}}, start);
    pacer.charge(customer, 50000, start);
    CHECK_FALSE(pacer.mayPass(customer, start + seconds(1)));
    pacer.setRates({}, start + seconds(1));
    CHECK(pacer.mayPass(customer, start + seconds(1)));
}

TEST_CASE("a flood that was let in before is not held against its customer for long", "[routing]")
{
    // Guards against debt of several seconds, for which a customer would get nothing.
    CustomerPacer pacer;
    pacer.setRates({{customer, 10000}}, start);
    for (int i = 0; i < 20; ++i)
        pacer.charge(customer, 5000, start);
    CHECK_FALSE(pacer.mayPass(customer, start + milliseconds(900)));
    CHECK(pacer.mayPass(customer, start + milliseconds(1100)));
}

TEST_CASE("what was let in and not served is given back", "[routing]")
{
    CustomerPacer pacer;
    pacer.setRates({{customer, 10000}}, start);
    pacer.charge(customer, 8000, start);
    CHECK_FALSE(pacer.mayPass(customer, start));
    pacer.charge(customer, -8000, start);
    CHECK(pacer.mayPass(customer, start));
}
