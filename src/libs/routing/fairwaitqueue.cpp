#include "routing/fairwaitqueue.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace Routing {

namespace {

bool goesBefore(const Work &a, const Work &b)
{
    return std::tuple(!a.isContinuation, a.priority, a.startBy, a.id)
           < std::tuple(!b.isContinuation, b.priority, b.startBy, b.id);
}

} // namespace

void FairWaitQueue::push(Work work)
{
    addToTotals(work);
    std::vector<Work> &waiting = m_byCustomer[work.customer];
    const auto place = std::upper_bound(waiting.begin(), waiting.end(), work, goesBefore);
    waiting.insert(place, std::move(work));
}

std::optional<Work> FairWaitQueue::takeNext(const Received &received)
{
    auto next = m_byCustomer.end();
    std::pair<bool, double> least;
    for (auto it = m_byCustomer.begin(); it != m_byCustomer.end(); ++it) {
        const std::pair order(!it->second.front().isContinuation, received(it->first));
        if (next != m_byCustomer.end() && order >= least)
            continue;
        next = it;
        least = order;
    }
    if (next == m_byCustomer.end())
        return std::nullopt;
    Work work = std::move(next->second.front());
    next->second.erase(next->second.begin());
    if (next->second.empty())
        m_byCustomer.erase(next);
    removeFromTotals(work);
    return work;
}

bool FairWaitQueue::remove(WorkId id)
{
    return !takeIf([id](const Work &work) { return work.id == id; }).empty();
}

std::vector<Work> FairWaitQueue::takeIf(const std::function<bool(const Work &)> &predicate)
{
    std::vector<Work> taken;
    for (auto it = m_byCustomer.begin(); it != m_byCustomer.end();) {
        std::vector<Work> &waiting = it->second;
        const auto kept = std::stable_partition(waiting.begin(), waiting.end(),
                                                [&](const Work &work) { return !predicate(work); });
        for (auto work = kept; work != waiting.end(); ++work) {
            removeFromTotals(*work);
            taken.push_back(std::move(*work));
        }
        waiting.erase(kept, waiting.end());
        it = waiting.empty() ? m_byCustomer.erase(it) : std::next(it);
    }
    return taken;
}

std::uint64_t FairWaitQueue::tokensOf(const Base::CustomerId &customer) const
{
    const auto it = m_byCustomer.find(customer);
    if (it == m_byCustomer.end())
        return 0;
    std::uint64_t sum = 0;
    for (const Work &work : it->second)
        sum += work.promptTokens;
    return sum;
}

std::uint64_t FairWaitQueue::tokensTakenUp(const std::string &softwareVersion) const
{
    const auto it = m_tokensTakenUp.find(softwareVersion);
    return it == m_tokensTakenUp.end() ? 0 : it->second;
}

void FairWaitQueue::addToTotals(const Work &work)
{
    ++m_size;
    m_tokens += work.promptTokens;
    if (work.isContinuation && work.softwareVersion)
        m_tokensTakenUp[*work.softwareVersion] += work.promptTokens;
}

void FairWaitQueue::removeFromTotals(const Work &work)
{
    --m_size;
    m_tokens -= work.promptTokens;
    if (work.isContinuation && work.softwareVersion)
        m_tokensTakenUp[*work.softwareVersion] -= work.promptTokens;
}

} // namespace Routing
