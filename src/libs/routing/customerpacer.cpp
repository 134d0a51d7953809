#include "routing/customerpacer.h"

#include <algorithm>
#include <utility>

namespace Routing {

namespace {

/// Credit that is kept at most: what comes together is let in together, but no more than servers
/// start within a caller's target.
constexpr Base::Duration creditSpan = std::chrono::milliseconds(250);

double seconds(Base::Duration span)
{
    return std::chrono::duration<double>(span).count();
}

} // namespace

double CustomerPacer::mostCredit(const Allowance &allowance)
{
    return allowance.tokensPerSecond * seconds(creditSpan);
}

double CustomerPacer::creditAt(const Allowance &allowance, Base::TimePoint now)
{
    const double earned = allowance.tokensPerSecond * seconds(now - allowance.at);
    return std::min(allowance.credit + earned, mostCredit(allowance));
}

void CustomerPacer::setRates(const std::map<Base::CustomerId, double> &rates, Base::TimePoint now)
{
    std::map<Base::CustomerId, Allowance> allowances;
    for (const auto &[customer, rate] : rates) {
        Allowance allowance{rate, 0, now};
        const auto before = m_allowances.find(customer);
        const double most = mostCredit(allowance);
        allowance.credit =
            before == m_allowances.end() ? most : std::min(creditAt(before->second, now), most);
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
    it->second.credit = creditAt(it->second, now) - tokens;
    it->second.at = now;
}

} // namespace Routing
