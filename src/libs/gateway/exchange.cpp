#include "gateway/exchange.h"

#include "gateway/contentdigest.h"
#include "gateway/eventlog.h"
#include "gateway/gatewaymetrics.h"
#include "gateway/silencelimit.h"

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
/// By then, another host has reported which software version began the stream.
constexpr Base::Milliseconds unknownStreamRetryAfter{300};

/// Other tries of the request have run.
const Failure serversEnded{FailureType::ServersEnded, true, std::nullopt};

bool isEventStreamHead(const ResponseHead &head)
{
    return field(head, "Content-Type").starts_with("text/event-stream");
}

} // namespace

Exchange::Exchange(ExchangePort &port, AcceptedRequest accepted, AnswerSink &sink)
    : m_port(&port)
    , m_accepted(std::move(accepted))
    , m_sink(&sink)
    , m_binding(StreamBinding::create(m_accepted, port.names()))
{
    const std::string_view lastId = field(m_accepted.request.message, m_port->names().lastEventId);
    m_events = EventSplitter(parseNumber(lastId));
}

void Exchange::start()
{
    if (isBlocked()) {
        fail(serversEnded);
        return;
    }
    if (m_binding.isTakenUp()) {
        using Kind = Routing::Continuation::Kind;
        const Kind kind = m_binding.bindTakenUp(m_port->memory().streamOrigins(), m_port->now());
        m_port->streamResumed(true, kind);
        if (kind == Kind::Unknown) {
            fail({FailureType::UnknownStream, false, unknownStreamRetryAfter});
            return;
        }
        m_accepted.work.isContinuation = kind == Kind::SameVersion;
    }
    submit();
}

