#include "claims/claimregistry.h"

namespace Claims {

Base::Result<ClaimRegistry>
ClaimRegistry::create(const ClaimPolicy &policy, const Base::HostId &self,
                      Base::Incarnation incarnation, Storage::TableService &table,
                      Storage::OperationIds &operations, Base::RandomSource &random)
{
    const bool isTimed = policy.lease > policy.decisionTimeout && policy.retention >= policy.lease
                         && policy.firstPause > Base::Duration::zero();
    if (!isTimed || policy.writer.largestBatch == 0 || policy.writer.largestInFlight == 0
        || policy.largestReads == 0)
        return boost::leaf::new_error(UnusableClaimPolicy{});
    return ClaimRegistry(policy, self, incarnation, table, operations, random);
}

ClaimRegistry::ClaimRegistry(const ClaimPolicy &policy, const Base::HostId &self,
                             Base::Incarnation incarnation, Storage::TableService &table,
                             Storage::OperationIds &operations, Base::RandomSource &random)
    : m_policy(policy)
    , m_processor(policy, self, incarnation, table, operations, random)
{}

void ClaimRegistry::claim(const Base::RequestKey &request, const ClaimSubject &subject,
                          Base::TimePoint now, Base::WallTime wallNow)
{
    if (m_byRequest.contains(request))
        return;
    const std::string key = claimKey(subject);
    const auto active = m_activeKeys.find(key);
    if (active != m_activeKeys.end()) {
        const ClaimVerdict verdict = verdictForDuplicate(active->second, subject.contentHash);
        m_outcomes.push_back({request, verdict, {}, 0});
        return;
    }
    const auto waiting = m_undecidedPerCustomer.find(subject.customer);
    const bool isCustomerAtLimit =
        waiting != m_undecidedPerCustomer.end() && waiting->second >= m_policy.largestUndecided;
    if (isCustomerAtLimit || unsettled() >= m_policy.largestUnsettled) {
        m_outcomes.push_back({request, ClaimVerdict::Unavailable, {}, 0});
        return;
    }
    const ClaimId id = m_processor.begin(subject, now, wallNow);
    m_byRequest[request] = id;
    m_requests[id] = request;
    m_activeKeys[key] = {subject.contentHash, false};
    m_keys[id] = key;
    m_undecided[id] = subject.customer;
    ++m_undecidedPerCustomer[subject.customer];
}

bool ClaimRegistry::maySend(const Base::RequestKey &request, Base::TimePoint now) const
{
    const auto it = m_byRequest.find(request);
    return it != m_byRequest.end() && m_processor.isHeld(it->second, now);
}

void ClaimRegistry::complete(const Base::RequestKey &request, const std::string &answer,
                             Base::TimePoint now)
{
    if (const std::optional<ClaimId> id = detach(request))
        m_processor.complete(*id, answer, now);
}

void ClaimRegistry::release(const Base::RequestKey &request, Base::TimePoint now)
{
    if (const std::optional<ClaimId> id = detach(request))
        m_processor.release(*id, now);
}

void ClaimRegistry::abandon(const Base::RequestKey &request)
{
    if (const std::optional<ClaimId> id = detach(request))
        m_processor.abandon(*id);
}

void ClaimRegistry::advance(Base::TimePoint now)
{
    m_processor.advance(now);
    collectDecisions();
}

bool ClaimRegistry::handle(const Storage::TableOutcome &outcome, Base::TimePoint now)
{
    const bool isOwn = m_processor.handle(outcome, now);
    collectDecisions();
    return isOwn;
}

std::optional<ClaimId> ClaimRegistry::detach(const Base::RequestKey &request)
{
    const auto it = m_byRequest.find(request);
    if (it == m_byRequest.end())
        return std::nullopt;
    const ClaimId id = it->second;
    removeUndecided(id);
    m_requests.erase(id);
    m_activeKeys.erase(m_keys.at(id));
    m_keys.erase(id);
    m_byRequest.erase(it);
    return id;
}

ClaimVerdict ClaimRegistry::verdictForDuplicate(const ActiveKey &active, std::uint64_t contentHash)
{
    // While the first request's claim is undecided, it is unknown which content the key belongs to.
    const bool isConflict = active.isOwned && active.contentHash != contentHash;
    return isConflict ? ClaimVerdict::Conflict : ClaimVerdict::InProgress;
}

void ClaimRegistry::removeUndecided(ClaimId id)
{
    const auto it = m_undecided.find(id);
    if (it == m_undecided.end())
        return;
    const auto count = m_undecidedPerCustomer.find(it->second);
    if (--count->second == 0)
        m_undecidedPerCustomer.erase(count);
    m_undecided.erase(it);
}

void ClaimRegistry::collectDecisions()
{
    for (const ClaimDecision &it : m_processor.takeDecisions()) {
        const auto found = m_requests.find(it.claim);
        if (found == m_requests.end())
            continue;
        removeUndecided(it.claim);
        const Base::RequestKey request = found->second;
        m_outcomes.push_back({request, it.verdict, it.answer, it.fence});
        if (it.verdict == ClaimVerdict::Claimed)
            m_activeKeys.at(m_keys.at(it.claim)).isOwned = true;
        else
            detach(request);
    }
}

} // namespace Claims
