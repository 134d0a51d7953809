#include "routing/customershares.h"
#include "routing/decayingsum.h"
#include "routing/unmetdemand.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <string>
#include <vector>

using namespace Routing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Base::TimePoint start{seconds(1000)};
constexpr Base::Duration interval = milliseconds(100);

/// A fleet's sums of one customer, which asks for and gets constant rates.
class Sums
{
public:
    explicit Sums(const std::string &customer)
        : m_customer(customer)
    {}

    void add(double asked, double begun, Base::TimePoint now)
    {
        m_asked.add(m_customer, asked, now);
        m_begun.add(m_customer, begun, now);
    }
    double asked(Base::TimePoint now) const { return m_asked.value(m_customer, now); }
    double begun(Base::TimePoint now) const { return m_begun.value(m_customer, now); }
    const Base::CustomerId &customer() const { return m_customer; }

private:
    Base::CustomerId m_customer;
    DecayingSum m_asked;
    DecayingSum m_begun;
};

/// Lets \a sums grow by constant rates for \a time, and records them in \a unmet.
void pass(UnmetDemand &unmet, Sums &sums, double askedRate, double begunRate, Base::Duration time,
          Base::TimePoint &now)
{
    const double step = std::chrono::duration<double>(interval).count();
    for (const Base::TimePoint end = now + time; now < end; now += interval) {
        sums.add(askedRate * step, begunRate * step, now);
        unmet.update(
            {{sums.customer(), sums.asked(now)}},
            [&](const Base::CustomerId &) { return sums.begun(now); }, now);
    }
}

} // namespace

TEST_CASE("a customer that lacks service counts while it does, and not after its flood",
          "[routing]")
{
    // Guards against customers that hold the others down for seconds after their floods have ended.
    rc::prop("it counts after two seconds of a flood, and not two seconds after its end", [] {
        const double asked = *rc::gen::inRange(200000, 10000000);
        const double begun = asked * *rc::gen::inRange(0, 60) / 100.0;
        UnmetDemand unmet;
        Sums sums("floods");
        Base::TimePoint now = start;
        pass(unmet, sums, asked, begun, seconds(2), now);
        RC_ASSERT(unmet.customer() == sums.customer());
        RC_ASSERT(unmet.level() == sums.begun(now - interval));
        pass(unmet, sums, 1000, 1000, seconds(2), now);
        RC_ASSERT(unmet.customer().isEmpty());
    });
}

TEST_CASE("a customer that gets most of what it asks for does not count", "[routing]")
{
    rc::prop("nine tenths are enough", [] {
        const double asked = *rc::gen::inRange(1000, 10000000);
        UnmetDemand unmet;
        Sums sums("served");
        Base::TimePoint now = start;
        pass(unmet, sums, asked, asked * 0.9, seconds(5), now);
        RC_ASSERT(unmet.customer().isEmpty());
    });
}

TEST_CASE("a customer of which there is no news does not count", "[routing]")
{
    // Guards against late reports, whose sums stay the same as if a customer went on to lack
    // service.
    UnmetDemand unmet;
    Sums sums("floods");
    Base::TimePoint now = start;
    pass(unmet, sums, 1000000, 300000, seconds(2), now);
    CHECK(unmet.customer() == sums.customer());
    const Base::TimePoint lastReportAt = now - interval;
    for (const Base::TimePoint end = now + seconds(1); now < end; now += interval) {
        unmet.update(
            {{sums.customer(), sums.asked(lastReportAt)}},
            [&](const Base::CustomerId &) { return sums.begun(lastReportAt); }, now);
    }
    CHECK(unmet.customer().isEmpty());
}

TEST_CASE("a customer whose flood has ended does not limit the others", "[routing]")
{
    // Guards against a customer that goes on asking and is refused for seconds, because it is held
    // to a multiple of the shrinking amount of one that asks for nothing any more.
    CustomerShares shares;
    shares.setThroughput(1300000);
    PeerLoad others;
    shares.setPeerLoad(others);
    Sums ended("ended");
    std::vector<Sums> large{Sums("a"), Sums("b"), Sums("c"), Sums("d")};
    unsigned refusals = 0;
    const auto reportTo = [&](const Sums &sums, Base::TimePoint now) {
        others.asked[sums.customer()] = sums.asked(now);
        others.received[sums.customer()] = sums.begun(now);
        others.begun[sums.customer()] = sums.begun(now);
    };
    for (Base::TimePoint now = start; now < start + seconds(8); now += interval) {
        const bool floods = now < start + seconds(4);
        ended.add(floods ? 100000 : 1000, floods ? 30000 : 1000, now);
        reportTo(ended, now);
        for (Sums &it : large) {
            it.add(500000, 50000, now);
            reportTo(it, now);
        }
        const Admission admission = shares.admission(large.front().customer(), now);
        if (now >= start + seconds(5) + milliseconds(500) && isRefused(admission))
            ++refusals;
    }
    CHECK(refusals == 0);
}

TEST_CASE("a customer behind the best served one may make servers read again", "[routing]")
{
    // Guards against a customer whose beginnings were lost with their servers and that falls behind
    // the others, since it may only use servers that have them cached.
    CustomerShares shares;
    shares.setThroughput(1000000);
    PeerLoad others;
    shares.setPeerLoad(others);
    const Base::CustomerId best("best");
    const Base::CustomerId behind("behind");
    Base::TimePoint now = start;
    for (; now < start + seconds(3); now += interval) {
        for (const Base::CustomerId &customer : {best, behind}) {
            others.asked[customer] = 10000000 + std::chrono::duration<double>(now - start).count();
            others.received[customer] = others.begun[customer] =
                customer == best ? 1900000 : 1400000;
        }
        shares.admission(best, now);
    }
    CHECK(shares.admission(best, now) == Admission::CachedOnly);
    CHECK(shares.admission(behind, now) == Admission::SpareCapacity);
}
