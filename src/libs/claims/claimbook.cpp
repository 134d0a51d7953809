#include "claims/claimbook.h"

#include <algorithm>

namespace Claims {

using Platform::TableStatus;

namespace {

std::uint64_t fenceAt(Base::WallTime time)
{
    // Grows over a row that was swept away as well, where no counter is left to go on from.
    using std::chrono::milliseconds;
    const auto count = std::chrono::duration_cast<milliseconds>(time.time_since_epoch()).count();
    return static_cast<std::uint64_t>(std::max<std::int64_t>(count, 1));
}

} // namespace

Base::Result<ClaimBook> ClaimBook::create(const ClaimPolicy &policy, const Base::HostId &self,
                                          Base::Incarnation incarnation,
                                          Platform::TableService &table,
                                          Platform::OperationIds &operations,
                                          Base::RandomSource &random)
{
    return ClaimBook(policy, self, incarnation, table, operations, random);
}

ClaimBook::ClaimBook(const ClaimPolicy &policy, const Base::HostId &self,
                     Base::Incarnation incarnation, Platform::TableService &table,
                     Platform::OperationIds &operations, Base::RandomSource &random)
    : m_policy(policy)
    , m_self(self)
    , m_incarnation(incarnation)
    , m_table(&table)
    , m_operations(&operations)
    , m_random(&random)
    , m_writer(policy.writer, table, operations)
{}

void ClaimBook::claim(const Base::RequestKey &request, const ClaimSubject &subject,
                      Base::TimePoint now, Base::WallTime wallNow)
{
    if (m_byRequest.contains(request))
        return;
    if (unsettled() >= m_policy.largestUnsettled) {
        m_outcomes.push_back({request, ClaimVerdict::Unavailable, {}, 0});
        return;
    }
    const ClaimId id = ++m_lastId;
    OpenClaim &claim = m_claims[id];
    m_byRequest[request] = id;
    claim.request = request;
    claim.subject = subject;
    claim.key = claimKey(subject);
    claim.startedAt = now;
    claim.startedAtWall = wallNow;
    claim.row.token = m_self.value() + '-' + std::to_string(m_incarnation) + '-'
                      + std::to_string(id) + '-' + std::to_string(m_random->next());
    claim.row.owner = m_self;
    claim.row.incarnation = m_incarnation;
    claim.row.contentHash = subject.contentHash;
    claim.row.fence = fenceAt(wallNow);
    // The lease counts from here, whichever write of the claim takes effect.
    claim.writtenAt = now;
    write(id, claim, now);
    setTimer(id, claim, now + m_policy.decideWithin);
    m_writer.flush();
}

bool ClaimBook::maySend(const Base::RequestKey &request, Base::TimePoint now) const
{
    const auto it = m_byRequest.find(request);
    if (it == m_byRequest.end())
        return false;
    const OpenClaim &claim = m_claims.at(it->second);
    return claim.isOwned && !claim.isLost && now < claim.leaseEnd;
}

void ClaimBook::complete(const Base::RequestKey &request, const std::string &answer,
                         Base::TimePoint now)
{
    const auto it = m_byRequest.find(request);
    if (it == m_byRequest.end())
        return;
    const ClaimId id = it->second;
    OpenClaim &claim = m_claims.at(id);
    claim.row.isAnswerKept = answer.size() <= m_policy.largestAnswer;
    if (claim.row.isAnswerKept)
        claim.row.answer = answer;
    settle(id, claim, ClaimGoal::Complete, now);
}

void ClaimBook::release(const Base::RequestKey &request, Base::TimePoint now)
{
    const auto it = m_byRequest.find(request);
    if (it != m_byRequest.end())
        settle(it->second, m_claims.at(it->second), ClaimGoal::Release, now);
}

void ClaimBook::abandon(const Base::RequestKey &request)
{
    const auto it = m_byRequest.find(request);
    if (it == m_byRequest.end())
        return;
    const ClaimId id = it->second;
    OpenClaim &claim = m_claims.at(id);
    // Never owned: maySend() was never true, so the work can't have left.
    if (claim.isOwned)
        erase(id, claim);
    else
        settle(id, claim, ClaimGoal::Release, claim.startedAt);
}

void ClaimBook::settle(ClaimId id, OpenClaim &claim, ClaimGoal goal, Base::TimePoint now)
{
    detach(claim);
    claim.goal = goal;
    claim.attempts = 0;
    const bool isBusy = claim.step == ClaimStep::Writing || claim.step == ClaimStep::Reading;
    if (isBusy)
        return; // What is under way is judged by the new goal.
    if (claim.isOwned)
        write(id, claim, now);
    else if (claim.mayBeWritten)
        read(id, claim);
    else
        erase(id, claim);
    m_writer.flush();
}

void ClaimBook::advance(Base::TimePoint now)
{
    while (!m_timers.empty() && m_timers.begin()->first <= now) {
        const auto [at, id] = *m_timers.begin();
        m_timers.erase(m_timers.begin());
        OpenClaim *claim = find(id);
        if (!claim)
            continue;
        const bool isOverdue = now >= claim->startedAt + m_policy.decideWithin;
        if (claim->goal == ClaimGoal::Own && isOverdue)
            giveUp(id, *claim, now);
        else if (claim->timerAt == at)
            timerDue(id, *claim, now);
    }
    m_writer.flush();
}

Base::TimePoint ClaimBook::nextDue() const
{
    if (!m_outcomes.empty())
        return Base::TimePoint::min();
    return m_timers.empty() ? Base::TimePoint::max() : m_timers.begin()->first;
}

bool ClaimBook::handle(const Platform::TableOutcome &outcome, Base::TimePoint now)
{
    const auto it = m_reads.find(outcome.operation);
    if (it != m_reads.end()) {
        const ClaimId id = it->second;
        m_reads.erase(it);
        if (OpenClaim *claim = find(id))
            rowRead(id, *claim, outcome, now);
    } else if (!m_writer.handle(outcome)) {
        return false;
    }
    for (const RowResult &result : m_writer.takeResults()) {
        if (OpenClaim *claim = find(result.claim))
            rowWritten(result.claim, *claim, result, now);
    }
    m_writer.flush();
    return true;
}

OpenClaim *ClaimBook::find(ClaimId id)
{
    const auto it = m_claims.find(id);
    return it == m_claims.end() ? nullptr : &it->second;
}

void ClaimBook::write(ClaimId id, OpenClaim &claim, Base::TimePoint now)
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
    claim.written = claim.goal;
    m_writer.write(id, {claim.key, encodeClaim(row), claim.expected});
}

