#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <map>
#include <optional>

namespace Routing {

/// Limits the rate at which this host admits the requests of each customer.
///
/// A customer may ask for far more than its share at dozens of hosts. What one host admits is
/// visible to the others only half a second later. Hosts that admit whatever fits the fleet's sums
/// would therefore admit several seconds' worth at once and nothing for the following seconds, and
/// everybody's requests would start late behind it. With a rate of its own, no host depends on
/// reports of the others: the rates of all hosts add up to the customer's level.
class CustomerRateLimiter
{
public:
    /// Sets the rates in tokens per second of all customers that are limited. Customers without a
    /// rate are not limited. The rates replace all earlier ones.
    void setRates(const std::map<Base::CustomerId, double> &rates, Base::TimePoint now);
    /// Lowers the credit of a customer by \a tokens that it got before it was limited.
    void chargeEarlier(const Base::CustomerId &customer, double tokens);
    /// Returns the rate of the customer; empty if it is not limited.
    std::optional<double> rate(const Base::CustomerId &customer) const;
    bool isAllowed(const Base::CustomerId &customer, Base::TimePoint now) const;
    /// Charges an admitted request of \a tokens. The charge may exceed the remaining credit, so
    /// that large requests are not starved; later requests then wait longer.
    void charge(const Base::CustomerId &customer, double tokens, Base::TimePoint now);

private:
    struct TokenBucket
    {
        double tokensPerSecond = 0;
        double credit = 0;
        Base::TimePoint at;
    };

    static double creditAt(const TokenBucket &bucket, Base::TimePoint now);

    std::map<Base::CustomerId, TokenBucket> m_buckets;
};

} // namespace Routing
