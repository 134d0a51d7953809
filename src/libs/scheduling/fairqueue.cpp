#include "scheduling/fairqueue.h"

#include <algorithm>

namespace Scheduling {

Base::Result<FairQueue> FairQueue::create(const FairQueuePolicy &policy)
{
    return FairQueue(policy);
}

FairQueue::FairQueue(const FairQueuePolicy &policy)
    : m_policy(policy)
{}

void FairQueue::push(const WaitingWork &work)
{
    m_byCustomer[work.customer].push_back(work);
    m_byRequest[work.request] = work.customer;
}

std::optional<WaitingWork> FairQueue::takeNext(const ServiceView &service, const ClassClaims &,
                                               Base::TimePoint)
{
    const Base::CustomerId *least = nullptr;
    for (const auto &[customer, waiting] : m_byCustomer) {
        if (waiting.empty())
            continue;
        if (!least || service.position(customer) < service.position(*least))
            least = &customer;
    }
    if (!least)
        return std::nullopt;
    return remove(m_byCustomer.at(*least).front().request);
}

std::optional<WaitingWork> FairQueue::remove(const Base::RequestKey &request)
{
    const auto found = m_byRequest.find(request);
    if (found == m_byRequest.end())
        return std::nullopt;
    const auto customer = m_byCustomer.find(found->second);
    m_byRequest.erase(found);
    auto &waiting = customer->second;
    const auto it = std::find_if(waiting.begin(), waiting.end(),
                                 [&](const WaitingWork &work) { return work.request == request; });
    const WaitingWork work = *it;
    waiting.erase(it);
    if (waiting.empty())
        m_byCustomer.erase(customer);
    return work;
}

std::vector<WaitingWork> FairQueue::takeExpired(Base::TimePoint now)
{
    std::vector<WaitingWork> expired;
    for (const auto &[customer, waiting] : m_byCustomer) {
        for (const WaitingWork &work : waiting) {
            if (work.deadline && *work.deadline <= now)
                expired.push_back(work);
        }
    }
    for (const WaitingWork &work : expired)
        remove(work.request);
    return expired;
}

std::size_t FairQueue::waitingOf(const Base::CustomerId &customer) const
{
    const auto it = m_byCustomer.find(customer);
    return it == m_byCustomer.end() ? 0 : it->second.size();
}

std::vector<Base::CustomerId> FairQueue::backloggedCustomers() const
{
    std::vector<Base::CustomerId> customers;
    for (const auto &[customer, waiting] : m_byCustomer)
        customers.push_back(customer);
    return customers;
}

} // namespace Scheduling
