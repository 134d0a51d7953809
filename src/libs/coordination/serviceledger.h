#pragma once

#include "base/result.h"
#include "coordination/ledgerdelta.h"
#include "scheduling/serviceview.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace Coordination {

struct LedgerPolicy
{
    /// A customer further than this ahead of the floor is forgiven the rest, so that it does
    /// not starve when partitioned routers rejoin. Weighed tokens.
    Base::ServiceUnits largestDebt = 200000;
};

/// Service received by each customer of one pool, counted here and learned from the other
/// routers that count for the same pool. Thin version: local and merged sums.
class ServiceLedger final : public Scheduling::ServiceView
{
public:
    static Base::Result<ServiceLedger> create(const LedgerPolicy &policy, const Base::HostId &self,
                                              Base::Incarnation incarnation,
                                              const Base::PoolId &pool);

    Base::ServiceUnits position(const Base::CustomerId &customer) const override;

    void charge(const Base::CustomerId &customer, Base::ServiceUnits units);
    /// The expected cost of work just given a permit, held until it is charged or returned.
    void hold(const Base::CustomerId &customer, Base::ServiceUnits units);
    void releaseHold(const Base::CustomerId &customer, Base::ServiceUnits units);
    /// \a customer has waiting work again: lifted to the least position in \a backlogged.
    void becomeBacklogged(const Base::CustomerId &customer,
                          const std::vector<Base::CustomerId> &backlogged);
    void merge(const LedgerDelta &delta);
    /// Entries changed since the last call; empty if none.
    std::optional<LedgerDelta> takeDelta();
    /// Everything known, for a peer that starts or takes over.
    LedgerDelta snapshot() const;

private:
    struct Account
    {
        Base::ServiceUnits chargedHere = 0;
        Base::ServiceUnits held = 0;
        Base::ServiceUnits lifted = 0;
        Base::ServiceUnits forgiven = 0;
        /// Largest charge seen from each start of each other router.
        std::map<std::pair<Base::HostId, Base::Incarnation>, Base::ServiceUnits> chargedElsewhere;
    };

    ServiceLedger(const LedgerPolicy &policy, const Base::HostId &self,
                  Base::Incarnation incarnation, const Base::PoolId &pool);
    LedgerEntry entryOf(const Base::CustomerId &customer, const Account &account) const;

    LedgerPolicy m_policy;
    Base::HostId m_self;
    Base::Incarnation m_incarnation;
    Base::PoolId m_pool;
    std::map<Base::CustomerId, Account> m_accounts;
    std::set<Base::CustomerId> m_changed;
};

} // namespace Coordination
