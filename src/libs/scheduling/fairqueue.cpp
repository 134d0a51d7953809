#include "scheduling/fairqueue.h"

#include <algorithm>
#include <array>
#include <tuple>

namespace Scheduling {

namespace {

/// Customers whose positions each takeNext() reads again in turn. With a tenth of 9,400
/// customers backlogged, an unannounced decrease is noticed within 235 calls.
constexpr std::size_t refreshesPerTake = 4;

} // namespace

bool FairQueue::EarlierStart::operator()(const Item *a, const Item *b) const
{
    return std::tie(a->work.startBy, a->work.arrivedAt, a->serial)
           < std::tie(b->work.startBy, b->work.arrivedAt, b->serial);
}

bool FairQueue::EarlierDeadline::operator()(const Item *a, const Item *b) const
{
    return std::tie(*a->work.deadline, a->serial) < std::tie(*b->work.deadline, b->serial);
}

bool FairQueue::LowerPosition::operator()(const Customer *a, const Customer *b) const
{
    return std::tie(a->position, a->serial) < std::tie(b->position, b->serial);
}

Base::Result<FairQueue> FairQueue::create(const FairQueuePolicy &policy)
{
    return FairQueue(policy);
}

FairQueue::FairQueue(const FairQueuePolicy &policy)
    : m_policy(policy)
{}

void FairQueue::push(const WaitingWork &work)
{
    remove(work.request);
    Customer &customer = findOrAddCustomer(work.customer);
    Item &item = m_items[work.request];
    item.work = work;
    item.customer = &customer;
    item.serial = ++m_lastSerial;
    insertItem(customer, item);
}

std::optional<WaitingWork> FairQueue::takeNext(const ServiceView &service,
                                               const ClassClaims &claims, Base::TimePoint now)
{
    if (isEmpty())
        return std::nullopt;
    refreshRoundRobin(service);
    const Base::ServiceUnits windowEnd = refreshLeastServed(service)->position + m_policy.window;
    addCandidates(service, windowEnd);
    const Item *next = selectNext(service, claims, windowEnd, now);
    return remove(Base::RequestKey(next->work.request));
}

std::optional<WaitingWork> FairQueue::remove(const Base::RequestKey &request)
{
    const auto it = m_items.find(request);
    if (it == m_items.end())
        return std::nullopt;
    Customer &customer = *it->second.customer;
    eraseItem(customer, it->second);
    WaitingWork work = std::move(it->second.work);
    m_items.erase(it);
    if (customer.waiting > 0)
        return work;
    m_byPosition.erase(&customer);
    m_outsideWindow.erase(&customer);
    m_refreshOrder.erase(customer.refreshIt);
    m_customers.erase(work.customer);
    return work;
}

std::vector<WaitingWork> FairQueue::takeExpired(Base::TimePoint now)
{
    std::vector<WaitingWork> expired;
    while (!m_byDeadline.empty() && *(*m_byDeadline.begin())->work.deadline <= now) {
        const Base::RequestKey request = (*m_byDeadline.begin())->work.request;
        expired.push_back(*remove(request));
    }
    return expired;
}

void FairQueue::invalidatePosition(const Base::CustomerId &customer)
{
    const auto it = m_customers.find(customer);
    if (it != m_customers.end())
        setPosition(it->second, 0);
}

std::size_t FairQueue::waitingCount(const Base::CustomerId &customer) const
{
    const auto it = m_customers.find(customer);
    return it == m_customers.end() ? 0 : it->second.waiting;
}

std::vector<Base::CustomerId> FairQueue::backloggedCustomers() const
{
    std::vector<Base::CustomerId> ids;
    ids.reserve(m_customers.size());
    for (const auto &[id, customer] : m_customers)
        ids.push_back(id);
    std::sort(ids.begin(), ids.end());
    return ids;
}

std::optional<Base::CustomerId> FairQueue::leastServed(const ServiceView &service)
{
    if (isEmpty())
        return std::nullopt;
    return refreshLeastServed(service)->id;
}

/// A new customer starts at position 0, which is a lower bound of its unknown position; the
/// next takeNext() reads the position.
FairQueue::Customer &FairQueue::findOrAddCustomer(const Base::CustomerId &id)
{
    const auto [it, isNew] = m_customers.try_emplace(id);
    Customer &customer = it->second;
    if (!isNew)
        return customer;
    customer.id = id;
    customer.serial = ++m_lastSerial;
    customer.refreshIt = m_refreshOrder.insert(m_refreshOrder.end(), &customer);
    m_byPosition.insert(&customer);
    m_outsideWindow.insert(&customer);
    return customer;
}

void FairQueue::insertItem(Customer &customer, const Item &item)
{
    ItemsByStart &items = customer.byClass[item.work.workClass];
    const Item *oldHead = items.empty() ? nullptr : *items.begin();
    items.insert(&item);
    ++customer.waiting;
    if (item.work.deadline)
        m_byDeadline.insert(&item);
    if (!customer.isCandidate || *items.begin() != &item)
        return;
    ItemsByStart &heads = m_candidateHeads[item.work.workClass];
    if (oldHead)
        heads.erase(oldHead);
    heads.insert(&item);
}

void FairQueue::eraseItem(Customer &customer, const Item &item)
{
    const auto byClass = customer.byClass.find(item.work.workClass);
    ItemsByStart &items = byClass->second;
    const bool wasHead = *items.begin() == &item;
    items.erase(&item);
    --customer.waiting;
    if (item.work.deadline)
        m_byDeadline.erase(&item);
    if (customer.isCandidate && wasHead) {
        ItemsByStart &heads = m_candidateHeads[item.work.workClass];
        heads.erase(&item);
        if (!items.empty())
            heads.insert(*items.begin());
    }
    if (items.empty())
        customer.byClass.erase(byClass);
}

void FairQueue::setPosition(Customer &customer, Base::ServiceUnits position)
{
    m_byPosition.erase(&customer);
    m_outsideWindow.erase(&customer);
    customer.position = position;
    m_byPosition.insert(&customer);
    if (!customer.isCandidate)
        m_outsideWindow.insert(&customer);
}

/// Reads the customer's position; returns whether it has changed.
bool FairQueue::refresh(Customer &customer, const ServiceView &service)
{
    const Base::ServiceUnits position = service.position(customer.id);
    if (position == customer.position)
        return false;
    setPosition(customer, position);
    return true;
}

void FairQueue::refreshRoundRobin(const ServiceView &service)
{
    const std::size_t n = std::min(refreshesPerTake, m_refreshOrder.size());
    for (std::size_t i = 0; i < n; ++i) {
        refresh(*m_refreshOrder.front(), service);
        m_refreshOrder.splice(m_refreshOrder.end(), m_refreshOrder, m_refreshOrder.begin());
    }
}

void FairQueue::setCandidate(Customer &customer, bool isCandidate)
{
    if (customer.isCandidate == isCandidate)
        return;
    customer.isCandidate = isCandidate;
    if (isCandidate)
        m_outsideWindow.erase(&customer);
    else
        m_outsideWindow.insert(&customer);
    for (const auto &[workClass, items] : customer.byClass) {
        if (isCandidate)
            m_candidateHeads[workClass].insert(*items.begin());
        else
            m_candidateHeads[workClass].erase(*items.begin());
    }
}

FairQueue::Customer *FairQueue::refreshLeastServed(const ServiceView &service)
{
    while (refresh(**m_byPosition.begin(), service)) {}
    return *m_byPosition.begin();
}

/// Makes all customers with positions up to \a windowEnd candidates.
void FairQueue::addCandidates(const ServiceView &service, Base::ServiceUnits windowEnd)
{
    while (!m_outsideWindow.empty() && (*m_outsideWindow.begin())->position <= windowEnd) {
        Customer &customer = **m_outsideWindow.begin();
        if (!refresh(customer, service))
            setCandidate(customer, true);
    }
}

/// Returns the first of \a heads whose start target is at or after \a earliestStart and whose
/// customer is still within the window. Customers found outside the window on the way stop
/// being candidates.
const FairQueue::Item *FairQueue::firstEligible(const ItemsByStart &heads,
                                                const ServiceView &service,
                                                Base::ServiceUnits windowEnd,
                                                Base::TimePoint earliestStart)
{
    Item searchKey;
    searchKey.work.startBy = earliestStart;
    while (true) {
        const auto it = heads.lower_bound(&searchKey);
        if (it == heads.end())
            return nullptr;
        const Item *head = *it;
        refresh(*head->customer, service);
        if (head->customer->position <= windowEnd)
            return head;
        setCandidate(*head->customer, false);
    }
}

const FairQueue::Item *FairQueue::selectNext(const ServiceView &service, const ClassClaims &claims,
                                             Base::ServiceUnits windowEnd, Base::TimePoint now)
{
    // The ranks are in order of preference. Work is in time while its start target has not passed.
    enum Rank { InTime, Late, InTimeOverClaim, LateOverClaim, RankCount };
    std::array<const Item *, RankCount> bestByRank{};
    const auto consider = [&](Rank rank, const Item *head) {
        if (head && (!bestByRank[rank] || EarlierStart()(head, bestByRank[rank])))
            bestByRank[rank] = head;
    };
    for (const auto &[workClass, heads] : m_candidateHeads) {
        const bool isOverClaim = claims.isOverClaim(workClass);
        consider(isOverClaim ? InTimeOverClaim : InTime,
                 firstEligible(heads, service, windowEnd, now));
        consider(isOverClaim ? LateOverClaim : Late,
                 firstEligible(heads, service, windowEnd, Base::TimePoint::min()));
    }
    // The least-served customer is a candidate and has work, so there always is a head.
    return *std::find_if(bestByRank.begin(), bestByRank.end(),
                         [](const Item *head) { return head; });
}

} // namespace Scheduling
