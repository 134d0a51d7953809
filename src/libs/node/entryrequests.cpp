#include "node/entryrequests.h"

#include "node/attempt.h"
#include "node/failures.h"
#include "node/nodeconstants.h"
#include "node/requesttraits.h"

#include <algorithm>
#include <utility>

namespace Node {

namespace {

/// Keeps \a payload for a repeated call. Returns false if the answer is too large to be kept.
bool storePart(OpenRequest &open, const std::string &payload)
{
    open.storedAnswerBytes += payload.size();
    if (open.storedAnswerBytes > maxStoredAnswerBytes)
        return false;
    open.storedAnswer.parts.push_back(payload);
    return true;
}

/// Returns whether the backend server has sent nothing for backendIdleTimeout. The connection to
/// a frozen server stays open, so without this check its caller would wait forever. A stream that
/// is paused for a slow caller does not count as idle.
bool isBackendIdle(const OpenRequest &open, Base::TimePoint now)
{
    return open.state == RequestState::Sent && !open.isBlocked
           && now - open.lastResponseAt >= backendIdleTimeout;
}

} // namespace

Base::Result<std::unique_ptr<EntryRequests>> EntryRequests::create(const EntryContext &context)
{
    const NodeSettings &settings = context.settings;
    BOOST_LEAF_AUTO(budget, Scheduling::RetryBudget::create(settings.retries));
    BOOST_LEAF_AUTO(policy, Scheduling::RetryPolicy::create(settings.retryPolicy));
    return std::unique_ptr<EntryRequests>(
        new EntryRequests(context, std::move(budget), std::move(policy)));
}

EntryRequests::EntryRequests(const EntryContext &context, Scheduling::RetryBudget budget,
                             Scheduling::RetryPolicy policy)
    : m_context(context)
    , m_budget(std::move(budget))
    , m_retryPolicy(std::move(policy))
    , m_permits({context.settings, context.environment, context.membership, context.directory,
                 context.homes, context.homeOrders, context.outbox})
    , m_recorder(context.environment.observer, context.membership.self().host)
{}

void EntryRequests::open(const CallerRequest &callerRequest, Base::TimePoint now)
{
    const Base::RequestKey key = newKey();
    OpenRequest open;
    open.key = key;
    open.callerRequest = callerRequest;
    open.pool = poolOf(callerRequest);
    open.arrivedAt = now;
    OpenRequest &added = m_open[key] = open;
    m_byCaller[callerRequest.caller] = key;

    // A process that has just started must not report a model as unknown, because it may not yet
    // have its configuration or the list of hosts.
    if (!m_context.configuration.isReady() || !m_context.directory.isKnown()) {
        Failure failure =
            makeFailure(FailureType::NotReady, "no configuration or list of hosts yet");
        failure.retryAfter = notReadyRetryAfter;
        failWith(added, failure, now);
        return;
    }
    const Settings::Configuration &configuration = m_context.configuration.configuration();
    const Settings::Customer *customer = configuration.customerByKeyDigest(callerRequest.keyDigest);
    if (callerRequest.keyDigest.empty() || !customer) {
        failWith(added, makeFailure(FailureType::Unauthorized, "unknown key"), now);
        return;
    }
    added.customer = customer->id;
    const Settings::VersionedTarget *target = configuration.target(callerRequest.workClass);
    if (!target) {
        failWith(added, makeFailure(FailureType::UnknownClass, "unknown class of work"), now);
        return;
    }
    added.target = target->target;
    if (!m_context.directory.hasPool(added.pool)) {
        failWith(added, makeFailure(FailureType::UnknownPool, "unknown model or service"), now);
        return;
    }
    m_budget.recordFirstAttempt();
    if (!added.needsClaim()) {
        startAttempt(added, now);
        return;
    }
    added.state = RequestState::Claiming;
    m_context.claims.claim(
        key, {added.customer, callerRequest.idempotencyKey, contentHash(callerRequest)}, now,
        m_context.environment.wallClock.now());
}

void EntryRequests::handleCallerDisconnected(CallerId caller, Base::TimePoint now)
{
    const auto byCaller = m_byCaller.find(caller);
    if (byCaller == m_byCaller.end())
        return;
    OpenRequest &open = m_open.at(byCaller->second);
    // Work that is not repeatable runs to its end once it is sent. If it were cancelled, no later
    // call with its key could get an answer.
    if (open.needsClaim() && open.state == RequestState::Sent) {
        open.isCallerDisconnected = true;
        return;
    }
    cancelWork(open, now);
    settleClaim(open, now);
    m_recorder.recordEnd(open, nullptr, now);
    close(open.key);
}

void EntryRequests::handleCallerBlocked(CallerId caller)
{
    const auto it = m_byCaller.find(caller);
    if (it == m_byCaller.end())
        return;
    OpenRequest &open = m_open.at(it->second);
    open.isBlocked = true;
    m_context.environment.backends.pause(open.attemptId());
}

void EntryRequests::handleCallerUnblocked(CallerId caller, Base::TimePoint now)
{
    const auto it = m_byCaller.find(caller);
    if (it == m_byCaller.end())
        return;
    OpenRequest &open = m_open.at(it->second);
    open.isBlocked = false;
    open.lastResponseAt = now;
    m_context.environment.backends.resume(open.attemptId());
}

void EntryRequests::handleClaimOutcome(const Claims::ClaimOutcome &outcome, Base::TimePoint now)
{
    const auto it = m_open.find(outcome.request);
    if (it == m_open.end() || it->second.state != RequestState::Claiming)
        return;
    OpenRequest &open = it->second;
    using Claims::ClaimVerdict;
    m_recorder.recordHop(open, Hop::Claim, open.arrivedAt, now, "table",
                         outcome.verdict != ClaimVerdict::Claimed
                             && outcome.verdict != ClaimVerdict::Completed);
    Failure failure;
    switch (outcome.verdict) {
    case ClaimVerdict::Claimed:
        open.fence = outcome.fence;
        startAttempt(open, now);
        return;
    case ClaimVerdict::Completed:
        replay(open, outcome.answer, now);
        return;
    case ClaimVerdict::CompletedUnstored:
        failure = makeFailure(FailureType::KeyInProgress,
                              "a call with this key ran; its answer was too large to be kept");
        failure.ran = Ran::Unknown;
        break;
    case ClaimVerdict::InProgress:
        failure = makeFailure(FailureType::KeyInProgress, "a call with this key is running");
        failure.ran = Ran::Unknown;
        failure.retryAfter = keyInProgressRetryAfter;
        break;
    case ClaimVerdict::Conflict:
        failure = makeFailure(FailureType::KeyConflict, "the key was used for other content");
        break;
    case ClaimVerdict::Indeterminate:
        failure = makeFailure(FailureType::KeyInProgress, "a call with this key may have run");
        failure.ran = Ran::Unknown;
        break;
    case ClaimVerdict::Unavailable:
        failure = makeFailure(FailureType::ClaimUnavailable, "the call could not be claimed");
        failure.retryAfter = claimRetryAfter;
        break;
    }
    failWith(open, failure, now);
}

void EntryRequests::handleGrant(const Base::HostId &home, const PermitGrant &grant,
                                Base::TimePoint now)
{
    OpenRequest *open = find(grant.attempt);
    const bool isKnown = m_context.directory.server(grant.server) != nullptr;
    if (open && open->state == RequestState::Waiting && isKnown) {
        m_permits.acceptGrant(*open, home, grant);
        m_recorder.recordHop(*open, Hop::Queue, open->permitRequestedAt, now, home.value(), false);
        send(*open, now);
        return;
    }
    const bool isInUse = open && open->holdsPermit() && open->permit == grant.attempt
                         && open->home == home && open->server == grant.server;
    if (!isInUse)
        m_permits.declineGrant(home, grant);
}

void EntryRequests::handleRefusal(const PermitRefusal &refusal, Base::TimePoint now)
{
    OpenRequest *open = find(refusal.attempt);
    if (!open || open->state != RequestState::Waiting)
        return;
    m_permits.stopMonitoring(*open);
    m_recorder.recordHop(*open, Hop::Queue, open->permitRequestedAt, now, open->home.value(), true);
    failWith(*open, makeFailure(refusal), now);
}

void EntryRequests::handlePermitQuery(const Base::HostId &home, const PermitQuery &query)
{
    for (const AttemptId &attempt : query.attempts) {
        const auto it = m_open.find(attempt.request);
        const bool isInUse =
            it != m_open.end() && it->second.holdsPermit() && it->second.permit == attempt;
        if (!isInUse)
            m_permits.answerPermitQuery(attempt, home, query.pool, query.shard);
    }
}

void EntryRequests::handleBackendHead(const BackendHead &head, Base::TimePoint now)
{
    OpenRequest *open = find(head.attempt);
    if (!open || open->state != RequestState::Sent)
        return;
    open->lastResponseAt = now;
    open->streamName = head.streamName;
    if (open->isAnswerStarted)
        return;
    open->isAnswerStarted = true;
    AnswerHead answer;
    answer.requestId = Base::toString(open->key);
    answer.status = head.status;
    answer.contentType = head.contentType;
    answer.isEventStream = open->callerRequest.kind == WorkKind::ChatCompletion;
    if (open->needsClaim()) {
        open->storedAnswer.status = answer.status;
        open->storedAnswer.contentType = answer.contentType;
        open->storedAnswer.isEventStream = answer.isEventStream;
    }
    if (!open->isCallerDisconnected)
        m_context.environment.callers.startAnswer(open->callerRequest.caller, answer);
}

void EntryRequests::handleBackendPart(const BackendPart &part, Base::TimePoint now)
{
    OpenRequest *open = find(part.attempt);
    // Late, duplicated and reordered parts carry another attempt number or another index.
    if (!open || open->state != RequestState::Sent || part.index != open->nextPart)
        return;
    ++open->nextPart;
    open->lastResponseAt = now;
    if (!open->hasFirstPart) {
        open->hasFirstPart = true;
        open->firstPartAt = now;
    }
    open->received += part.units;
    if (open->received - open->charged >= m_context.settings.chargeStep)
        m_permits.charge(*open);
    if (open->needsClaim() && !storePart(*open, part.payload)) {
        giveUpAttempt(part.attempt, now);
        return;
    }
    if (!open->isCallerDisconnected)
        m_context.environment.callers.appendAnswer(open->callerRequest.caller, {part.payload});
}

void EntryRequests::handleBackendFinished(const BackendFinished &finished, Base::TimePoint now)
{
    OpenRequest *open = find(finished.attempt);
    if (!open || open->state != RequestState::Sent)
        return;
    if (finished.parts != open->nextPart) {
        handleBackendFailed({finished.attempt, SendState::MaybeRan, 0, std::nullopt}, now);
        return;
    }
    m_recorder.recordHop(*open, Hop::Backend, open->sentAt, now, open->server.value(), false);
    m_permits.release(*open, Scheduling::PermitOutcome::Completed, now);
    if (open->needsClaim())
        m_context.claims.complete(open->key, encodeAnswer(open->storedAnswer), now);
    if (!open->isCallerDisconnected)
        m_context.environment.callers.finishAnswer(open->callerRequest.caller);
    m_recorder.recordEnd(*open, nullptr, now);
    close(open->key);
}

void EntryRequests::handleBackendFailed(const BackendFailed &failed, Base::TimePoint now)
{
    OpenRequest *open = find(failed.attempt);
    if (!open || open->state != RequestState::Sent)
        return;
    if (failed.sent == SendState::MaybeRan)
        open->mayHaveRun = true;
    m_recorder.recordHop(*open, Hop::Backend, open->sentAt, now, open->server.value(), true);
    const Scheduling::RetryDecision decision = decideRetry(*open, failed, now);
    open->state = RequestState::BackingOff;
    open->nextRetryStep = decision.step;
    open->nextRetryStepAt = now + decision.after;
    if (decision.step != Scheduling::RetryStep::ResumeStream)
        m_permits.release(*open, Scheduling::PermitOutcome::Failed, now);
    if (decision.step != Scheduling::RetryStep::GiveUp) {
        m_context.environment.observer.retried(open->key);
        return;
    }
    Failure failure = makeFailure(FailureType::BackendFailed, "the backend server failed");
    failure.retryAfter = failed.retryAfter.value_or(backendRetryAfter);
    failWith(*open, failure, now);
}

void EntryRequests::giveUpAttempt(const AttemptId &attempt, Base::TimePoint now)
{
    m_context.environment.backends.cancel(attempt);
    handleBackendFailed({attempt, SendState::MaybeRan, 0, std::nullopt}, now);
}

void EntryRequests::moveToCurrentHome(Base::TimePoint now)
{
    for (auto &[key, open] : m_open)
        m_permits.moveToCurrentHome(open, now);
}

void EntryRequests::reconcile(const Base::HostId &home, const WaitingReply &reply,
                              Base::TimePoint now)
{
    const HomeMonitor::Difference difference = m_permits.compare(home, reply);
    for (const AttemptId &attempt : difference.missing) {
        const OpenRequest *open = find(attempt);
        if (open && open->state == RequestState::Waiting)
            m_permits.resendRequest(*open, home, now);
    }
}

void EntryRequests::advance(Base::TimePoint now)
{
    m_permits.sendDigests(now);
    if (now < m_nextCheck)
        return;
    m_nextCheck = now + openRequestCheckInterval;
    std::vector<Base::RequestKey> expired;
    std::vector<AttemptId> idle;
    std::vector<Base::RequestKey> due;
    for (const auto &[key, open] : m_open) {
        if (open.callerRequest.deadline && now - open.arrivedAt >= *open.callerRequest.deadline)
            expired.push_back(key);
        else if (isBackendIdle(open, now))
            idle.push_back(open.attemptId());
        else if (open.state == RequestState::BackingOff && now >= open.nextRetryStepAt)
            due.push_back(key);
    }
    for (const Base::RequestKey &key : expired)
        expire(m_open.at(key), now);
    for (const AttemptId &attempt : idle)
        giveUpAttempt(attempt, now);
    for (const Base::RequestKey &key : due)
        runNextRetryStep(m_open.at(key), now);
}

void EntryRequests::runNextRetryStep(OpenRequest &open, Base::TimePoint now)
{
    if (open.nextRetryStep == Scheduling::RetryStep::Retry) {
        startAttempt(open, now);
        return;
    }
    ++open.attempt;
    send(open, now);
}

void EntryRequests::expire(OpenRequest &open, Base::TimePoint now)
{
    // Work that is not repeatable runs to its end once it is sent; only its caller gets the
    // failure now.
    const bool isSent = open.state == RequestState::Sent;
    if (isSent)
        open.mayHaveRun = true;
    Failure failure = makeFailure(FailureType::DeadlineUnmet, "the deadline passed");
    failure.retryAfter = backendRetryAfter;
    if (isSent && open.needsClaim()) {
        if (open.isCallerDisconnected)
            return;
        open.isCallerDisconnected = true;
        failure.requestId = Base::toString(open.key);
        failure.ran = Ran::Unknown;
        m_context.environment.callers.fail(open.callerRequest.caller, failure);
        return;
    }
    cancelWork(open, now);
    failWith(open, failure, now);
}

void EntryRequests::cancelWork(OpenRequest &open, Base::TimePoint now)
{
    if (open.state == RequestState::Waiting)
        m_permits.cancelPermitRequest(open);
    if (open.state == RequestState::Sent)
        m_context.environment.backends.cancel(open.attemptId());
    if (open.holdsPermit())
        m_permits.release(open, Scheduling::PermitOutcome::Cancelled, now);
}

Base::RequestKey EntryRequests::newKey()
{
    const Coordination::RouterIdentity &self = m_context.membership.self();
    return {self.host, self.incarnation, ++m_lastSerial};
}

OpenRequest *EntryRequests::find(const AttemptId &attempt)
{
    const auto it = m_open.find(attempt.request);
    if (it == m_open.end() || it->second.attempt != attempt.number)
        return nullptr;
    return &it->second;
}

void EntryRequests::startAttempt(OpenRequest &open, Base::TimePoint now)
{
    ++open.attempt;
    open.state = RequestState::Waiting;
    m_permits.requestPermit(open, now);
}

void EntryRequests::send(OpenRequest &open, Base::TimePoint now)
{
    const Server *server = m_context.directory.server(open.server);
    const bool isClaimLost = open.needsClaim() && !m_context.claims.maySend(open.key, now);
    if (!server || isClaimLost) {
        // The backend server is no longer listed, or the claim lapsed, for example while the
        // process was suspended past its lease. This attempt is not sent, and the request fails.
        m_permits.release(open, Scheduling::PermitOutcome::NotUsed, now);
        Failure failure = isClaimLost
                              ? makeFailure(FailureType::ClaimUnavailable, "the claim lapsed")
                              : makeFailure(FailureType::NoCapacity, "the backend server is gone");
        failure.retryAfter = claimRetryAfter;
        failWith(open, failure, now);
        return;
    }
    open.state = RequestState::Sent;
    open.sentAt = now;
    open.lastResponseAt = now;
    m_context.environment.backends.send(backendRequest(open, *server));
}

Scheduling::RetryDecision EntryRequests::decideRetry(const OpenRequest &open,
                                                     const BackendFailed &failed,
                                                     Base::TimePoint now)
{
    if (open.isCallerDisconnected)
        return {};
    return m_retryPolicy.decide(failedAttempt(open, failed, now), m_budget,
                                m_context.environment.random);
}

void EntryRequests::replay(OpenRequest &open, const std::string &storedAnswer, Base::TimePoint now)
{
    const Base::Result<StoredAnswer> answer = decodeAnswer(storedAnswer);
    if (!answer) {
        Failure failure = makeFailure(FailureType::KeyInProgress, "the stored answer is damaged");
        failure.ran = Ran::Unknown;
        failWith(open, failure, now);
        return;
    }
    CallerSink &callers = m_context.environment.callers;
    callers.startAnswer(open.callerRequest.caller, {Base::toString(open.key), answer->status,
                                                    answer->contentType, answer->isEventStream});
    for (const std::string &part : answer->parts)
        callers.appendAnswer(open.callerRequest.caller, {part});
    callers.finishAnswer(open.callerRequest.caller);
    m_recorder.recordEnd(open, nullptr, now);
    close(open.key);
}

void EntryRequests::failWith(OpenRequest &open, Failure failure, Base::TimePoint now)
{
    failure.requestId = Base::toString(open.key);
    if (open.mayHaveRun)
        failure.ran = Ran::Unknown;
    settleClaim(open, now);
    if (!open.isCallerDisconnected)
        m_context.environment.callers.fail(open.callerRequest.caller, failure);
    m_recorder.recordEnd(open, &failure, now);
    close(open.key);
}

void EntryRequests::settleClaim(const OpenRequest &open, Base::TimePoint now)
{
    if (!open.needsClaim())
        return;
    if (open.mayHaveRun)
        m_context.claims.abandon(open.key);
    else
        m_context.claims.release(open.key, now);
}

void EntryRequests::close(const Base::RequestKey &key)
{
    const auto it = m_open.find(key);
    m_byCaller.erase(it->second.callerRequest.caller);
    m_open.erase(it);
}

} // namespace Node
