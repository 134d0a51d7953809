#include "scheduling/fairqueue.h"

#include <algorithm>
#include <array>
#include <tuple>

namespace Scheduling {

namespace {

/// Customers read in rotation with every take. With a tenth of 9,400 customers backlogged, a
/// position that fell unannounced is seen after 235 takes.
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

bool FairQueue::LesserPosition::operator()(const Customer *a, const Customer *b) const
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
    Customer &customer = customerOf(work.customer);
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
    refreshInRotation(service);
    const Base::ServiceUnits ceiling = validLeast(service)->position + m_policy.window;
    admitCandidates(service, ceiling);
    const Item *next = firstHead(service, claims, ceiling, now);
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
    m_beyond.erase(&customer);
    m_rotation.erase(customer.rotation);
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
    return validLeast(service)->id;
}

/// A new customer's position is unknown here; 0 is a lower bound of it and is read anew with
/// the next take.
FairQueue::Customer &FairQueue::customerOf(const Base::CustomerId &id)
{
    const auto [it, isNew] = m_customers.try_emplace(id);
    Customer &customer = it->second;
    if (!isNew)
        return customer;
    customer.id = id;
    customer.serial = ++m_lastSerial;
    customer.rotation = m_rotation.insert(m_rotation.end(), &customer);
    m_byPosition.insert(&customer);
    m_beyond.insert(&customer);
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
    ItemsByStart &heads = m_heads[item.work.workClass];
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
        ItemsByStart &heads = m_heads[item.work.workClass];
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
    m_beyond.erase(&customer);
    customer.position = position;
    m_byPosition.insert(&customer);
    if (!customer.isCandidate)
        m_beyond.insert(&customer);
}

/// Returns whether the position had changed.
bool FairQueue::refresh(Customer &customer, const ServiceView &service)
{
    const Base::ServiceUnits position = service.position(customer.id);
    if (position == customer.position)
        return false;
    setPosition(customer, position);
    return true;
}

void FairQueue::refreshInRotation(const ServiceView &service)
{
    const std::size_t n = std::min(refreshesPerTake, m_rotation.size());
    for (std::size_t i = 0; i < n; ++i) {
        refresh(*m_rotation.front(), service);
        m_rotation.splice(m_rotation.end(), m_rotation, m_rotation.begin());
    }
}

void FairQueue::setCandidate(Customer &customer, bool isCandidate)
{
    if (customer.isCandidate == isCandidate)
        return;
    customer.isCandidate = isCandidate;
    if (isCandidate)
        m_beyond.erase(&customer);
    else
        m_beyond.insert(&customer);
    for (const auto &[workClass, items] : customer.byClass) {
        if (isCandidate)
            m_heads[workClass].insert(*items.begin());
        else
            m_heads[workClass].erase(*items.begin());
    }
}

FairQueue::Customer *FairQueue::validLeast(const ServiceView &service)
{
    while (refresh(**m_byPosition.begin(), service)) {}
    return *m_byPosition.begin();
}

/// Makes candidates of all customers up to \a ceiling.
void FairQueue::admitCandidates(const ServiceView &service, Base::ServiceUnits ceiling)
{
    while (!m_beyond.empty() && (*m_beyond.begin())->position <= ceiling) {
        Customer &customer = **m_beyond.begin();
        if (!refresh(customer, service))
            setCandidate(customer, true);
    }
}

/// The first of \a heads whose customer is still a candidate and that must not start before
/// \a from; the others met are taken out.
const FairQueue::Item *FairQueue::validHead(const ItemsByStart &heads, const ServiceView &service,
                                            Base::ServiceUnits ceiling, Base::TimePoint from)
{
    Item probe;
    probe.work.startBy = from;
    while (true) {
        const auto it = heads.lower_bound(&probe);
        if (it == heads.end())
            return nullptr;
        const Item *head = *it;
        refresh(*head->customer, service);
        if (head->customer->position <= ceiling)
            return head;
        setCandidate(*head->customer, false);
    }
}

const FairQueue::Item *FairQueue::firstHead(const ServiceView &service, const ClassClaims &claims,
                                            Base::ServiceUnits ceiling, Base::TimePoint now)
{
    // In this order: can still start in time, is late, and the same of classes over their claim.
    enum Rank { InTime, Late, InTimeOverClaim, LateOverClaim, RankCount };
    std::array<const Item *, RankCount> first{};
    const auto offer = [&](Rank rank, const Item *head) {
        if (head && (!first[rank] || EarlierStart()(head, first[rank])))
            first[rank] = head;
    };
    for (const auto &[workClass, heads] : m_heads) {
        const bool isOverClaim = claims.isOverClaim(workClass);
        offer(isOverClaim ? InTimeOverClaim : InTime, validHead(heads, service, ceiling, now));
        offer(isOverClaim ? LateOverClaim : Late,
              validHead(heads, service, ceiling, Base::TimePoint::min()));
    }
    // There always is one: the least-served customer is a candidate and has work.
    return *std::find_if(first.begin(), first.end(), [](const Item *head) { return head; });
}

} // namespace Scheduling