void ClaimBook::read(ClaimId id, OpenClaim &claim)
{
    claim.step = ClaimStep::Reading;
    const Platform::OperationId operation = m_operations->next();
    m_reads[operation] = id;
    m_table->read(operation, claim.key);
}

void ClaimBook::pause(ClaimId id, OpenClaim &claim, bool isReadDue, Base::TimePoint now)
{
    claim.step = ClaimStep::Pausing;
    claim.isReadDue = isReadDue;
    const std::uint32_t doublings = std::min(claim.attempts++, 16U);
    const Base::Duration length =
        std::min(m_policy.firstPause * (1U << doublings), m_policy.longestPause);
    const auto spread = static_cast<std::uint64_t>((length / 2).count()) + 1;
    setTimer(id, claim, now + length + Base::Duration(m_random->next() % spread));
}

void ClaimBook::setTimer(ClaimId id, OpenClaim &claim, Base::TimePoint at)
{
    claim.timerAt = at;
    m_timers.emplace(at, id);
}

void ClaimBook::timerDue(ClaimId id, OpenClaim &claim, Base::TimePoint now)
{
    const bool isBusy = claim.step == ClaimStep::Writing || claim.step == ClaimStep::Reading;
    if (isBusy)
        return;
    // Lapsed: not renewed, since others may have been told so; the request is refused by
    // maySend() and releases the key.
    if (claim.goal == ClaimGoal::Renew && now >= claim.leaseEnd)
        return;
    if (claim.isReadDue)
        read(id, claim);
    else
        write(id, claim, now);
    claim.isReadDue = false;
}

