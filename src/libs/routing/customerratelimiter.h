#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <map>

namespace Routing {

/// Bounds how fast this host lets in the work of each customer.
///
/// Load: a customer asks for far more than its share at dozens of hosts. What one host lets in
/// shows at the others only half a second later, so hosts that each let in whatever fits the
/// fleet's sums give away several seconds' worth at once, and nothing for seconds afterwards;
/// everybody's work starts late behind it. Let in at a rate of its own, each host needs no news
/// from the others: the rates of all hosts add up to the customer's level.
class CustomerPacer
{
public:
    /// Tokens a second of each customer that is bounded; replaces all rates before.
    void setRates(const std::map<Base::CustomerId, double> &rates, Base::TimePoint now);
    bool mayPass(const Base::CustomerId &customer, Base::TimePoint now) const;
    /// Work of \a tokens was let in. It may take more than is left, so that large work is not
    /// passed over; what follows waits for longer.
    void charge(const Base::CustomerId &customer, double tokens, Base::TimePoint now);

private:
    struct Allowance
    {
        double tokensPerSecond = 0;
        double credit = 0;
        Base::TimePoint at;
    };

    static double creditAt(const Allowance &allowance, Base::TimePoint now);

    std::map<Base::CustomerId, Allowance> m_allowances;
};

} // namespace Routing
