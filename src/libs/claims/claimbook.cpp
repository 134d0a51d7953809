#include "claims/claimbook.h"

namespace Claims {

Base::Result<ClaimBook> ClaimBook::create(const ClaimPolicy &policy, const Base::HostId &self,
                                          Base::Incarnation incarnation,
                                          Storage::TableService &table,
                                          Storage::OperationIds &operations,
                                          Base::RandomSource &random)
{
    const bool isTimed = policy.lease > policy.decisionTimeout && policy.retention >= policy.lease
                         && policy.firstPause > Base::Duration::zero();
    if (!isTimed || policy.writer.largestBatch == 0 || policy.writer.largestInFlight == 0
        || policy.largestReads == 0)
        return boost::leaf::new_error(UnusableClaimPolicy{});
    return ClaimBook(policy, self, incarnation, table, operations, random);
}

ClaimBook::ClaimBook(const ClaimPolicy &policy, const Base::HostId &self,
                     Base::Incarnation incarnation, Storage::TableService &table,
                     Storage::OperationIds &operations, Base::RandomSource &random)
    : m_policy(policy)
    , m_rows(policy, self, incarnation, table, operations, random)
{}

void ClaimBook::claim(const Base::RequestKey &request, const ClaimSubject &subject,
                      Base::TimePoint now, Base::WallTime wallNow)
{
    if (m_byRequest.contains(request))
        return;
    const std::string key = claimKey(subject);
    const auto live = m_liveKeys.find(key);
    if (live != m_liveKeys.end()) {
        const ClaimVerdict verdict = verdictBeside(live->second, subject.contentHash);
        m_outcomes.push_back({request, verdict, {}, 0});
        return;
    }
    const auto waiting = m_undecidedOf.find(subject.customer);
    const bool isFlooding =
        waiting != m_undecidedOf.end() && waiting->second >= m_policy.largestUndecided;
    if (isFlooding || unsettled() >= m_policy.largestUnsettled) {
        m_outcomes.push_back({request, ClaimVerdict::Unavailable, {}, 0});
        return;
    }
    const ClaimId id = m_rows.begin(subject, now, wallNow);
    m_byRequest[request] = id;
    m_requests[id] = request;
    m_liveKeys[key] = {subject.contentHash, false};
    m_keys[id] = key;
    m_undecided[id] = subject.customer;
    ++m_undecidedOf[subject.customer];
}

bool ClaimBook::maySend(const Base::RequestKey &request, Base::TimePoint now) const
{
    const auto it = m_byRequest.find(request);
    return it != m_byRequest.end() && m_rows.isHeld(it->second, now);
}

void ClaimBook::complete(const Base::RequestKey &request, const std::string &answer,
                         Base::TimePoint now)
{
    if (const std::optional<ClaimId> id = unlink(request))
        m_rows.complete(*id, answer, now);
}

void ClaimBook::release(const Base::RequestKey &request, Base::TimePoint now)
{
    if (const std::optional<ClaimId> id = unlink(request))
        m_rows.release(*id, now);
}

void ClaimBook::abandon(const Base::RequestKey &request)
{
    if (const std::optional<ClaimId> id = unlink(request))
        m_rows.abandon(*id);
}

void ClaimBook::advance(Base::TimePoint now)
{
    m_rows.advance(now);
    collect();
}

bool ClaimBook::handle(const Storage::TableOutcome &outcome, Base::TimePoint now)
{
    const bool isOwn = m_rows.handle(outcome, now);
    collect();
    return isOwn;
}

std::optional<ClaimId> ClaimBook::unlink(const Base::RequestKey &request)
{
    const auto it = m_byRequest.find(request);
    if (it == m_byRequest.end())
        return std::nullopt;
    const ClaimId id = it->second;
    endWait(id);
    m_requests.erase(id);
    m_liveKeys.erase(m_keys.at(id));
    m_keys.erase(id);
    m_byRequest.erase(it);
    return id;
}

ClaimVerdict ClaimBook::verdictBeside(const LiveKey &live, std::uint64_t contentHash)
{
    // While the first one's claim is not decided, its content is not known to have the key.
    const bool isConflict = live.isOwned && live.contentHash != contentHash;
    return isConflict ? ClaimVerdict::Conflict : ClaimVerdict::InProgress;
}

void ClaimBook::endWait(ClaimId id)
{
    const auto it = m_undecided.find(id);
    if (it == m_undecided.end())
        return;
    const auto count = m_undecidedOf.find(it->second);
    if (--count->second == 0)
        m_undecidedOf.erase(count);
    m_undecided.erase(it);
}

void ClaimBook::collect()
{
    for (const ClaimDecision &it : m_rows.takeDecisions()) {
        const auto found = m_requests.find(it.claim);
        if (found == m_requests.end())
            continue;
        endWait(it.claim);
        const Base::RequestKey request = found->second;
        m_outcomes.push_back({request, it.verdict, it.answer, it.fence});
        if (it.verdict == ClaimVerdict::Claimed)
            m_liveKeys.at(m_keys.at(it.claim)).isOwned = true;
        else
            unlink(request);
    }
}

} // namespace Claims