void ClaimBook::rowWritten(ClaimId id, OpenClaim &claim, const RowResult &result,
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
    // Somebody's row, or our own from a write whose answer was lost: its token tells. Without
    // this look a lost answer would leave our own claim in the way of its own request.
    if (claim.goal == ClaimGoal::Release && !claim.mayBeWritten)
        erase(id, claim);
    else
        read(id, claim);
}

void ClaimBook::writeDone(ClaimId id, OpenClaim &claim, Base::TimePoint now)
{
    claim.mayBeWritten = true;
    claim.attempts = 0;
    switch (claim.written) {
    case ClaimGoal::Own:
        own(id, claim, now);
        return;
    case ClaimGoal::Renew:
        // An answer after the old lease's end renews nothing: maySend() said no meanwhile.
        if (now < claim.leaseEnd)
            claim.leaseEnd = claim.writtenAt + m_policy.lease;
        if (claim.goal == ClaimGoal::Renew)
            setTimer(id, claim, claim.writtenAt + m_policy.lease / 2);
        else
            write(id, claim, now);
        return;
    case ClaimGoal::Complete:
    case ClaimGoal::Release:
        erase(id, claim);
        return;
    }
}

void ClaimBook::writeNotDone(ClaimId id, OpenClaim &claim, Base::TimePoint now)
{
    const bool isUnwritten = !claim.mayBeWritten;
    if (claim.goal == ClaimGoal::Own || (claim.goal == ClaimGoal::Release && isUnwritten))
        giveUp(id, claim, now);
    else
        pause(id, claim, false, now);
}

void ClaimBook::rowRead(ClaimId id, OpenClaim &claim, const Platform::TableOutcome &outcome,
                        Base::TimePoint now)
{
    claim.step = ClaimStep::Idle;
    if (outcome.status != TableStatus::Done) {
        const bool isLast = claim.attempts >= m_policy.largestAttempts;
        const bool isUnwritten = claim.goal == ClaimGoal::Release && !claim.mayBeWritten;
        if ((claim.goal == ClaimGoal::Own && isLast) || isUnwritten)
            giveUp(id, claim, now);
        else
            pause(id, claim, true, now);
        return;
    }
    const JudgedRow judged =
        judgeRows(outcome.rows, claim.row, claim.wallAt(now), m_policy.clockSkew);
    switch (judged.meaning) {
    case RowMeaning::Absent:
        judgeAbsent(id, claim, now);
        return;
    case RowMeaning::Own:
        judgeOwn(id, claim, judged, now);
        return;
    case RowMeaning::Free:
        judgeFree(id, claim, judged, now);
        return;
    case RowMeaning::OtherContent:
        judgeOther(id, claim, ClaimVerdict::Conflict);
        return;
    case RowMeaning::Completed:
        judgeOther(id, claim, ClaimVerdict::Completed, judged.row.answer);
        return;
    case RowMeaning::CompletedUnstored:
        judgeOther(id, claim, ClaimVerdict::CompletedUnstored);
        return;
    case RowMeaning::Live:
        judgeOther(id, claim, ClaimVerdict::InProgress);
        return;
    case RowMeaning::Lapsed:
    case RowMeaning::Malformed:
        judgeOther(id, claim, ClaimVerdict::Undecidable);
        return;
    }
}

void ClaimBook::judgeAbsent(ClaimId id, OpenClaim &claim, Base::TimePoint now)
{
    if (claim.goal == ClaimGoal::Renew) {
        claim.isLost = true;
        return;
    }
    // A write that timed out may arrive yet. Written again with the same token, whichever comes
    // first makes the row and the other fails; a released row keeps it out in the same way.
    claim.expected = Platform::absentRow;
    if (claim.goal == ClaimGoal::Release && !claim.mayBeWritten)
        erase(id, claim);
    else
        writeAgain(id, claim, now);
}

