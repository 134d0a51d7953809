#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "routing/customerratelimiter.h"
#include "routing/decayingsum.h"
#include "routing/fleetload.h"
#include "routing/residency.h"
#include "routing/unmetdemand.h"

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace Routing {

/// The capacity that a customer's request may use. A customer within its max-min share gets
/// WithinShare, and beyond it SpareCapacity, or CachedOnly if no other customer is served much
/// better. The other values refuse the request.
enum class Admission {
    WithinShare,   ///< The request may use any server that is not full.
    SpareCapacity, ///< The request may only use servers on which it delays nobody.
    CachedOnly,    ///< The same, and only servers that have as much of its prompt cached as any.
    OverRate,      ///< The customer has used its rate at this host.
    AheadOfOthers, ///< Others that ask for more have been served much less.
};

bool isRefused(Admission admission);

/// What this host knows of one customer, in recent tokens (DecayingSum).
struct CustomerSample
{
    Base::CustomerId customer;
    /// Of the whole fleet: asked for, sent to servers, and begun by servers.
    double asked = 0;
    double received = 0;
    double begun = 0;
    /// This host's part of what the customer asked for, from 0 to 1.
    double ownPart = 0;
    /// The tokens per second that this host admits; empty if it does not limit the customer.
    std::optional<double> rate;
};

/// Decides how much of a model pool each customer may use.
///
/// A customer may send many times its usual load, through some hosts or through all. The pool's
/// throughput is divided by max-min fairness over the last two seconds and over the whole fleet. A
/// customer that has received less than the resulting share is within it. Capacity that is then
/// left over goes to customers who ask for more, but not to one that is far ahead of another one
/// that also asks for more. A flood therefore does not delay other customers, and no capacity stays
/// idle.
///
/// Requests that may be handled in some regions only have accounts of their own (accountOf()). If
/// such an account lacks service, its regions are short of capacity and not the pool. Others are
/// then kept out of these regions, and use the other ones as before.
///
/// The sums over the fleet are half a second old, and all hosts see them change at the same time.
/// Therefore they only determine the rate at which each host admits a customer that asks for more
/// than its level. The rate is a part of that level, in proportion to this host's part of the
/// customer's demand.
class CustomerShares
{
public:
    /// Sets the tokens per second that all servers process, where a generated token counts as two;
    /// 0 for no limit.
    void setThroughput(double tokensPerSecond) { m_tokensPerSecond = tokensPerSecond; }
    /// Sets the mean saturation of the servers that may get requests now. A server counts as 0 with
    /// spare capacity, as 1 without, and as 2 if it is full for everybody.
    void setSaturation(double saturation) { m_saturation = saturation; }
    /// Sets the load of the other hosts. It must outlive this object and may change.
    void setPeerLoad(const PeerLoad &peerLoad) { m_peerLoad = &peerLoad; }

    void recordDemand(const Base::CustomerId &account, double tokens, Base::TimePoint now);
    void recordSent(const Base::CustomerId &account, double tokens, Base::TimePoint now);
    /// Records that a request was placed or may wait here. \a tokens is negative for a request that
    /// was recorded before and was not served after all.
    void recordAdmitted(const Base::CustomerId &customer, double tokens, Base::TimePoint now);
    /// Records that the first event of a request came.
    void recordStarted(const Base::CustomerId &account, double tokens, Base::TimePoint now);
    void report(HostLoad &load, Base::TimePoint now) const;

    Admission admission(const Base::CustomerId &customer, Base::TimePoint now);
    /// Returns the regions of \a residency that the customer may use while accounts that are bound
    /// to some regions lack service there. \a all are the regions of the deployment.
    Residency regionsLeftFor(const Base::CustomerId &customer, const Residency &residency,
                             const std::vector<Base::RegionId> &all, Base::TimePoint now) const;
    /// Returns the tokens of the customer that all hosts recently sent to servers.
    double received(const Base::CustomerId &customer, Base::TimePoint now) const;
    /// Returns the maximum of recent tokens that a customer may have received while others ask for
    /// more than they get.
    double shareLevel(Base::TimePoint now);
    /// Returns the recently served tokens of the least served customer among those that get less
    /// than they ask for; infinite if there is none. This value limits what other customers get.
    double unmetLevel() const { return m_unmetDemand.level(); }
    /// Returns the customer whose amount unmetLevel() is; empty if there is none.
    const Base::CustomerId &unmetCustomer() const { return m_unmetDemand.customer(); }
    /// Returns the customer that asked this host for most; empty if none did recently.
    std::optional<CustomerSample> largestHere(Base::TimePoint now) const;

private:
    /// Returns the sum over all accounts of the customer.
    double sumOf(const DecayingSum &own, const std::map<Base::CustomerId, double> *others,
                 const Base::CustomerId &customer, Base::TimePoint now) const;
    /// Updates the accounts that lack service in some regions. \a asked is by account.
    void updateRegions(const std::map<Base::CustomerId, double> &asked, Base::TimePoint now);
    /// Returns the part of the customer's received tokens that belongs to requests whose first
    /// event came.
    double started(const Base::CustomerId &customer, Base::TimePoint now) const;
    /// Returns the time in seconds in which anything was asked for, with the decay of the sums
    /// below. The result is the largest value of all hosts.
    double askedSeconds(Base::TimePoint now) const;
    void updateLevels(Base::TimePoint now);
    /// Returns the relative difference between what is to be admitted and what servers recently
    /// began. It is negative while the servers are saturated.
    double growth() const;
    /// Returns the level up to which each customer is admitted: the max-min level of the whole
    /// capacity, limited by the amount of the least served customer, but at least the share level.
    double admissionLevel(const std::map<Base::CustomerId, double> &asked, double seconds,
                          Base::TimePoint now) const;
    void updateRates(const std::map<Base::CustomerId, double> &asked, double seconds,
                     Base::TimePoint now);
    /// Returns this host's part of the customer's demand, from 0 to 1.
    double ownDemandShare(const Base::CustomerId &customer, Base::TimePoint now) const;

    /// What customers had asked for at this host at one moment.
    struct DemandSample
    {
        Base::TimePoint at;
        std::map<Base::CustomerId, double> asked;
    };

    const PeerLoad *m_peerLoad = nullptr;
    double m_tokensPerSecond = 0;
    double m_saturation = 0;
    DecayingSum m_asked;
    DecayingSum m_received;
    DecayingSum m_started;
    /// The time in seconds in which anything was asked for, with the decay of the sums above.
    DecayingSum m_askedSeconds;
    double m_shareLevel = 0;
    /// The history of this host's demand. Its first entry is as old as the reports of the other
    /// hosts, so that the parts of all hosts add up to one.
    std::deque<DemandSample> m_demandHistory;
    CustomerRateLimiter m_rateLimiter;
    /// Tokens count as served from the first event and not from sending: a host that is behind
    /// sends requests to servers but does not process the answers in time. If tokens counted from
    /// sending, others would take spare capacity while such a customer gets a third of what they
    /// get.
    UnmetDemand m_unmetDemand;
    /// The accounts that may use each region and are bound to some regions.
    std::map<Base::RegionId, UnmetDemand> m_unmetByRegion;
    /// The accounts of each customer that are bound to some regions.
    std::map<Base::CustomerId, std::vector<Base::CustomerId>> m_boundAccounts;
    /// The recently served tokens of the best served customer.
    double m_bestStarted = 0;
    Base::TimePoint m_updatedAt = Base::TimePoint::min();
};

} // namespace Routing
