#include "routing/customerratelimiter.h"

#include <algorithm>
#include <utility>

namespace Routing {

namespace {

/// The maximum credit, as the time in which it accrues. Callers arrive unevenly, and a host with
/// less credit would give its customers less than their rate.
constexpr Base::Duration maxCreditSpan = std::chrono::milliseconds(700);
/// The maximum debt, as the time in which it is paid off. Requests that were admitted before the
/// level was known count against a customer for no longer than others need to reach its amount.
constexpr Base::Duration maxDebtSpan = std::chrono::seconds(1);
/// The same for what a customer got before it was limited: a jump of its demand.
constexpr Base::Duration maxEarlierDebtSpan = std::chrono::milliseconds(1500);
/// The initial credit of a customer, as the time in which it accrues. All hosts grant it at the
/// same time.
constexpr Base::Duration initialCreditSpan = std::chrono::milliseconds(250);

double seconds(Base::Duration span)
{
    return std::chrono::duration<double>(span).count();
}

} // namespace

double CustomerRateLimiter::creditAt(const TokenBucket &bucket, Base::TimePoint now)
{
    const double earned = bucket.tokensPerSecond * seconds(now - bucket.at);
    return std::min(bucket.credit + earned, bucket.tokensPerSecond * seconds(maxCreditSpan));
}

void CustomerRateLimiter::setRates(const std::map<Base::CustomerId, double> &rates,
                                   Base::TimePoint now)
{
    std::map<Base::CustomerId, TokenBucket> buckets;
    for (const auto &[customer, rate] : rates) {
        TokenBucket bucket{rate, 0, now};
        const auto before = m_buckets.find(customer);
        bucket.credit = before == m_buckets.end() ? rate * seconds(initialCreditSpan)
                                                  : creditAt(before->second, now);
        buckets[customer] = bucket;
    }
    m_buckets = std::move(buckets);
}

std::optional<double> CustomerRateLimiter::rate(const Base::CustomerId &customer) const
{
    const auto it = m_buckets.find(customer);
    return it == m_buckets.end() ? std::nullopt : std::optional(it->second.tokensPerSecond);
}

bool CustomerRateLimiter::isAllowed(const Base::CustomerId &customer, Base::TimePoint now) const
{
    const auto it = m_buckets.find(customer);
    return it == m_buckets.end() || creditAt(it->second, now) > 0;
}

void CustomerRateLimiter::chargeEarlier(const Base::CustomerId &customer, double tokens)
{
    const auto it = m_buckets.find(customer);
    if (it == m_buckets.end())
        return;
    TokenBucket &bucket = it->second;
    const double maxDebt = bucket.tokensPerSecond * seconds(maxEarlierDebtSpan);
    bucket.credit = std::max(bucket.credit - tokens, -maxDebt);
}

void CustomerRateLimiter::charge(const Base::CustomerId &customer, double tokens,
                                 Base::TimePoint now)
{
    const auto it = m_buckets.find(customer);
    if (it == m_buckets.end())
        return;
    TokenBucket &bucket = it->second;
    // One request may be larger than the maximum debt; it is charged completely.
    const double maxDebt = std::max(tokens, bucket.tokensPerSecond * seconds(maxDebtSpan));
    bucket.credit = std::max(creditAt(bucket, now) - tokens, -maxDebt);
    bucket.at = now;
}

} // namespace Routing
