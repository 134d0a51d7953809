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
    /// Customers whose position is at most this many weighted tokens above that of the
    /// least-served backlogged customer count as equally served; start targets decide among
    /// them. The default is about one ordinary request (1,000 prompt tokens and 256 generated
    /// tokens, which count four times). With a smaller window a customer leaves the window with
    /// its first permit, so start targets decide nothing. A larger window widens the service
    /// gap between customers by the same number of tokens.
    Base::ServiceUnits window = 2000;
};

/// Tells which classes of work use up their claim of a pool. The claim of a class is the share
/// of the pool's permits that its target lets it hold while other work waits.
class ClassClaims
{
public:
    virtual ~ClassClaims() = default;
    /// Whether the permits that the class holds reach or exceed its claim.
    virtual bool isOverClaim(const Base::ClassId &workClass) const = 0;
};

/// Decides in which order the work that waits in one pool shard is given permits.
///
/// The queue combines fairness between customers with start targets. It serves customers of
/// very different size that compete for one pool, with costs that are known only when work
/// ends, and with long work among short work. In order of arrival the largest customer would
/// take the whole pool; in strict order of least service, start targets would have no effect.
///
/// The backlogged customers within FairQueuePolicy::window of the least-served one are the
/// candidates. The waiting work of the candidates is ordered as follows:
/// - Work of a class over its claim goes after all other work. It is still preferred over the
///   work of customers outside the window: the bound on the service gap takes precedence over
///   a claim.
/// - Work that can still start in time goes before work that is already late. Otherwise the
///   standing backlog of large customers, which is always the latest, would go before every
///   new request of a small customer.
/// - Work that must start earlier goes first; ties go by arrival.
///
/// docs/design/queue-order.md derives the bound on the service gap.
///
/// takeNext() costs O(classes * log customers), amortised. Positions change outside of the
/// queue while work waits. The queue therefore keeps a lower bound of each customer's position,
/// reads the position again only when the customer comes first in an index, and moves the
/// customer if the position has grown. A position that decreases (a hold is returned or a debt
/// is forgiven) breaks the lower bound, so the owner announces it with invalidatePosition().
/// Each takeNext() also reads a few customers in turn, so that an unannounced decrease is
/// noticed within backloggedCount() / refreshesPerTake calls.
class FairQueue
{
public:
    /// Never fails; it returns a Result like the other factory functions of this library.
    static Base::Result<FairQueue> create(const FairQueuePolicy &policy);

    FairQueue(FairQueue &&) = default;
    FairQueue &operator=(FairQueue &&) = default;
    FairQueue(const FairQueue &) = delete;
    FairQueue &operator=(const FairQueue &) = delete;
    ~FairQueue() = default;

    /// Adds \a work and replaces any work of the same request.
    void push(const WaitingWork &work);
    /// Removes and returns the work that goes next; empty if none waits.
    std::optional<WaitingWork> takeNext(const ServiceView &service, const ClassClaims &claims,
                                        Base::TimePoint now);
    /// Removes and returns the work of \a request; empty if it does not wait here.
    std::optional<WaitingWork> remove(const Base::RequestKey &request);
    /// Removes and returns all work whose deadline is at or before \a now, in order of deadline.
    std::vector<WaitingWork> takeExpired(Base::TimePoint now);
    /// Must be called when the position of \a customer may have decreased; it is then read again.
    void invalidatePosition(const Base::CustomerId &customer);

    std::size_t size() const { return m_items.size(); }
    bool isEmpty() const { return m_items.empty(); }
    std::size_t waitingCount(const Base::CustomerId &customer) const;
    std::size_t backloggedCount() const { return m_customers.size(); }
    std::vector<Base::CustomerId> backloggedCustomers() const;
    /// The backlogged customer with the lowest position; empty if none waits. Its position is
    /// the floor that a customer is lifted to when it becomes backlogged.
    std::optional<Base::CustomerId> leastServed(const ServiceView &service);

private:
    struct Customer;

    struct Item
    {
        WaitingWork work;
        Customer *customer = nullptr;
        /// Order of arrival at this queue; breaks the remaining ties.
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
    struct LowerPosition
    {
        bool operator()(const Customer *a, const Customer *b) const;
    };

    using ItemsByStart = std::set<const Item *, EarlierStart>;

    struct Customer
    {
        Base::CustomerId id;
        std::uint64_t serial = 0;
        std::size_t waiting = 0;
        /// The position when it was last read, or 0: a lower bound of the current position.
        Base::ServiceUnits position = 0;
        /// Whether the first item of each of its classes is in m_candidateHeads.
        bool isCandidate = false;
        std::map<Base::ClassId, ItemsByStart> byClass;
        std::list<Customer *>::iterator refreshIt;
    };

    explicit FairQueue(const FairQueuePolicy &policy);

    Customer &findOrAddCustomer(const Base::CustomerId &id);
    void insertItem(Customer &customer, const Item &item);
    void eraseItem(Customer &customer, const Item &item);
    void setPosition(Customer &customer, Base::ServiceUnits position);
    bool refresh(Customer &customer, const ServiceView &service);
    void refreshRoundRobin(const ServiceView &service);
    void setCandidate(Customer &customer, bool isCandidate);
    Customer *refreshLeastServed(const ServiceView &service);
    void addCandidates(const ServiceView &service, Base::ServiceUnits windowEnd);
    const Item *firstEligible(const ItemsByStart &heads, const ServiceView &service,
                              Base::ServiceUnits windowEnd, Base::TimePoint earliestStart);
    const Item *selectNext(const ServiceView &service, const ClassClaims &claims,
                           Base::ServiceUnits windowEnd, Base::TimePoint now);

    FairQueuePolicy m_policy;
    std::uint64_t m_lastSerial = 0;
    std::unordered_map<Base::RequestKey, Item> m_items;
    std::unordered_map<Base::CustomerId, Customer> m_customers;
    std::set<const Item *, EarlierDeadline> m_byDeadline;
    std::set<Customer *, LowerPosition> m_byPosition;
    /// The customers of m_byPosition that are not candidates.
    std::set<Customer *, LowerPosition> m_outsideWindow;
    /// The first item of each candidate, by class. Entries of classes without items are kept:
    /// there are few classes and they rarely change.
    std::map<Base::ClassId, ItemsByStart> m_candidateHeads;
    /// All customers; the front one is the next to be refreshed.
    std::list<Customer *> m_refreshOrder;
};

} // namespace Scheduling
