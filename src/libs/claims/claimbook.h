#pragma once

#include "base/ids.h"
#include "base/random.h"
#include "base/result.h"
#include "base/time.h"
#include "claims/claimpolicy.h"
#include "claims/claimrow.h"
#include "claims/claimrows.h"
#include "storage/operationids.h"
#include "storage/tableservice.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Claims {

struct ClaimOutcome
{
    Base::RequestKey request;
    ClaimVerdict verdict = ClaimVerdict::Unavailable;
    /// With Completed: the stored answer.
    std::string answer;
    /// With Claimed: number to send along with the work; grows with each owner of the key.
    std::uint64_t fence = 0;
};

/// A policy under which no claim could be made or kept.
struct UnusableClaimPolicy
{};

/// Claims in the platform's table for work that must run at most once.
///
/// A claim is a row that this process makes, conditional on there being none, before the work
/// leaves. A claimed row is never taken over by another: its owner may have sent the work, and
/// no clock and no fencing number can tell that it has not. Only its owner frees it, and only
/// for work that never left. So at most one process sends the work of a key, whatever is lost,
/// late or frozen; the lease only decides what others are told, and when a holder gives up.
///
/// Answers these load patterns: a surge of claims (batched writes), a table that is down
/// (Unavailable at once, and no new claims while too many old ones wait for their end there), a
/// key that many callers repeat at once (one owner, the others are told at the first answer), a
/// flood by one customer (a bound on its undecided claims; its repeats are read, not written).
class ClaimBook
{
public:
    /// Fails with UnusableClaimPolicy. The references outlive the object.
    static Base::Result<ClaimBook> create(const ClaimPolicy &policy, const Base::HostId &self,
                                          Base::Incarnation incarnation,
                                          Storage::TableService &table,
                                          Storage::OperationIds &operations,
                                          Base::RandomSource &random);

    /// One ClaimOutcome follows, within decisionTimeout, unless the request is released before.
    void claim(const Base::RequestKey &request, const ClaimSubject &subject, Base::TimePoint now,
               Base::WallTime wallNow);
    /// Asked last before the work leaves: whether this process may still send it. Guards
    /// against a process that was frozen past its lease and wakes with a grant in its hands:
    /// its caller and the key's other callers have been told that nothing more is known.
    bool maySend(const Base::RequestKey &request, Base::TimePoint now) const;
    /// The work ran; \a answer is kept for a repeat of the call.
    void complete(const Base::RequestKey &request, const std::string &answer, Base::TimePoint now);
    /// The work certainly did not run; the key is free again.
    void release(const Base::RequestKey &request, Base::TimePoint now);
    /// Whether it ran is not known; the claim stays.
    void abandon(const Base::RequestKey &request);

    void advance(Base::TimePoint now);
    Base::TimePoint nextDue() const
    {
        return m_outcomes.empty() ? m_processor.nextDue() : Base::TimePoint::min();
    }
    /// Returns whether \a outcome is of a call that this object made.
    bool handle(const Storage::TableOutcome &outcome, Base::TimePoint now);
    std::vector<ClaimOutcome> takeOutcomes() { return std::exchange(m_outcomes, {}); }

    /// Claims that wait for their verdict.
    std::size_t undecided() const { return m_undecided.size(); }
    /// Claims whose request is gone and whose row is not yet as it should be.
    std::size_t unsettled() const { return m_processor.size() - m_byRequest.size(); }

private:
    /// A key that a request of this process claims or holds.
    struct ActiveKey
    {
        std::uint64_t contentHash = 0;
        bool isOwned = false;
    };

    ClaimBook(const ClaimPolicy &policy, const Base::HostId &self, Base::Incarnation incarnation,
              Storage::TableService &table, Storage::OperationIds &operations,
              Base::RandomSource &random);
    /// Parts a request from its claim; empty if it has none.
    std::optional<ClaimId> detach(const Base::RequestKey &request);
    /// What a repeat is told whose key another request of this process has.
    static ClaimVerdict verdictForDuplicate(const ActiveKey &active, std::uint64_t contentHash);
    void removeUndecided(ClaimId id);
    /// Takes over what the rows have decided.
    void collectDecisions();

    ClaimPolicy m_policy;
    ClaimProcessor m_processor;
    std::map<Base::RequestKey, ClaimId> m_byRequest;
    std::map<ClaimId, Base::RequestKey> m_requests;
    std::map<std::string, ActiveKey> m_activeKeys;
    std::map<ClaimId, std::string> m_keys;
    /// Claims that wait for their verdict.
    std::map<ClaimId, Base::CustomerId> m_undecided;
    std::map<Base::CustomerId, std::size_t> m_undecidedPerCustomer;
    std::vector<ClaimOutcome> m_outcomes;
};

} // namespace Claims
