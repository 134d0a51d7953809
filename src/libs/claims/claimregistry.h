#pragma once

#include "base/ids.h"
#include "base/random.h"
#include "base/result.h"
#include "base/time.h"
#include "claims/claimpolicy.h"
#include "claims/claimprocessor.h"
#include "claims/claimrow.h"
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

/// The result of ClaimRegistry::claim() for one request.
struct ClaimOutcome
{
    Base::RequestKey request;
    ClaimVerdict verdict = ClaimVerdict::Unavailable;
    /// The stored answer; only set with Completed.
    std::string answer;
    /// Fencing number to send along with the work; only set with Claimed. It grows with each
    /// owner of the key.
    std::uint64_t fence = 0;
};

/// Error of ClaimRegistry::create(): no claim could be made or kept under the policy.
struct UnusableClaimPolicy
{};

/// Makes claims in the platform's table for work that must run at most once.
///
/// A claim is a row for the idempotency key of the work. This process creates the row before it
/// sends the work, on condition that there is none. Another process never takes over a claimed
/// row: its owner may have sent the work, and neither a clock nor a fencing number can show that
/// it has not. Only the owner releases the row, and only for work that was never sent. So at most
/// one process sends the work of a key, whatever messages are lost or late and whichever process
/// freezes. The lease only decides what other callers are told, and when the holder gives up.
///
/// These load patterns are handled:
/// - A surge of claims: writes are batched.
/// - A table that is down: claims are Unavailable at once, and no new ones are made while too
///   many earlier ones are unsettled.
/// - A key that many callers repeat at once: it has one owner, and the others get their verdict
///   with the first answer of the table.
/// - A flood by one customer: its undecided claims are limited, and the rows of its repeats are
///   read, not written.
class ClaimRegistry
{
public:
    /// Fails with UnusableClaimPolicy. The references must outlive the object.
    static Base::Result<ClaimRegistry> create(const ClaimPolicy &policy, const Base::HostId &self,
                                              Base::Incarnation incarnation,
                                              Storage::TableService &table,
                                              Storage::OperationIds &operations,
                                              Base::RandomSource &random);

    /// Claims the key of \a subject for \a request. One ClaimOutcome follows within
    /// ClaimPolicy::decisionTimeout, unless the request is completed, released or abandoned before.
    void claim(const Base::RequestKey &request, const ClaimSubject &subject, Base::TimePoint now,
               Base::WallTime wallNow);
    /// Returns whether this process may still send the work. Must be checked last before sending.
    /// Guards against a process that was frozen past its lease and resumes with a granted permit:
    /// the callers of the key have been told by then that the work may have run.
    bool maySend(const Base::RequestKey &request, Base::TimePoint now) const;
    /// Records that the work ran. \a answer is stored for repeats of the call.
    void complete(const Base::RequestKey &request, const std::string &answer, Base::TimePoint now);
    /// Frees the key of work that certainly did not run.
    void release(const Base::RequestKey &request, Base::TimePoint now);
    /// Keeps the claim of work that may or may not have run.
    void abandon(const Base::RequestKey &request);

    /// Handles the timers that are due and sends the writes that may leave.
    void advance(Base::TimePoint now);
    /// Returns when advance() or takeOutcomes() has work to do next.
    Base::TimePoint nextDue() const
    {
        return m_outcomes.empty() ? m_processor.nextDue() : Base::TimePoint::min();
    }
    /// Returns whether \a outcome belongs to a call of this object.
    bool handle(const Storage::TableOutcome &outcome, Base::TimePoint now);
    std::vector<ClaimOutcome> takeOutcomes() { return std::exchange(m_outcomes, {}); }

    /// Returns the number of claims that wait for their verdict.
    std::size_t undecided() const { return m_undecided.size(); }
    /// Returns the number of claims whose request has ended but whose final row is not written yet.
    std::size_t unsettled() const { return m_processor.size() - m_byRequest.size(); }

private:
    /// A key that a request of this process is claiming or holds.
    struct ActiveKey
    {
        std::uint64_t contentHash = 0;
        bool isOwned = false;
    };

    ClaimRegistry(const ClaimPolicy &policy, const Base::HostId &self,
                  Base::Incarnation incarnation, Storage::TableService &table,
                  Storage::OperationIds &operations, Base::RandomSource &random);
    /// Removes the link between a request and its claim, and returns the claim; empty if the
    /// request has none.
    std::optional<ClaimId> detach(const Base::RequestKey &request);
    /// Returns the verdict for a repeat whose key another request of this process claims or holds.
    static ClaimVerdict verdictForDuplicate(const ActiveKey &active, std::uint64_t contentHash);
    void removeUndecided(ClaimId id);
    /// Turns the decisions of the processor into outcomes.
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
