#pragma once

#include "base/ids.h"
#include "base/random.h"
#include "base/result.h"
#include "base/time.h"
#include "claims/claimjudge.h"
#include "claims/claimrow.h"
#include "claims/openclaim.h"
#include "claims/rowwriter.h"
#include "platform/operationids.h"
#include "platform/tableservice.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace Claims {

enum class ClaimVerdict {
    Claimed,           ///< This request owns the key and may be sent.
    Completed,         ///< It ran before; the stored answer is given.
    CompletedUnstored, ///< It ran before; its answer was too large to be kept.
    InProgress,        ///< Another request owns the key and may be running.
    Conflict,          ///< The key was used for other content.
    Undecidable,       ///< It may have run; its owner is gone. "ran: unknown".
    Unavailable,       ///< The table gave no claim; nothing ran through this request.
};

struct ClaimOutcome
{
    Base::RequestKey request;
    ClaimVerdict verdict = ClaimVerdict::Unavailable;
    /// With Completed: the stored answer.
    std::string answer;
    /// With Claimed: number to send along with the work; grows with each owner of the key.
    std::uint64_t fence = 0;
};

/// docs/design/claims.md gives the reasons.
struct ClaimPolicy
{
    /// How long a claim is taken for alive without a renewal.
    Base::Duration lease = std::chrono::seconds(60);
    /// How long a claim is remembered after its last write. The promise of at most once ends
    /// with it.
    std::chrono::hours retention{24};
    /// How long the row of a released key outlives it. Longer than any write can be under way,
    /// so that a late write of the released claim meets a row and fails.
    std::chrono::minutes releasedRetention{10};
    /// By how much the calendar clocks of two hosts may differ.
    Base::Duration clockSkew = std::chrono::seconds(5);
    /// Longer answers are not kept, in bytes.
    std::size_t largestAnswer = 16 * 1024;
    /// Attempts at making a claim, each a write or a read, after the first write.
    std::uint32_t largestAttempts = 4;
    /// A claim is decided within this time.
    Base::Duration decideWithin = std::chrono::seconds(5);
    /// Pause before a failed call is made again; doubles up to the longest.
    Base::Duration firstPause = std::chrono::milliseconds(100);
    Base::Duration longestPause = std::chrono::seconds(30);
    /// Claims that wait to be brought to their end in the table; with more, none is begun.
    std::size_t largestUnsettled = 1000;
    RowWriterPolicy writer;
};

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
/// key that many callers repeat at once (one owner, the others are told at the first answer).
class ClaimBook
{
public:
    static Base::Result<ClaimBook> create(const ClaimPolicy &policy, const Base::HostId &self,
                                          Base::Incarnation incarnation,
                                          Platform::TableService &table,
                                          Platform::OperationIds &operations,
                                          Base::RandomSource &random);

    /// One ClaimOutcome follows, within decideWithin, unless the request is released before.
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
    Base::TimePoint nextDue() const;
    /// Returns whether \a outcome is of a call that this object made.
    bool handle(const Platform::TableOutcome &outcome, Base::TimePoint now);
    std::vector<ClaimOutcome> takeOutcomes() { return std::exchange(m_outcomes, {}); }

    /// Claims whose request is gone and whose row is not yet as it should be.
    std::size_t unsettled() const { return m_claims.size() - m_byRequest.size(); }

private:
    ClaimBook(const ClaimPolicy &policy, const Base::HostId &self, Base::Incarnation incarnation,
              Platform::TableService &table, Platform::OperationIds &operations,
              Base::RandomSource &random);

    OpenClaim *find(ClaimId id);
    void settle(ClaimId id, OpenClaim &claim, ClaimGoal goal, Base::TimePoint now);
    void timerDue(ClaimId id, OpenClaim &claim, Base::TimePoint now);

    void write(ClaimId id, OpenClaim &claim, Base::TimePoint now);
    void read(ClaimId id, OpenClaim &claim);
    void pause(ClaimId id, OpenClaim &claim, bool isReadDue, Base::TimePoint now);
    void setTimer(ClaimId id, OpenClaim &claim, Base::TimePoint at);

    void rowWritten(ClaimId id, OpenClaim &claim, const RowResult &result, Base::TimePoint now);
    void writeDone(ClaimId id, OpenClaim &claim, Base::TimePoint now);
    void writeNotDone(ClaimId id, OpenClaim &claim, Base::TimePoint now);
    void rowRead(ClaimId id, OpenClaim &claim, const Platform::TableOutcome &outcome,
                 Base::TimePoint now);
    void judgeAbsent(ClaimId id, OpenClaim &claim, Base::TimePoint now);
    void judgeOwn(ClaimId id, OpenClaim &claim, const JudgedRow &judged, Base::TimePoint now);
    void judgeFree(ClaimId id, OpenClaim &claim, const JudgedRow &judged, Base::TimePoint now);
    void judgeOther(ClaimId id, OpenClaim &claim, ClaimVerdict verdict,
                    const std::string &answer = {});

    void own(ClaimId id, OpenClaim &claim, Base::TimePoint now);
    void writeAgain(ClaimId id, OpenClaim &claim, Base::TimePoint now);
    void giveUp(ClaimId id, OpenClaim &claim, Base::TimePoint now);
    void tell(const OpenClaim &claim, ClaimVerdict verdict, const std::string &answer = {});
    void detach(OpenClaim &claim);
    void erase(ClaimId id, OpenClaim &claim);

    ClaimPolicy m_policy;
    Base::HostId m_self;
    Base::Incarnation m_incarnation;
    Platform::TableService *m_table;
    Platform::OperationIds *m_operations;
    Base::RandomSource *m_random;
    RowWriter m_writer;
    ClaimId m_lastId = 0;
    std::map<ClaimId, OpenClaim> m_claims;
    std::map<Base::RequestKey, ClaimId> m_byRequest;
    std::map<Platform::OperationId, ClaimId> m_reads;
    std::multimap<Base::TimePoint, ClaimId> m_timers;
    std::vector<ClaimOutcome> m_outcomes;
};

} // namespace Claims