void Exchange::submit()
{
    m_state = State::Waiting;
    m_isPlaced = false;
    m_accepted.work.residency = m_port->residency(m_accepted);
    Routing::Work work = m_accepted.work;
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
    if (m_state != State::Waiting)
        return;
    m_isPlaced = true;
    m_record.server = placement.server;
    m_record.inputs = placement.inputs;
    m_record.fetchFrom = placement.fetchFrom;
    const Routing::RegisteredServer *target = m_port->server(m_record.server);
    if (!target || !mayRunAt(*target)) {
        ++m_record.sends;
        finishAttempt(AttemptOutcome::Withdrawn);
        handleFailedAttempt(AttemptOutcome::Withdrawn, false);
        return;
    }
    // The key may have been revoked while the request waited, or this host may have been suspended.
    if (!m_accepted.customer.isEmpty() && !m_port->mayUseKeys()) {
        finishAttempt(AttemptOutcome::Withdrawn);
        fail({FailureType::NotReady, m_mayHaveRun, defaultRetryAfter});
        return;
    }
    // Servers may have ended under another try of the request while this one waited.
    if (isBlocked()) {
        finishAttempt(AttemptOutcome::Withdrawn);
        fail(serversEnded);
        return;
    }
    // On an overloaded host the caller may have left before its request was read. Its server would
    // work for nobody.
    if (!m_isCallerGone && m_sink->isCallerGone()) {
        m_isCallerGone = true;
        finishAttempt(AttemptOutcome::Withdrawn);
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
    m_sampler.begin(server.softwareVersion, m_port->usualStart(m_accepted.service, m_accepted.id),
                    now);
    m_port->attemptSent(m_accepted, server.softwareVersion);
    m_state = State::Sent;
    m_isHeadSeen = false;
    m_isWorkStarted = false;
    m_body.clear();
    m_events.discardPartialEvent();
    m_record.sentAt = now;
    m_record.softwareVersion = server.softwareVersion;
    m_lastDataAt = now;
    m_record.expectedStart = m_port->expectedStart(m_accepted.service, m_accepted.id);
    m_record.backoffLeft = m_port->backoffLeft(server.id);
    ++m_record.sends;
    m_tried.push_back(server.id);
    OutgoingAttempt attempt;
    attempt.text =
        forwardedText(m_accepted.request.message, forwardedFields(server), m_port->names());
    attempt.requestId = m_accepted.requestId;
    attempt.isHead = m_accepted.request.message.method() == Http::verb::head;
    const std::shared_ptr<Exchange> self = shared_from_this();
    const unsigned send = m_record.sends;
    std::shared_ptr<BackendConnection> connection =
        m_port->backends().send({server, std::move(attempt), !route().mayRepeat()}, *this, now);
    if (!connection) {
        finishAttempt(AttemptOutcome::NoRoom);
        handleFailedAttempt(AttemptOutcome::NoRoom, false);
        return;
    }
    // The attempt may have failed within the call, and another one may already be under way.
    if (m_state == State::Sent && m_record.sends == send)
        m_connection = std::move(connection);
}

ForwardedFields Exchange::forwardedFields(const Routing::RegisteredServer &server) const
{
    ForwardedFields added;
    const Base::Duration left = effectiveDeadline() - m_port->now();
    added.timeLeftMs =
        std::max<std::int64_t>(1, std::chrono::duration_cast<milliseconds>(left).count());
    added.expectedServer = server.start.name;
    const Routing::RegisteredServer *fetchSource =
        m_record.fetchFrom.isEmpty() ? nullptr : m_port->server(m_record.fetchFrom);
    // A server that has left since does not hold the prompt any more, so the target server reads
    // all of it itself.
    if (fetchSource && m_port->isInAllowedRegion(m_accepted, *fetchSource))
        added.fetchFrom = fetchSource->address;
    added.customer = m_accepted.customer.value();
    added.dropsAuthorization = !m_accepted.table->configuration().customers.empty();
    if (m_record.events > 0 && m_events.lastId())
        added.lastEventId = std::to_string(*m_events.lastId());
    return added;
}

Base::TimePoint Exchange::effectiveDeadline() const
{
    return std::min(m_accepted.request.readAt + route().timeout, m_accepted.deadline);
}

void Exchange::rejected(const Routing::Rejection &why)
{
    if (m_state != State::Waiting)
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

void Exchange::checkTime(Base::TimePoint now)
{
    if (m_state == State::Finished)
        return;
    if (now >= effectiveDeadline()) {
        if (m_state == State::Sent)
            m_mayHaveRun = true;
        cancelAttempt(AttemptOutcome::Withdrawn);
        fail({FailureType::TimedOut, m_mayHaveRun, std::nullopt});
        return;
    }
    if (!isSilent(now))
        return;
    recordServerEnd(true);
    if (!mayRetry(AttemptOutcome::Silent, true))
        return;
    logFailedAttempt(AttemptOutcome::Silent, true, true);
    m_mayHaveRun = true;
    ++m_record.possibleRuns;
    cancelAttempt(AttemptOutcome::Silent);
    submit();
}

bool Exchange::isSilent(Base::TimePoint now) const
{
    if (m_state != State::Sent || !route().mayRepeat() || m_sink->isBlocked())
        return false;
    if (m_isHeadSeen && !route().isStream())
        return false;
    SilentAttempt attempt{route(), m_record.expectedStart, m_isWorkStarted, {}, {}};
    attempt.silence = now - (m_isWorkStarted ? m_lastDataAt : m_record.sentAt);
    if (const auto lastResponseAt = m_port->lastResponseFrom(m_record.server))
        attempt.serverQuiet = now - *lastResponseAt;
    return isTooSilent(attempt);
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
    cancelAttempt(AttemptOutcome::Withdrawn);
    finish("caller_gone");
}

void Exchange::outputDrained()
{
    if (m_connection)
        m_connection->resume();
}

void Exchange::answerStarted(const ResponseHead &head)
{
    m_isHeadSeen = true;
    m_lastDataAt = m_port->now();
    m_port->serverResponded(m_record.server);
    m_head = head;
    m_isEventStream =
        route().isStream() && head.result() == Http::status::ok && isEventStreamHead(head);
}

void Exchange::answerData(std::string_view data)
{
    m_lastDataAt = m_port->now();
    m_port->serverResponded(m_record.server);
    if (!m_isEventStream) {
        m_body.append(data);
        return;
    }
    forwardEvents(data);
}

void Exchange::forwardEvents(std::string_view data)
{
    const CompleteEvents whole = m_events.push(data);
    if (whole.count == 0)
        return;
    if (!m_isWorkStarted) {
        m_isWorkStarted = true;
        m_port->workStarted(m_accepted.service, m_accepted.id);
    }
    m_binding.bindBegun(m_port->memory().streamOrigins(), m_record.softwareVersion, m_lastDataAt);
    if (m_record.events == 0)
        m_record.firstEventAt = m_record.lastEventAt = m_lastDataAt;
    m_record.longestPause = std::max(m_record.longestPause, m_lastDataAt - m_record.lastEventAt);
    m_record.lastEventAt = m_lastDataAt;
    m_record.events += whole.count;
    m_sampler.eventsArrived(whole.count, m_lastDataAt);
    m_port->eventsForwarded(whole.count);
    const std::shared_ptr<Exchange> self = shared_from_this();
    if (!m_isStreamStarted) {
        m_isStreamStarted = true;
        m_record.status = m_head.result_int();
        m_sink->startStream(m_head);
    }
    m_sink->sendEvents(whole.text);
    if (m_state == State::Sent && m_sink->isBlocked() && m_connection)
        m_connection->pause();
}

void Exchange::answerEnded()
{
    m_connection.reset();
    if (m_state != State::Sent)
        return;
    if (m_isEventStream) {
        if (m_events.hasPartialEvent() || m_record.events == 0) {
            recordServerEnd(false);
            finishAttempt(AttemptOutcome::Broken);
            handleFailedAttempt(AttemptOutcome::Broken, true);
            return;
        }
        finishAttempt(AttemptOutcome::Served);
        recordServed();
        m_sink->endStream();
        finish("streamed");
        return;
    }
    handleWholeAnswer();
}

void Exchange::handleWholeAnswer()
{
    const unsigned status = m_head.result_int();
    const bool didNotRun = m_head.count(m_port->names().notRun) > 0 || status == 421;
    if (didNotRun) {
        const AttemptOutcome outcome =
            status == 421 ? AttemptOutcome::WrongServer : AttemptOutcome::NoRoom;
        finishAttempt(outcome);
        handleFailedAttempt(outcome, false);
        return;
    }
    if (!isAnswerTrusted()) {
        finishAttempt(AttemptOutcome::Broken);
        handleFailedAttempt(AttemptOutcome::Broken, true);
        return;
    }
    recordServed();
    if (status >= 500) {
        finishAttempt(AttemptOutcome::ServerError);
        if (!m_isStreamStarted && mayRetry(AttemptOutcome::ServerError, true)) {
            logFailedAttempt(AttemptOutcome::ServerError, true, true);
            m_mayHaveRun = true;
            ++m_record.possibleRuns;
            submit();
            return;
        }
    } else {
        finishAttempt(AttemptOutcome::Served);
    }
    if (m_isStreamStarted) {
        // The server was asked to resume a stream, but sent another kind of answer.
        fail({FailureType::ServerFailed, true, std::nullopt});
        return;
    }
    m_record.status = status;
    if (!m_isCallerGone)
        m_sink->sendAnswer(m_head, m_body);
    finish("answered");
}

bool Exchange::isAnswerTrusted() const
{
    // An answer proves that the request did not run only if it has the field that says so, and it
    // is a success only if it has the server's signature.
    const unsigned status = m_head.result_int();
    const bool claimsNotRun = status == 429 || status == 503 || status == 408;
    const bool isSuccess = status >= 200 && status < 300;
    if (claimsNotRun)
        return false;
    return !isSuccess || !field(m_head, m_port->names().signature).empty();
}

void Exchange::attemptFailed(const AttemptFailure &failure)
{
    m_connection.reset();
    if (m_state != State::Sent)
        return;
    if (failure.outcome == AttemptOutcome::Broken && failure.maybeSent)
        recordServerEnd(false);
    finishAttempt(failure.outcome);
    handleFailedAttempt(failure.outcome, failure.maybeSent);
}

void Exchange::recordServerEnd(bool isSilence)
{
    const Base::TimePoint now = m_port->now();
    m_port->memory().recordServerEnd(content(), {m_record.server, m_record.sentAt, now, isSilence},
                                     now);
}

void Exchange::recordServed()
{
    if (!m_port->memory().crashes().isEmpty())
        m_port->memory().recordServed(content(), m_port->now());
}

bool Exchange::isBlocked()
{
    const Routing::CrashHistory &crashes = m_port->memory().crashes();
    return !crashes.isEmpty() && crashes.isBlocked(content(), m_port->now());
}

const Routing::RequestContent &Exchange::content()
{
    if (!m_content)
        m_content = {m_accepted.customer,
                     contentDigest(m_accepted.request.message, m_port->names())};
    return *m_content;
}

void Exchange::handleFailedAttempt(AttemptOutcome outcome, bool maybeRan)
{
    const bool retries = mayRetry(outcome, maybeRan);
    logFailedAttempt(outcome, maybeRan, retries);
    if (maybeRan) {
        m_mayHaveRun = true;
        ++m_record.possibleRuns;
    }
    if (retries) {
        submit();
        return;
    }
    if (isBlocked()) {
        fail(serversEnded);
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
    return m_port->acquireRetry(m_accepted.service);
}

void Exchange::finishAttempt(AttemptOutcome outcome)
{
    if (m_sampler.isRunning()) {
        m_port->attemptEnded(m_accepted,
                             {m_record.server, m_sampler.softwareVersion(),
                              m_sampler.end(outcome, m_port->now()), m_sampler.sentAt()});
    }
    if (!std::exchange(m_isPlaced, false))
        return;
    m_port->workFinished(m_accepted.service, m_accepted.id, outcome);
}

void Exchange::cancelAttempt(AttemptOutcome outcome)
{
    const std::shared_ptr<BackendConnection> connection = std::move(m_connection);
    m_connection.reset();
    if (connection)
        connection->cancel();
    if (m_state == State::Waiting)
        m_port->withdrawWork(m_accepted.service, m_accepted.id);
    else
        finishAttempt(outcome);
    m_state = State::Waiting;
}

} // namespace Gateway
