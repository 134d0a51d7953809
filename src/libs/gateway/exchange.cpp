#include "gateway/exchange.h"

#include "gateway/contentdigest.h"
#include "gateway/eventlog.h"
#include "gateway/gatewaymetrics.h"
#include "gateway/messageframing.h"

#include <algorithm>
#include <utility>

namespace Gateway {

namespace {

using Routing::AttemptOutcome;
using std::chrono::milliseconds;

/// Limit of all attempts of one request, including those that certainly did not run. It bounds the
/// work that one request causes while many servers are full or unreachable.
constexpr unsigned maxSends = 4;
/// Another attempt cannot end in time if less time than this is left.
constexpr Base::Duration minTimeLeft = milliseconds(40);
constexpr Base::Milliseconds defaultRetryAfter{300};

bool isEventStreamHead(const ResponseHead &head)
{
    return field(head, "Content-Type").starts_with("text/event-stream");
}

} // namespace

Exchange::Exchange(ExchangePort &port, AcceptedRequest accepted, AnswerSink &sink)
    : m_port(&port)
    , m_accepted(std::move(accepted))
    , m_body(
          std::make_shared<const std::string>(std::exchange(m_accepted.request.message.body(), {})))
    , m_sink(&sink)
    , m_binding(StreamBinding::create(m_accepted, port.names()))
    , m_lastEventId(parseNumber(field(m_accepted.request.message, port.names().lastEventId)))
{}

void Exchange::start()
{
    if (isBlocked()) {
        failBlocked();
        return;
    }
    if (m_binding.isTakenUp()) {
        takeUp();
        return;
    }
    submit();
}

void Exchange::submit()
{
    m_state = State::Waiting;
    const Routing::WorkId id = m_silent ? otherWorkId(m_silent->work) : m_accepted.id;
    m_current = std::make_shared<Attempt>(*this, id, m_lastEventId);
    m_accepted.work.residency = m_port->residency(m_accepted);
    Routing::Work work = m_accepted.work;
    work.id = id;
    if (m_silent)
        work.runningAt = m_silent->record.server;
    work.tried = m_tried;
    work.softwareVersion = m_binding.softwareVersion();
    Routing::VersionRule rule = m_port->versionRule(m_accepted, work.softwareVersion);
    work.barredVersions = std::move(rule.barred);
    // A request that failed once is not used to try a version out.
    if (m_tried.empty())
        work.trial = std::move(rule.trial);
    m_trialVersion = work.trial ? work.trial->version : std::string();
    if (m_record.events > 0)
        m_port->streamResumed(false, Routing::Continuation::Kind::SameVersion);
    m_port->submitWork(m_accepted.service, std::move(work));
}

void Exchange::placed(const Routing::Placement &placement)
{
    if (m_state != State::Waiting || placement.work != m_current->work) {
        m_port->workFinished(m_accepted.service, placement.work, AttemptOutcome::Withdrawn);
        return;
    }
    const std::shared_ptr<Exchange> self = shared_from_this();
    Attempt &attempt = *m_current;
    attempt.isPlaced = true;
    attempt.record.server = placement.server;
    attempt.record.inputs = placement.inputs;
    attempt.record.fetchFrom = placement.fetchFrom;
    m_record.attempt = attempt.record;
    const Routing::RegisteredServer *target = m_port->server(placement.server);
    if (!target || !mayRunAt(*target)) {
        ++m_record.sends;
        finishAttempt(attempt, AttemptOutcome::Withdrawn);
        handleFailedAttempt(attempt, AttemptOutcome::Withdrawn, false);
        return;
    }
    // The key may have been revoked while the request waited, or this host may have been suspended.
    if (!m_accepted.customer.isEmpty() && !m_port->mayUseKeys()) {
        finishAttempt(attempt, AttemptOutcome::Withdrawn);
        fail({FailureType::NotReady, m_mayHaveRun, defaultRetryAfter});
        return;
    }
    // Servers may have ended under another try of the request while this one waited.
    if (isBlocked()) {
        finishAttempt(attempt, AttemptOutcome::Withdrawn);
        failBlocked();
        return;
    }
    // On an overloaded host the caller may have left before its request was read. Its server would
    // work for nobody.
    if (!m_isCallerGone && m_sink->isCallerGone()) {
        m_isCallerGone = true;
        cancelSilentAttempt(AttemptOutcome::Withdrawn);
        finishAttempt(attempt, AttemptOutcome::Withdrawn);
        finish("caller_gone");
        return;
    }
    sendTo(*target);
}

bool Exchange::mayRunAt(const Routing::RegisteredServer &server)
{
    const std::string &version = server.softwareVersion;
    if (!m_binding.allows(server) || !m_port->isInAllowedRegion(m_accepted, server))
        return false;
    const bool isOnTrial = !m_trialVersion.empty() && m_trialVersion == version;
    return isOnTrial
           || !m_port->versionRule(m_accepted, m_binding.softwareVersion())
                   .barred.contains(version);
}

void Exchange::sendTo(const Routing::RegisteredServer &server)
{
    const Base::TimePoint now = m_port->now();
    const std::shared_ptr<Attempt> attempt = m_current;
    attempt->sampler.begin(server.softwareVersion,
                           m_port->usualStart(m_accepted.service, attempt->work), now);
    m_port->attemptSent(m_accepted, server.softwareVersion);
    m_state = State::Sent;
    attempt->quietSince = now;
    attempt->record.sentAt = now;
    attempt->record.softwareVersion = server.softwareVersion;
    attempt->record.expectedStart = m_port->expectedStart(m_accepted.service, attempt->work);
    attempt->record.backoffLeft = m_port->backoffLeft(server.id);
    m_record.attempt = attempt->record;
    m_isRetryTaken = false;
    ++m_record.sends;
    m_tried.push_back(server.id);
    OutgoingAttempt outgoing;
    outgoing.text = forwardedHead(m_accepted.request.message, m_body->size(),
                                  forwardedFields(server), m_port->names());
    if (m_body->size() <= maxCopiedBodyBytes)
        outgoing.text.append(*m_body);
    else
        outgoing.body = m_body;
    outgoing.requestId = m_accepted.requestId;
    outgoing.isHead = m_accepted.request.message.method() == Http::verb::head;
    std::shared_ptr<BackendConnection> connection =
        m_port->backends().send({server, std::move(outgoing), !route().mayRepeat()}, *attempt, now);
    if (!connection) {
        finishAttempt(*attempt, AttemptOutcome::NoRoom);
        handleFailedAttempt(*attempt, AttemptOutcome::NoRoom, false);
        return;
    }
    attempt->record.connection = connection->number();
    // The attempt may have failed within the call, and another one may already be under way.
    if (m_state == State::Sent && m_current == attempt)
        attempt->connection = std::move(connection);
}

ForwardedFields Exchange::forwardedFields(const Routing::RegisteredServer &server) const
{
    ForwardedFields added;
    const Base::Duration left = effectiveDeadline() - m_port->now();
    added.timeLeftMs =
        std::max<std::int64_t>(1, std::chrono::duration_cast<milliseconds>(left).count());
    added.expectedServer = server.start.name;
    const Base::ServerId &fetchFrom = m_current->record.fetchFrom;
    const Routing::RegisteredServer *fetchSource =
        fetchFrom.isEmpty() ? nullptr : m_port->server(fetchFrom);
    // A server that has left since does not hold the prompt any more, so the target server reads
    // all of it itself.
    if (fetchSource && m_port->isInAllowedRegion(m_accepted, *fetchSource))
        added.fetchFrom = fetchSource->address;
    added.customer = m_accepted.customer.value();
    added.dropsAuthorization = !m_accepted.table->configuration().customers.empty();
    if (m_record.events > 0 && m_lastEventId)
        added.lastEventId = std::to_string(*m_lastEventId);
    return added;
}

Base::TimePoint Exchange::effectiveDeadline() const
{
    return std::min(m_accepted.request.readAt + route().timeout, m_accepted.deadline);
}

void Exchange::rejected(const Routing::Rejection &why)
{
    if (m_state != State::Waiting || why.work != m_current->work)
        return;
    m_record.rejection = why;
    // The versions that may run it have changed while it waited.
    if (why.reason == Routing::RejectionReason::NoVersion && !m_binding.softwareVersion()
        && !std::exchange(m_isVersionRetried, true)) {
        submit();
        return;
    }
    const bool isNoServer = why.reason == Routing::RejectionReason::NoServer
                            || why.reason == Routing::RejectionReason::NoRegion
                            || why.reason == Routing::RejectionReason::NoVersion;
    const FailureType type = isNoServer ? FailureType::NoServer : FailureType::Rejection;
    fail({type, m_mayHaveRun, why.retryAfter});
}

void Exchange::callerGone()
{
    m_isCallerGone = true;
    if (m_state == State::Finished)
        return;
    // A request that must not be repeated runs to its end: its connection stays open, and nobody is
    // told that it did not run. Any other attempt is cancelled, so that its server is free at once.
    const bool isLeftRunning =
        m_state == State::Sent && !route().mayRepeat() && !route().isStream();
    if (isLeftRunning)
        return;
    cancelSilentAttempt(AttemptOutcome::Withdrawn);
    cancelAttempt(AttemptOutcome::Withdrawn);
    finish("caller_gone");
}

void Exchange::outputDrained()
{
    if (!m_current || !m_current->isPaused())
        return;
    m_current->quietSince = m_port->now();
    m_current->connection->resume();
}

void Exchange::answerStarted(Attempt &attempt, const ResponseHead &head)
{
    attempt.isHeadSeen = true;
    m_port->serverResponded(attempt.record.server);
    attempt.head = head;
    attempt.record.endsWithConnection = endsWithConnection(head);
    if (&attempt == m_current.get())
        m_record.attempt = attempt.record;
    attempt.isEventStream =
        route().isStream() && head.result() == Http::status::ok && isEventStreamHead(head);
    if (!attempt.isEventStream)
        attempt.answerBeganAt = m_port->now();
}

void Exchange::forwardEvents(Attempt &attempt, const CompleteEvents &whole)
{
    const std::shared_ptr<Exchange> self = shared_from_this();
    const Base::TimePoint now = m_port->now();
    choose(attempt);
    if (!std::exchange(attempt.isStarted, true))
        m_port->workStarted(m_accepted.service, attempt.work);
    attempt.quietSince = now;
    attempt.isSilent = false;
    if (!attempt.answerBeganAt)
        attempt.answerBeganAt = now;
    recordAnswer(attempt, false);
    m_lastEventId = attempt.events.lastId();
    m_binding.bindBegun(m_port->memory(), attempt.record.softwareVersion, now);
    if (m_record.events == 0)
        m_record.firstEventAt = m_record.lastEventAt = now;
    m_record.longestPause = std::max(m_record.longestPause, now - m_record.lastEventAt);
    m_record.lastEventAt = now;
    m_record.events += whole.count;
    attempt.sampler.eventsArrived(whole.count, now);
    m_port->eventsForwarded(whole.count);
    if (!m_isStreamStarted) {
        m_isStreamStarted = true;
        m_record.status = attempt.head.result_int();
        m_sink->startStream(attempt.head);
    }
    m_sink->sendEvents(whole.text);
    if (m_state == State::Sent && m_sink->isBlocked() && attempt.connection)
        attempt.connection->pause();
}

void Exchange::answerEnded(Attempt &attempt)
{
    const std::shared_ptr<Exchange> self = shared_from_this();
    const std::shared_ptr<Attempt> ended = attempt.shared_from_this();
    attempt.connection.reset();
    if (m_state == State::Finished)
        return;
    if (attempt.hasGivenWay()) {
        giveUp(attempt, AnswerFault::NoMemory);
        return;
    }
    if (!attempt.isEventStream) {
        handleWholeAnswer(attempt);
        return;
    }
    // An empty answer does not show that the stream is over while its server may go on.
    const bool isEmpty = m_record.events == 0 || (m_silent && !attempt.isStarted);
    if (attempt.events.hasPartialEvent() || isEmpty) {
        recordServerEnd(attempt, false);
        finishAttempt(attempt, AttemptOutcome::Broken);
        handleFailedAttempt(attempt, AttemptOutcome::Broken, true);
        return;
    }
    choose(attempt);
    finishAttempt(attempt, AttemptOutcome::Served);
    recordServed();
    recordAnswer(attempt, true);
    m_sink->endStream();
    finish("streamed");
}

void Exchange::handleWholeAnswer(Attempt &attempt)
{
    const unsigned status = attempt.head.result_int();
    const bool didNotRun = attempt.head.count(m_port->names().notRun) > 0 || status == 421;
    if (didNotRun) {
        const AttemptOutcome outcome =
            status == 421 ? AttemptOutcome::WrongServer : AttemptOutcome::NoRoom;
        finishAttempt(attempt, outcome);
        handleFailedAttempt(attempt, outcome, false);
        return;
    }
    if (!isAnswerTrusted(attempt.head)) {
        finishAttempt(attempt, AttemptOutcome::Broken);
        handleFailedAttempt(attempt, AttemptOutcome::Broken, true);
        return;
    }
    // The other server may still answer, or go on with the stream.
    if (m_silent && (status >= 500 || m_isStreamStarted)) {
        finishAttempt(attempt, AttemptOutcome::ServerError);
        handleFailedAttempt(attempt, AttemptOutcome::ServerError, true);
        return;
    }
    choose(attempt);
    recordServed();
    if (status >= 200 && status < 300)
        recordAnswer(attempt, true);
    if (status >= 500) {
        finishAttempt(attempt, AttemptOutcome::ServerError);
        if (!m_isStreamStarted && mayRetry(AttemptOutcome::ServerError, true)) {
            logFailedAttempt(attempt, AttemptOutcome::ServerError, true, true);
            m_mayHaveRun = true;
            ++m_record.possibleRuns;
            submit();
            return;
        }
    } else {
        finishAttempt(attempt, AttemptOutcome::Served);
    }
    if (m_isStreamStarted) {
        // The server was asked to resume a stream, but sent another kind of answer.
        fail({FailureType::ServerFailed, true, std::nullopt});
        return;
    }
    m_record.status = status;
    if (!m_isCallerGone)
        sendWholeAnswer(attempt);
    finish(answeredOutcome);
}

bool Exchange::isAnswerTrusted(const ResponseHead &head) const
{
    // An answer proves that the request did not run only if it has the field that says so, and it
    // is a success only if it has the server's signature.
    const unsigned status = head.result_int();
    const bool claimsNotRun = status == 429 || status == 503 || status == 408;
    const bool isSuccess = status >= 200 && status < 300;
    if (claimsNotRun)
        return false;
    return !isSuccess || !field(head, m_port->names().signature).empty();
}

void Exchange::attemptFailed(Attempt &attempt, const AttemptFailure &failure)
{
    const std::shared_ptr<Exchange> self = shared_from_this();
    const std::shared_ptr<Attempt> failed = attempt.shared_from_this();
    attempt.connection.reset();
    if (m_state == State::Finished)
        return;
    if (failure.outcome == AttemptOutcome::Broken && failure.maybeSent)
        recordServerEnd(attempt, false);
    finishAttempt(attempt, failure.outcome);
    handleFailedAttempt(attempt, failure.outcome, failure.maybeSent);
}

void Exchange::recordServerEnd(const Attempt &attempt, bool isSilence)
{
    const Base::TimePoint now = m_port->now();
    const Routing::ServerEnd end{attempt.record.server, attempt.record.sentAt, now, isSilence,
                                 content().digest};
    m_port->memory().recordServerEnd(content(), end, now);
    using Routing::CrashingParts;
    if (!attempt.answerBeganAt || now - *attempt.answerBeganAt < CrashingParts::proofTime)
        m_port->memory().recordPartsEnd(m_accepted.work.parts, end, now);
}

void Exchange::recordServed()
{
    if (!m_port->memory().crashes().isEmpty())
        m_port->memory().recordServed(content(), m_port->now());
}

void Exchange::recordAnswer(Attempt &attempt, bool isWhole)
{
    const Base::TimePoint now = m_port->now();
    if (attempt.isSound || !attempt.answerBeganAt
        || (!isWhole && now - *attempt.answerBeganAt < Routing::CrashingParts::proofTime))
        return;
    attempt.isSound = true;
    m_port->memory().recordPartsSound(m_accepted.work.parts, *attempt.answerBeganAt, now);
}

bool Exchange::isBlocked()
{
    const Base::TimePoint now = m_port->now();
    m_record.blockedPart = m_port->memory().blockedPart(m_accepted.work.parts, now);
    if (m_record.blockedPart)
        return true;
    const Routing::CrashHistory &crashes = m_port->memory().crashes();
    return !crashes.isEmpty() && crashes.isBlocked(content(), now);
}

void Exchange::failBlocked()
{
    // Under a part of the prompt, servers may have ended in other requests only.
    const bool hasEnds = m_port->memory().crashes().ends(content(), m_port->now()) > 0;
    fail({FailureType::ServersEnded, !m_record.blockedPart || hasEnds, std::nullopt});
}

const Routing::RequestContent &Exchange::content()
{
    if (!m_content)
        m_content = {m_accepted.customer,
                     contentDigest(m_accepted.request.message, *m_body, m_port->names())};
    return *m_content;
}

void Exchange::handleFailedAttempt(Attempt &attempt, AttemptOutcome outcome, bool maybeRan)
{
    // Another server has been asked for already.
    if (&attempt == m_silent.get()) {
        logFailedAttempt(attempt, outcome, maybeRan, false);
        m_silent.reset();
        return;
    }
    const bool retries = mayRetry(outcome, maybeRan);
    logFailedAttempt(attempt, outcome, maybeRan, retries);
    if (maybeRan) {
        m_mayHaveRun = true;
        ++m_record.possibleRuns;
    }
    if (retries) {
        submit();
        return;
    }
    if (isBlocked()) {
        failBlocked();
        return;
    }
    const bool isNoRoom = outcome == AttemptOutcome::NoRoom;
    fail({isNoRoom ? FailureType::Rejection : FailureType::ServerFailed, m_mayHaveRun,
          std::max(defaultRetryAfter, m_port->backoffRetryAfter(m_accepted.service))});
}

bool Exchange::mayRetry(AttemptOutcome outcome, bool maybeRan)
{
    if (m_isCallerGone || m_record.sends >= maxSends || isBlocked())
        return false;
    if (maybeRan && !route().mayRepeat())
        return false;
    if (maybeRan && m_port->memory().parts().isSuspect(m_accepted.work.parts, m_port->now()))
        return false;
    if (m_record.possibleRuns + (maybeRan ? 1 : 0) >= route().maxAttempts)
        return false;
    if (m_isStreamStarted && route().kind != Routing::WorkKind::ResumableStream)
        return false;
    if (effectiveDeadline() - m_port->now() < minTimeLeft)
        return false;
    // A request that never reached a server does not add to the load of any server, so it needs no
    // retry budget.
    if (outcome == AttemptOutcome::Unreachable || outcome == AttemptOutcome::Withdrawn)
        return true;
    m_isRetryTaken = m_isRetryTaken || m_port->acquireRetry(m_accepted.service);
    return m_isRetryTaken;
}

} // namespace Gateway
