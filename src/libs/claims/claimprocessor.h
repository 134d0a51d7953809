#pragma once

#include "base/ids.h"
#include "base/random.h"
#include "base/time.h"
#include "claims/claimpolicy.h"
#include "claims/claimrow.h"
#include "claims/openclaim.h"
#include "claims/rowclassifier.h"
#include "claims/rowreader.h"
#include "claims/rowwriter.h"
#include "storage/operationids.h"
#include "storage/tableservice.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace Claims {

/// The result of a claim that was started with ClaimProcessor::begin().
struct ClaimDecision
{
    ClaimId claim = 0;
    ClaimVerdict verdict = ClaimVerdict::Unavailable;
    std::string answer;
    std::uint64_t fence = 0;
};

/// Brings the row of each claim of this process to the claim's goal (acquire, renew, complete,
/// release) in spite of refused calls and lost answers.
///
/// Each claim has at most one table call in flight. After a lost answer the row is read and its
/// token compared. A claim that cannot reach its goal is retried with exponential backoff until
/// its row has the desired state.
class ClaimProcessor
{
public:
    ClaimProcessor(const ClaimPolicy &policy, const Base::HostId &self,
                   Base::Incarnation incarnation, Storage::TableService &table,
                   Storage::OperationIds &operations, Base::RandomSource &random);

    /// Starts a claim. One decision follows, unless the claim is completed, released or abandoned
    /// before.
    ClaimId begin(const ClaimSubject &subject, Base::TimePoint now, Base::WallTime wallNow);
    /// Returns whether this process owns the claim and, by its own clock, the lease is valid.
    bool isHeld(ClaimId id, Base::TimePoint now) const;
    /// Stores the row as completed, with \a answer if it is small enough.
    void complete(ClaimId id, const std::string &answer, Base::TimePoint now);
    /// Stores the row as released.
    void release(ClaimId id, Base::TimePoint now);
    /// Leaves the row of an owned claim as it is. Releases a claim that was never owned.
    void abandon(ClaimId id);

    /// Handles the timers that are due and sends the writes that may leave.
    void advance(Base::TimePoint now);
    /// Returns when advance() has work to do next.
    Base::TimePoint nextDue() const;
    /// Returns whether \a outcome belongs to a call of this object.
    bool handle(const Storage::TableOutcome &outcome, Base::TimePoint now);
    /// Returns and clears the decisions since the last call.
    std::vector<ClaimDecision> takeDecisions() { return std::exchange(m_decisions, {}); }
    /// Returns the number of claims that are undecided, held or not yet settled.
    std::size_t size() const { return m_claims.size(); }

private:
    OpenClaim *find(ClaimId id);
    /// Sets the goal of a claim whose request has ended, and starts the first call for it.
    void setFinalGoal(ClaimId id, OpenClaim &claim, ClaimGoal goal, Base::TimePoint now);
    void timerDue(ClaimId id, OpenClaim &claim, Base::TimePoint now);

    void write(ClaimId id, OpenClaim &claim, Base::TimePoint now);
    void read(ClaimId id, OpenClaim &claim);
    /// Schedules the next read or write after a pause with backoff and jitter.
    void pause(ClaimId id, OpenClaim &claim, bool isReadDue, Base::TimePoint now);
    /// Returns whether a claim of \a customer recently found its key taken.
    bool isRepeating(const Base::CustomerId &customer, Base::TimePoint now);
    void setTimer(ClaimId id, OpenClaim &claim, Base::TimePoint at);

    void rowWritten(ClaimId id, OpenClaim &claim, const RowWriteResult &result,
                    Base::TimePoint now);
    void writeDone(ClaimId id, OpenClaim &claim, Base::TimePoint now);
    void writeNotDone(ClaimId id, OpenClaim &claim, Base::TimePoint now);
    void rowRead(ClaimId id, OpenClaim &claim, const Storage::TableOutcome &outcome,
                 Base::TimePoint now);
    void handleAbsentRow(ClaimId id, OpenClaim &claim, Base::TimePoint now);
    void handleOwnRow(ClaimId id, OpenClaim &claim, const ClassifiedRow &classified,
                      Base::TimePoint now);
    void handleReleasedRow(ClaimId id, OpenClaim &claim, const ClassifiedRow &classified,
                           Base::TimePoint now);
    void handleForeignRow(ClaimId id, OpenClaim &claim, const ClassifiedRow &classified,
                          Base::TimePoint now);

    /// Records that the table confirmed the row as this process's own.
    void setOwned(ClaimId id, OpenClaim &claim, Base::TimePoint now);
    /// Writes the row again, or gives up an undecided claim after too many attempts.
    void retryWrite(ClaimId id, OpenClaim &claim, Base::TimePoint now);
    /// Decides an undecided claim as Unavailable, and releases its row if there may be one.
    void giveUp(ClaimId id, OpenClaim &claim, Base::TimePoint now);
    void addDecision(ClaimId id, const OpenClaim &claim, ClaimVerdict verdict,
                     const std::string &answer = {});

    ClaimPolicy m_policy;
    Base::HostId m_self;
    Base::Incarnation m_incarnation;
    Base::RandomSource *m_random;
    RowWriter m_writer;
    RowReader m_reader;
    ClaimId m_lastId = 0;
    std::map<ClaimId, OpenClaim> m_claims;
    /// Customers whose keys were found taken, with the time until which their claims are read
    /// before they are written.
    std::map<Base::CustomerId, Base::TimePoint> m_repeatingCustomers;
    /// Timers of the claims. Entries other than the one at OpenClaim::timerAt are stale; they only
    /// serve to detect that an undecided claim has reached its decision timeout.
    std::multimap<Base::TimePoint, ClaimId> m_timers;
    std::vector<ClaimDecision> m_decisions;
};

} // namespace Claims
