#include "routing/customerratelimiter.h"

#include <algorithm>
#include <utility>

namespace Routing {

namespace {

/// Credit that is kept at most, as time: callers come unevenly, and a host that keeps less gives
/// its customers less than their rate.
constexpr Base::Duration creditSpan = std::chrono::milliseconds(700);
/// Debt at most: what was let in before the level was known is not held against a customer for
/// longer than others need to come up to it.
constexpr Base::Duration debtSpan = std::chrono::seconds(1);
/// What a customer begins with: all hosts begin with it at once.
constexpr Base::Duration firstCreditSpan = std::chrono::milliseconds(250);

double seconds(Base::Duration span)
{
    return std::chrono::duration<double>(span).count();
}

} // namespace

double CustomerPacer::creditAt(const Allowance &allowance, Base::TimePoint now)
{
    const double earned = allowance.tokensPerSecond * seconds(now - allowance.at);
    return std::min(allowance.credit + earned, allowance.tokensPerSecond * seconds(creditSpan));
}

void CustomerPacer::setRates(const std::map<Base::CustomerId, double> &rates, Base::TimePoint now)
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

bool CustomerPacer::mayPass(const Base::CustomerId &customer, Base::TimePoint now) const
{
    const auto it = m_allowances.find(customer);
    return it == m_allowances.end() || creditAt(it->second, now) > 0;
}

void CustomerPacer::charge(const Base::CustomerId &customer, double tokens, Base::TimePoint now)
{
    const auto it = m_allowances.find(customer);
    if (it == m_allowances.end())
        return;
    Allowance &allowance = it->second;
    // One request may be larger than the debt that is kept; it is paid for whole.
    const double most = std::max(tokens, allowance.tokensPerSecond * seconds(debtSpan));
    allowance.credit = std::max(creditAt(allowance, now) - tokens, -most);
    allowance.at = now;
}

} // namespace Routing
