#pragma once

#include "base/result.h"
#include "scheduling/serviceview.h"
#include "scheduling/waitingwork.h"

#include <cstddef>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace Scheduling {

/// Thresholds of the queue order.
struct FairQueuePolicy
{
    /// Customers within this many weighed tokens of the least-served backlogged customer are
    /// treated as equal, and start targets decide among them.
    Base::ServiceUnits window = 2000;
};

/// How much of a pool a class holds now, and what its target lets it claim.
class ClassClaims
{
public:
    virtual ~ClassClaims() = default;
    /// Whether the class holds its whole claim of the pool or more.
    virtual bool isOverClaim(const Base::ClassId &workClass) const = 0;
};

/// Order in which the work that waits in one pool is given permits.
///
/// Thin version: the least-served customer's oldest work goes first.
class FairQueue
{
public:
    static Base::Result<FairQueue> create(const FairQueuePolicy &policy);

    void push(const WaitingWork &work);
    /// Takes the work that goes next; empty if none waits.
    std::optional<WaitingWork> takeNext(const ServiceView &service, const ClassClaims &claims,
                                        Base::TimePoint now);
    /// Removes one request's work; returns it if it was there.
    std::optional<WaitingWork> remove(const Base::RequestKey &request);
    /// Takes all work whose caller has given up by \a now.
    std::vector<WaitingWork> takeExpired(Base::TimePoint now);

    std::size_t size() const { return m_byRequest.size(); }
    bool isEmpty() const { return m_byRequest.empty(); }
    std::size_t waitingOf(const Base::CustomerId &customer) const;
    std::vector<Base::CustomerId> backloggedCustomers() const;

private:
    explicit FairQueue(const FairQueuePolicy &policy);

    FairQueuePolicy m_policy;
    std::map<Base::CustomerId, std::vector<WaitingWork>> m_byCustomer;
    std::unordered_map<Base::RequestKey, Base::CustomerId> m_byRequest;
};

} // namespace Scheduling
