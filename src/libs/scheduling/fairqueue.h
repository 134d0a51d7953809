#pragma once

#include "base/result.h"
#include "scheduling/serviceview.h"
#include "scheduling/waitingwork.h"

#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace Scheduling {

/// Thresholds of the queue order.
struct FairQueuePolicy
{
    /// Customers within this many weighed tokens of the least-served backlogged customer are
    /// treated as equal, and start targets decide among them. About one ordinary request
    /// (1,000 prompt tokens and 256 generated ones, which count four times): a smaller window
    /// takes a customer out of the choice with its first permit, so that start targets decide
    /// nothing; a larger one adds to the gap, token for token.
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

/// Order in which the work that waits in one pool shard is given permits.
///
/// Load pattern: customers of very different size compete for one pool, with costs that are
/// known only at the end, and long work stands among short. Served by arrival, the largest
/// customer would take the pool; served strictly by least service, start targets would mean
/// nothing. So the customers within FairQueuePolicy::window of the least-served backlogged one
/// are candidates, and of their work that which must start first goes first, work that can
/// still start in time before work that is late anyway: otherwise the standing backlog of large
/// customers, always the latest, would go before every fresh request of a small one. Work of a
/// class over its claim is passed over while other work of a candidate waits. It is not passed over
/// in favour of customers outside the window: the bound on the gap holds before a claim does.
/// Ties go by arrival. docs/design/queue-order.md derives the bound.
///
/// A take costs O(classes * log customers), amortised. Positions change outside while work
/// waits, so the one kept for a customer is a lower bound: it is read anew only when the
/// customer comes first in an index, and moved if it grew. A position that fell (a hold given
/// back, a debt forgiven) would break that; invalidatePosition() says so, and every take also
/// reads a few customers in rotation, so that an unannounced fall is seen within
/// backloggedCount() / refreshesPerTake takes.
class FairQueue
{
public:
    /// Never fails; a result for the sake of a common form.
    static Base::Result<FairQueue> create(const FairQueuePolicy &policy);

    FairQueue(FairQueue &&) = default;
    FairQueue &operator=(FairQueue &&) = default;
    FairQueue(const FairQueue &) = delete;
    FairQueue &operator=(const FairQueue &) = delete;
    ~FairQueue() = default;

    /// Adds \a work; replaces work of the same request.
    void push(const WaitingWork &work);
    /// Takes the work that goes next; empty if none waits.
    std::optional<WaitingWork> takeNext(const ServiceView &service, const ClassClaims &claims,
                                        Base::TimePoint now);
    /// Removes one request's work; returns it if it was there.
    std::optional<WaitingWork> remove(const Base::RequestKey &request);
    /// Takes all work whose caller has given up by \a now.
    std::vector<WaitingWork> takeExpired(Base::TimePoint now);
    /// To be called when the position of \a customer may have become smaller.
    void invalidatePosition(const Base::CustomerId &customer);

    std::size_t size() const { return m_items.size(); }
    bool isEmpty() const { return m_items.empty(); }
    std::size_t waitingCount(const Base::CustomerId &customer) const;
    std::size_t backloggedCount() const { return m_customers.size(); }
    std::vector<Base::CustomerId> backloggedCustomers() const;
    /// The backlogged customer with the least position: the floor that a customer which
    /// becomes backlogged is lifted to. Empty if none waits.
    std::optional<Base::CustomerId> leastServed(const ServiceView &service);

private:
    struct Customer;

    struct Item
    {
        WaitingWork work;
        Customer *customer = nullptr;
        /// Order of arrival at this queue, the last tie-break.
        std::uint64_t serial = 0;
    };

    struct EarlierStart
    {
        bool operator()(const Item *a, const Item *b) const;
    };
    struct EarlierDeadline
    {
        bool operator()(const Item *a, const Item *b) const;
    };
    struct LesserPosition
    {
        bool operator()(const Customer *a, const Customer *b) const;
    };

    using ItemsByStart = std::set<const Item *, EarlierStart>;

    struct Customer
    {
        Base::CustomerId id;
        std::uint64_t serial = 0;
        std::size_t waiting = 0;
        /// The position when it was last read: a lower bound.
        Base::ServiceUnits position = 0;
        /// Whether its first item of each class is in m_heads.
        bool isCandidate = false;
        std::map<Base::ClassId, ItemsByStart> byClass;
        std::list<Customer *>::iterator rotation;
    };

    explicit FairQueue(const FairQueuePolicy &policy);

    Customer &customerOf(const Base::CustomerId &id);
    void insertItem(Customer &customer, const Item &item);
    void eraseItem(Customer &customer, const Item &item);
    void setPosition(Customer &customer, Base::ServiceUnits position);
    bool refresh(Customer &customer, const ServiceView &service);
    void refreshInRotation(const ServiceView &service);
    void setCandidate(Customer &customer, bool isCandidate);
    Customer *validLeast(const ServiceView &service);
    void admitCandidates(const ServiceView &service, Base::ServiceUnits ceiling);
    const Item *validHead(const ItemsByStart &heads, const ServiceView &service,
                          Base::ServiceUnits ceiling, Base::TimePoint from);
    const Item *firstHead(const ServiceView &service, const ClassClaims &claims,
                          Base::ServiceUnits ceiling, Base::TimePoint now);

    FairQueuePolicy m_policy;
    std::uint64_t m_lastSerial = 0;
    std::unordered_map<Base::RequestKey, Item> m_items;
    std::unordered_map<Base::CustomerId, Customer> m_customers;
    std::set<const Item *, EarlierDeadline> m_byDeadline;
    std::set<Customer *, LesserPosition> m_byPosition;
    /// The customers of m_byPosition that are no candidates.
    std::set<Customer *, LesserPosition> m_beyond;
    /// The first item of each candidate in each class. Classes are few and stay.
    std::map<Base::ClassId, ItemsByStart> m_heads;
    std::list<Customer *> m_rotation;
};

} // namespace Scheduling
