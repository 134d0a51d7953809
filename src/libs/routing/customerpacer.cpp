#include "routing/customerpacer.h"

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
/// The initial credit of a customer, as the time in which it accrues. All hosts grant it at the
/// same time.
constexpr Base::Duration firstCreditSpan = std::chrono::milliseconds(250);

double seconds(Base::Duration span)
{
    return std::chrono::duration<double>(span).count();
}

} // namespace

double CustomerRateLimiter::creditAt(const Allowance &allowance, Base::TimePoint now)
{
    const double earned = allowance.tokensPerSecond * seconds(now - allowance.at);
    return std::min(allowance.credit + earned, allowance.tokensPerSecond * seconds(maxCreditSpan));
}

void CustomerRateLimiter::setRates(const std::map<Base::CustomerId, double> &rates,
                                   Base::TimePoint now)
{
    std::map<Base::CustomerId, Allowance> allowances;
    for (const auto &[customer, rate] : rates) {
        Allowance allowance{rate, 0, now};
        const auto before = m_allowances.find(customer);
        allowance.credit = before == m_allowances.end() ? rate * seconds(firstCreditSpan)
                                                        : creditAt(before->second, now);
        allowances[customer] = allowance;
    }
    m_allowances = std::move(allowances);
}

bool CustomerRateLimiter::isAllowed(const Base::CustomerId &customer, Base::TimePoint now) const
{
    const auto it = m_allowances.find(customer);
    return it == m_allowances.end() || creditAt(it->second, now) > 0;
}

void CustomerRateLimiter::charge(const Base::CustomerId &customer, double tokens,
                                 Base::TimePoint now)
{
    const auto it = m_allowances.find(customer);
    if (it == m_allowances.end())
        return;
    Allowance &allowance = it->second;
    // One request may be larger than the maximum debt; it is charged completely.
    const double most = std::max(tokens, allowance.tokensPerSecond * seconds(maxDebtSpan));
    allowance.credit = std::max(creditAt(allowance, now) - tokens, -most);
    allowance.at = now;
}

} // namespace Routing
