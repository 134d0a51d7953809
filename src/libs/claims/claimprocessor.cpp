#include "claims/claimprocessor.h"

#include <algorithm>

namespace Claims {

using Storage::TableStatus;

namespace {

std::uint64_t fenceAt(Base::WallTime time)
{
    // A fence derived from the time also exceeds that of a row that has been deleted after its
    // retention, where no counter is left to continue.
    using std::chrono::milliseconds;
    const auto count = std::chrono::duration_cast<milliseconds>(time.time_since_epoch()).count();
    return static_cast<std::uint64_t>(std::max<std::int64_t>(count, 1));
}

} // namespace

ClaimProcessor::ClaimProcessor(const ClaimPolicy &policy, const Base::HostId &self,
                               Base::Incarnation incarnation, Storage::TableService &table,
                               Storage::OperationIds &operations, Base::RandomSource &random)
    : m_policy(policy)
    , m_self(self)
    , m_incarnation(incarnation)
    , m_random(&random)
    , m_writer(policy.writer, table, operations)
    , m_reader(policy.largestReads, table, operations)
{}

ClaimId ClaimProcessor::begin(const ClaimSubject &subject, Base::TimePoint now,
                              Base::WallTime wallNow)
{
    const ClaimId id = ++m_lastId;
    OpenClaim &claim = m_claims[id];
    claim.customer = subject.customer;
    claim.key = claimKey(subject);
    claim.startedAt = now;
    claim.startedAtWall = wallNow;
    claim.row.token = m_self.value() + '-' + std::to_string(m_incarnation) + '-'
                      + std::to_string(id) + '-' + std::to_string(m_random->next());
    claim.row.owner = m_self;
    claim.row.incarnation = m_incarnation;
    claim.row.contentHash = subject.contentHash;
    claim.row.fence = fenceAt(wallNow);
    // The lease is counted from here, whichever write of the claim takes effect.
    claim.writtenAt = now;
    if (isRepeating(subject.customer, now))
        read(id, claim);
    else
        write(id, claim, now);
    setTimer(id, claim, now + m_policy.decisionTimeout);
    m_writer.flush(now);
    return id;
}

bool ClaimProcessor::isHeld(ClaimId id, Base::TimePoint now) const
{
    const auto it = m_claims.find(id);
    if (it == m_claims.end())
        return false;
    const OpenClaim &claim = it->second;
    return claim.isOwned && !claim.isLost && now < claim.leaseEnd;
}

void ClaimProcessor::complete(ClaimId id, const std::string &answer, Base::TimePoint now)
{
    OpenClaim *claim = find(id);
    if (!claim)
        return;
    claim->row.isAnswerKept = answer.size() <= m_policy.largestAnswer;
    if (claim->row.isAnswerKept)
        claim->row.answer = answer;
    setFinalGoal(id, *claim, ClaimGoal::Complete, now);
}

void ClaimProcessor::release(ClaimId id, Base::TimePoint now)
{
    if (OpenClaim *claim = find(id))
        setFinalGoal(id, *claim, ClaimGoal::Release, now);
}

void ClaimProcessor::abandon(ClaimId id)
{
    OpenClaim *claim = find(id);
    if (!claim)
        return;
    // For a claim that was never owned, isHeld() was never true, so the work cannot have been sent.
    if (claim->isOwned)
        m_claims.erase(id);
    else
        setFinalGoal(id, *claim, ClaimGoal::Release, claim->startedAt);
}

void ClaimProcessor::setFinalGoal(ClaimId id, OpenClaim &claim, ClaimGoal goal, Base::TimePoint now)
{
    claim.goal = goal;
    claim.attempts = 0;
    const bool isBusy = claim.step == ClaimStep::Writing || claim.step == ClaimStep::Reading;
    if (isBusy)
        return; // The outcome of the call in flight is handled for the new goal.
    if (claim.isOwned)
        write(id, claim, now);
    else if (claim.mayBeWritten)
        read(id, claim);
    else
        m_claims.erase(id);
    m_writer.flush(now);
}

void ClaimProcessor::advance(Base::TimePoint now)
{
    while (!m_timers.empty() && m_timers.begin()->first <= now) {
        const auto [at, id] = *m_timers.begin();
        m_timers.erase(m_timers.begin());
        OpenClaim *claim = find(id);
        if (!claim)
            continue;
        const bool isOverdue = now >= claim->startedAt + m_policy.decisionTimeout;
        if (claim->goal == ClaimGoal::Acquire && isOverdue)
            giveUp(id, *claim, now);
        else if (claim->timerAt == at)
            timerDue(id, *claim, now);
    }
    m_writer.flush(now);
}

Base::TimePoint ClaimProcessor::nextDue() const
{
    if (!m_decisions.empty())
        return Base::TimePoint::min();
    const Base::TimePoint due = m_writer.nextDue();
    return m_timers.empty() ? due : std::min(due, m_timers.begin()->first);
}

bool ClaimProcessor::handle(const Storage::TableOutcome &outcome, Base::TimePoint now)
{
    if (const std::optional<ClaimId> id = m_reader.handle(outcome)) {
        if (OpenClaim *claim = find(*id))
            rowRead(*id, *claim, outcome, now);
    } else if (!m_writer.handle(outcome)) {
        return false;
    }
    for (const RowWriteResult &result : m_writer.takeResults()) {
        if (OpenClaim *claim = find(result.claim))
            rowWritten(result.claim, *claim, result, now);
    }
    m_writer.flush(now);
    return true;
}

OpenClaim *ClaimProcessor::find(ClaimId id)
{
    const auto it = m_claims.find(id);
    return it == m_claims.end() ? nullptr : &it->second;
}

void ClaimProcessor::write(ClaimId id, OpenClaim &claim, Base::TimePoint now)
{
    const Base::WallTime wall = claim.wallAt(now);
    ClaimRow &row = claim.row;
    row.state = ClaimState::Claimed;
    row.retainUntil = wall + m_policy.retention;
    if (claim.goal == ClaimGoal::Renew)
        claim.writtenAt = now;
    if (claim.goal == ClaimGoal::Complete)
        row.state = ClaimState::Completed;
    if (claim.goal == ClaimGoal::Release) {
        row.state = ClaimState::Released;
        row.retainUntil = wall + m_policy.releasedRetention;
    }
    row.leaseUntil = claim.wallAt(claim.writtenAt)
                     + std::chrono::duration_cast<Base::WallTime::duration>(m_policy.lease);
    claim.step = ClaimStep::Writing;
    claim.writingGoal = claim.goal;
    m_writer.write(id, {claim.key, encodeClaim(row), claim.expected});
}

void ClaimProcessor::read(ClaimId id, OpenClaim &claim)
{
    claim.step = ClaimStep::Reading;
    m_reader.read(id, claim.customer, claim.key);
}

bool ClaimProcessor::isRepeating(const Base::CustomerId &customer, Base::TimePoint now)
{
    const auto it = m_repeatingCustomers.find(customer);
    if (it == m_repeatingCustomers.end())
        return false;
    if (now < it->second)
        return true;
    m_repeatingCustomers.erase(it);
    return false;
}

void ClaimProcessor::pause(ClaimId id, OpenClaim &claim, bool isReadDue, Base::TimePoint now)
{
    claim.step = ClaimStep::Pausing;
    claim.isReadDue = isReadDue;
    const std::uint32_t doublings = std::min(claim.attempts++, 16U);
    const Base::Duration length =
        std::min(m_policy.firstPause * (1U << doublings), m_policy.longestPause);
    const auto spread = static_cast<std::uint64_t>((length / 2).count()) + 1;
    setTimer(id, claim, now + length + Base::Duration(m_random->next() % spread));
}

void ClaimProcessor::setTimer(ClaimId id, OpenClaim &claim, Base::TimePoint at)
{
    claim.timerAt = at;
    m_timers.emplace(at, id);
}

void ClaimProcessor::timerDue(ClaimId id, OpenClaim &claim, Base::TimePoint now)
{
    const bool isBusy = claim.step == ClaimStep::Writing || claim.step == ClaimStep::Reading;
    if (isBusy)
        return;
    // An expired lease is not renewed, since other callers may already have been told that it
    // expired. maySend() refuses the request, which then releases the key.
    if (claim.goal == ClaimGoal::Renew && now >= claim.leaseEnd)
        return;
    if (claim.isReadDue)
        read(id, claim);
    else
        write(id, claim, now);
    claim.isReadDue = false;
}

void ClaimProcessor::rowWritten(ClaimId id, OpenClaim &claim, const RowWriteResult &result,
                                Base::TimePoint now)
{
    claim.step = ClaimStep::Idle;
    switch (result.status) {
    case TableStatus::Done:
        claim.expected = result.version;
        writeDone(id, claim, now);
        return;
    case TableStatus::NotDone:
        writeNotDone(id, claim, now);
        return;
    case TableStatus::Unknown:
        claim.mayBeWritten = true;
        break;
    case TableStatus::Conflict:
        break;
    }
    // The row belongs to another claimer, or to this one from a write whose answer was lost. The
    // token of the row tells which. Without this read, a lost answer would make a claim block its
    // own request.
    if (claim.goal == ClaimGoal::Release && !claim.mayBeWritten)
        m_claims.erase(id);
    else
        read(id, claim);
}

void ClaimProcessor::writeDone(ClaimId id, OpenClaim &claim, Base::TimePoint now)
{
    claim.mayBeWritten = true;
    claim.attempts = 0;
    switch (claim.writingGoal) {
    case ClaimGoal::Acquire:
        setOwned(id, claim, now);
        return;
    case ClaimGoal::Renew:
        // An answer that arrives after the end of the old lease does not renew it, since maySend()
        // has returned false in the meantime.
        if (now < claim.leaseEnd)
            claim.leaseEnd = claim.writtenAt + m_policy.lease;
        if (claim.goal == ClaimGoal::Renew)
            setTimer(id, claim, claim.writtenAt + m_policy.lease / 2);
        else
            write(id, claim, now);
        return;
    case ClaimGoal::Complete:
    case ClaimGoal::Release:
        m_claims.erase(id);
        return;
    }
}

void ClaimProcessor::writeNotDone(ClaimId id, OpenClaim &claim, Base::TimePoint now)
{
    const bool isUnwritten = !claim.mayBeWritten;
    if (claim.goal == ClaimGoal::Acquire || (claim.goal == ClaimGoal::Release && isUnwritten))
        giveUp(id, claim, now);
    else
        pause(id, claim, false, now);
}

void ClaimProcessor::rowRead(ClaimId id, OpenClaim &claim, const Storage::TableOutcome &outcome,
                             Base::TimePoint now)
{
    claim.step = ClaimStep::Idle;
    if (outcome.status != TableStatus::Done) {
        const bool isLast = claim.attempts >= m_policy.largestAttempts;
        const bool isUnwritten = claim.goal == ClaimGoal::Release && !claim.mayBeWritten;
        if ((claim.goal == ClaimGoal::Acquire && isLast) || isUnwritten)
            giveUp(id, claim, now);
        else
            pause(id, claim, true, now);
        return;
    }
    const ClassifiedRow classified =
        classifyRow(outcome.rows, claim.row, claim.wallAt(now), m_policy.clockSkew);
    switch (classified.kind) {
    case RowKind::Absent:
        handleAbsentRow(id, claim, now);
        return;
    case RowKind::Own:
        handleOwnRow(id, claim, classified, now);
        return;
    case RowKind::Free:
        handleReleasedRow(id, claim, classified, now);
        return;
    default:
        handleForeignRow(id, claim, classified, now);
    }
}

void ClaimProcessor::handleAbsentRow(ClaimId id, OpenClaim &claim, Base::TimePoint now)
{
    if (claim.goal == ClaimGoal::Renew) {
        claim.isLost = true;
        return;
    }
    // A write that timed out may still arrive. The row is written again with the same token:
    // whichever write comes first creates the row, and the other fails. A released row blocks a
    // late write in the same way.
    claim.expected = Storage::absentRow;
    if (claim.goal == ClaimGoal::Release && !claim.mayBeWritten)
        m_claims.erase(id);
    else
        retryWrite(id, claim, now);
}

void ClaimProcessor::handleOwnRow(ClaimId id, OpenClaim &claim, const ClassifiedRow &classified,
                                  Base::TimePoint now)
{
    claim.expected = classified.version;
    claim.mayBeWritten = true;
    const bool isCompleted = classified.row.state == ClaimState::Completed;
    const bool isReleased = classified.row.state == ClaimState::Released;
    switch (claim.goal) {
    case ClaimGoal::Acquire:
        claim.row.fence = classified.row.fence;
        setOwned(id, claim, now);
        return;
    case ClaimGoal::Renew:
        if (now < claim.leaseEnd)
            write(id, claim, now);
        return;
    case ClaimGoal::Complete:
    case ClaimGoal::Release:
        if (isCompleted || isReleased)
            m_claims.erase(id);
        else
            write(id, claim, now);
        return;
    }
}

void ClaimProcessor::handleReleasedRow(ClaimId id, OpenClaim &claim,
                                       const ClassifiedRow &classified, Base::TimePoint now)
{
    const bool isReleasing = claim.goal == ClaimGoal::Release && claim.mayBeWritten;
    if (claim.goal != ClaimGoal::Acquire && !isReleasing) {
        handleForeignRow(id, claim, classified, now);
        return;
    }
    // This is also needed for a release: a claim write of this process over the row may be in
    // flight, and it fails only if the row's version has changed.
    claim.expected = classified.version;
    claim.row.fence = std::max(claim.row.fence, classified.row.fence + 1);
    retryWrite(id, claim, now);
}

void ClaimProcessor::handleForeignRow(ClaimId id, OpenClaim &claim, const ClassifiedRow &classified,
                                      Base::TimePoint now)
{
    if (claim.goal == ClaimGoal::Renew) {
        claim.isLost = true;
        return;
    }
    // A row of another claimer is never completed or released, since that would undo the other's
    // work. A late write of this process cannot take effect either while there is a row.
    if (claim.goal == ClaimGoal::Acquire) {
        // If its repeats were written without a read, each of them would make a batch with the
        // claims of others fail.
        m_repeatingCustomers[claim.customer] = now + m_policy.readFirstPeriod;
        addDecision(id, claim, verdictOf(classified.kind), classified.row.answer);
    }
    m_claims.erase(id);
}

void ClaimProcessor::setOwned(ClaimId id, OpenClaim &claim, Base::TimePoint now)
{
    claim.isOwned = true;
    claim.attempts = 0;
    claim.leaseEnd = claim.writtenAt + m_policy.lease;
    if (claim.goal != ClaimGoal::Acquire) {
        write(id, claim, now);
        return;
    }
    claim.goal = ClaimGoal::Renew;
    setTimer(id, claim, claim.writtenAt + m_policy.lease / 2);
    addDecision(id, claim, ClaimVerdict::Claimed);
}

void ClaimProcessor::retryWrite(ClaimId id, OpenClaim &claim, Base::TimePoint now)
{
    if (claim.goal == ClaimGoal::Acquire && ++claim.attempts > m_policy.largestAttempts)
        giveUp(id, claim, now);
    else
        write(id, claim, now);
}

void ClaimProcessor::giveUp(ClaimId id, OpenClaim &claim, Base::TimePoint now)
{
    if (claim.goal == ClaimGoal::Acquire)
        addDecision(id, claim, ClaimVerdict::Unavailable);
    claim.goal = ClaimGoal::Release;
    claim.attempts = 0;
    const bool isBusy = claim.step == ClaimStep::Writing || claim.step == ClaimStep::Reading;
    if (isBusy)
        return;
    // The row of this claim may exist or may still be created, and the key would then stay taken
    // until the end of its retention. Only this process knows that nothing was sent, so it retries
    // until the row is released.
    if (claim.mayBeWritten)
        pause(id, claim, true, now);
    else
        m_claims.erase(id);
}

void ClaimProcessor::addDecision(ClaimId id, const OpenClaim &claim, ClaimVerdict verdict,
                                 const std::string &answer)
{
    const std::uint64_t fence = verdict == ClaimVerdict::Claimed ? claim.row.fence : 0;
    m_decisions.push_back({id, verdict, answer, fence});
}

} // namespace Claims
