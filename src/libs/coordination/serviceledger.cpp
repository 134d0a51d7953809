#include "coordination/serviceledger.h"

#include <algorithm>

namespace Coordination {

Base::Result<ServiceLedger> ServiceLedger::create(const LedgerPolicy &policy,
                                                  const Base::HostId &self,
                                                  Base::Incarnation incarnation,
                                                  const Base::PoolId &pool)
{
    return ServiceLedger(policy, self, incarnation, pool);
}

ServiceLedger::ServiceLedger(const LedgerPolicy &policy, const Base::HostId &self,
                             Base::Incarnation incarnation, const Base::PoolId &pool)
    : m_policy(policy)
    , m_self(self)
    , m_incarnation(incarnation)
    , m_pool(pool)
{}

Base::ServiceUnits ServiceLedger::position(const Base::CustomerId &customer) const
{
    const auto it = m_accounts.find(customer);
    if (it == m_accounts.end())
        return 0;
    const Account &account = it->second;
    Base::ServiceUnits sum = account.chargedHere + account.held + account.lifted;
    for (const auto &[origin, charged] : account.chargedElsewhere)
        sum += charged;
    return sum - std::min(sum, account.forgiven);
}

void ServiceLedger::charge(const Base::CustomerId &customer, Base::ServiceUnits units)
{
    m_accounts[customer].chargedHere += units;
    m_changed.insert(customer);
}

void ServiceLedger::hold(const Base::CustomerId &customer, Base::ServiceUnits units)
{
    m_accounts[customer].held += units;
}

void ServiceLedger::releaseHold(const Base::CustomerId &customer, Base::ServiceUnits units)
{
    Account &account = m_accounts[customer];
    account.held -= std::min(account.held, units);
}

void ServiceLedger::becomeBacklogged(const Base::CustomerId &customer,
                                     const std::vector<Base::CustomerId> &backlogged)
{
    std::optional<Base::ServiceUnits> floor;
    for (const Base::CustomerId &other : backlogged) {
        if (other == customer)
            continue;
        const Base::ServiceUnits at = position(other);
        floor = floor ? std::min(*floor, at) : at;
    }
    const Base::ServiceUnits at = position(customer);
    if (!floor || at >= *floor)
        return;
    m_accounts[customer].lifted += *floor - at;
    m_changed.insert(customer);
}

void ServiceLedger::merge(const LedgerDelta &delta)
{
    for (const LedgerEntry &entry : delta.entries) {
        Account &account = m_accounts[entry.customer];
        Base::ServiceUnits &charged = account.chargedElsewhere[{delta.sender, delta.incarnation}];
        charged = std::max(charged, entry.charged);
        account.lifted = std::max(account.lifted, entry.lifted);
        account.forgiven = std::max(account.forgiven, entry.forgiven);
    }
}

std::optional<LedgerDelta> ServiceLedger::takeDelta()
{
    if (m_changed.empty())
        return std::nullopt;
    LedgerDelta delta{m_self, m_incarnation, m_pool, {}};
    for (const Base::CustomerId &customer : m_changed)
        delta.entries.push_back(entryOf(customer, m_accounts.at(customer)));
    m_changed.clear();
    return delta;
}

LedgerDelta ServiceLedger::snapshot() const
{
    LedgerDelta delta{m_self, m_incarnation, m_pool, {}};
    for (const auto &[customer, account] : m_accounts)
        delta.entries.push_back(entryOf(customer, account));
    return delta;
}

LedgerEntry ServiceLedger::entryOf(const Base::CustomerId &customer, const Account &account) const
{
    return {customer, account.chargedHere, account.lifted, account.forgiven};
}

} // namespace Coordination
