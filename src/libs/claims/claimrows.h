#pragma once

#include "base/ids.h"
#include "base/random.h"
#include "base/time.h"
#include "claims/claimjudge.h"
#include "claims/claimpolicy.h"
#include "claims/claimrow.h"
#include "claims/openclaim.h"
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

/// What a claim that was begun came to.
struct ClaimDecision
{
    ClaimId claim = 0;
    ClaimVerdict verdict = ClaimVerdict::Unavailable;
    std::string answer;
    std::uint64_t fence = 0;
};

/// The rows of the claims that this process has a hand in, each driven to its goal (own, renew,
/// complete, release) through refused calls and lost answers.
///
/// One call of the table is under way for each claim. An answer that is lost is made up for by
/// reading the row and comparing the token; what can't be brought to its end now is tried again
/// with growing pauses, until the row is as it should be.
class ClaimProcessor
{
public:
    ClaimProcessor(const ClaimPolicy &policy, const Base::HostId &self,
                   Base::Incarnation incarnation, Storage::TableService &table,
                   Storage::OperationIds &operations, Base::RandomSource &random);

    /// One decision follows, unless the claim is ended before.
    ClaimId begin(const ClaimSubject &subject, Base::TimePoint now, Base::WallTime wallNow);
    /// Owned, and within the lease by this process's own clock.
    bool isHeld(ClaimId id, Base::TimePoint now) const;
    void complete(ClaimId id, const std::string &answer, Base::TimePoint now);
    void release(ClaimId id, Base::TimePoint now);
    /// The row stays as it is; of a claim that was never owned, it is released.
    void abandon(ClaimId id);

    void advance(Base::TimePoint now);
    Base::TimePoint nextDue() const;
    bool handle(const Storage::TableOutcome &outcome, Base::TimePoint now);
    std::vector<ClaimDecision> takeDecisions() { return std::exchange(m_decisions, {}); }
    std::size_t size() const { return m_claims.size(); }

private:
    OpenClaim *find(ClaimId id);
    void setFinalGoal(ClaimId id, OpenClaim &claim, ClaimGoal goal, Base::TimePoint now);
    void timerDue(ClaimId id, OpenClaim &claim, Base::TimePoint now);

    void write(ClaimId id, OpenClaim &claim, Base::TimePoint now);
    void read(ClaimId id, OpenClaim &claim);
    void pause(ClaimId id, OpenClaim &claim, bool isReadDue, Base::TimePoint now);
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

    void setOwned(ClaimId id, OpenClaim &claim, Base::TimePoint now);
    void retryWrite(ClaimId id, OpenClaim &claim, Base::TimePoint now);
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
    /// Customers whose keys were found taken, and until when their claims are read first.
    std::map<Base::CustomerId, Base::TimePoint> m_repeatingCustomers;
    /// A claim's entries but the one at its timerAt are out of date.
    std::multimap<Base::TimePoint, ClaimId> m_timers;
    std::vector<ClaimDecision> m_decisions;
};

} // namespace Claims