void ClaimBook::judgeOwn(ClaimId id, OpenClaim &claim, const JudgedRow &judged, Base::TimePoint now)
{
    claim.expected = judged.version;
    claim.mayBeWritten = true;
    const bool isCompleted = judged.row.state == ClaimState::Completed;
    const bool isReleased = judged.row.state == ClaimState::Released;
    switch (claim.goal) {
    case ClaimGoal::Own:
        claim.row.fence = judged.row.fence;
        own(id, claim, now);
        return;
    case ClaimGoal::Renew:
        if (now < claim.leaseEnd)
            write(id, claim, now);
        return;
    case ClaimGoal::Complete:
    case ClaimGoal::Release:
        if (isCompleted || isReleased)
            erase(id, claim);
        else
            write(id, claim, now);
        return;
    }
}

void ClaimBook::judgeFree(ClaimId id, OpenClaim &claim, const JudgedRow &judged,
                          Base::TimePoint now)
{
    const bool isReleasing = claim.goal == ClaimGoal::Release && claim.mayBeWritten;
    if (claim.goal != ClaimGoal::Own && !isReleasing) {
        judgeOther(id, claim, ClaimVerdict::Unavailable);
        return;
    }
    // When releasing as well: a claim of ours over this row may be under way, and fails only
    // if the row's version has changed.
    claim.expected = judged.version;
    claim.row.fence = std::max(claim.row.fence, judged.row.fence + 1);
    writeAgain(id, claim, now);
}

void ClaimBook::judgeOther(ClaimId id, OpenClaim &claim, ClaimVerdict verdict,
                           const std::string &answer)
{
    if (claim.goal == ClaimGoal::Renew) {
        claim.isLost = true;
        return;
    }
    // To complete or release what is another's now would undo the other's work: left alone. A
    // late write of our own can't arrive either, while there is a row.
    if (claim.goal == ClaimGoal::Own)
        tell(claim, verdict, answer);
    erase(id, claim);
}

void ClaimBook::own(ClaimId id, OpenClaim &claim, Base::TimePoint now)
{
    claim.isOwned = true;
    claim.attempts = 0;
    claim.leaseEnd = claim.writtenAt + m_policy.lease;
    if (claim.goal != ClaimGoal::Own) {
        write(id, claim, now);
        return;
    }
    claim.goal = ClaimGoal::Renew;
    setTimer(id, claim, claim.writtenAt + m_policy.lease / 2);
    tell(claim, ClaimVerdict::Claimed);
}

void ClaimBook::writeAgain(ClaimId id, OpenClaim &claim, Base::TimePoint now)
{
    if (claim.goal == ClaimGoal::Own && ++claim.attempts > m_policy.largestAttempts)
        giveUp(id, claim, now);
    else
        write(id, claim, now);
}

void ClaimBook::giveUp(ClaimId id, OpenClaim &claim, Base::TimePoint now)
{
    tell(claim, ClaimVerdict::Unavailable);
    detach(claim);
    claim.goal = ClaimGoal::Release;
    claim.attempts = 0;
    const bool isBusy = claim.step == ClaimStep::Writing || claim.step == ClaimStep::Reading;
    if (isBusy)
        return;
    // Our row may be there, or come: the key would stay taken until the end of its retention.
    // Only this process knows that nothing was sent, so it goes on until the row is released.
    if (claim.mayBeWritten)
        pause(id, claim, true, now);
    else
        erase(id, claim);
}

void ClaimBook::tell(const OpenClaim &claim, ClaimVerdict verdict, const std::string &answer)
{
    if (!claim.request)
        return;
    const std::uint64_t fence = verdict == ClaimVerdict::Claimed ? claim.row.fence : 0;
    m_outcomes.push_back({*claim.request, verdict, answer, fence});
}

void ClaimBook::detach(OpenClaim &claim)
{
    if (claim.request)
        m_byRequest.erase(*claim.request);
    claim.request.reset();
}

void ClaimBook::erase(ClaimId id, OpenClaim &claim)
{
    detach(claim);
    m_claims.erase(id);
}

} // namespace Claims
