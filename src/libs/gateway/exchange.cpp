#include "gateway/exchange.h"

#include "gateway/eventlog.h"
#include "gateway/gatewaymetrics.h"

#include <algorithm>
#include <utility>

namespace Gateway {

namespace {

using Routing::AttemptOutcome;
using std::chrono::milliseconds;

/// Attempts of one request in all, those included that certainly did not run. Bounds the work
/// that one request causes while many servers are full or unreachable.
constexpr unsigned mostSends = 4;
/// Time left below which another attempt cannot end in time.
constexpr Base::Duration leastTimeLeft = milliseconds(40);
/// A repeatable request that has not begun to be answered is sent elsewhere after this many times
/// the expected time, and a floor: a server that is down without a reset says nothing for ever.
constexpr int patienceFactor = 2;
constexpr Base::Duration leastPatience = milliseconds(250);
constexpr Base::Duration leastStreamPatience = milliseconds(1100);
/// A started stream that pauses for this many times the longest pause that is on time is gone on
/// with elsewhere. Callers leave after eight times; half of it leaves time for the other server.
constexpr int pauseFactor = 3;
/// A server that this host has heard of within this time is alive.
constexpr Base::Duration leastQuiet = milliseconds(150);
constexpr Base::Duration leastStreamQuiet = milliseconds(600);
/// How many times longer a server is waited for while it answers others. Callers of a stream leave
/// after about four seconds without an event.
constexpr int aliveFactor = 3;
constexpr Base::Milliseconds defaultRetryAfter{300};

bool isEventStreamHead(const ResponseHead &head)
{
    return field(head, "Content-Type").starts_with("text/event-stream");
}

} // namespace

Exchange::Exchange(ExchangePort &host, AcceptedRequest accepted, AnswerSink &sink)
    : m_port(&host)
    , m_accepted(std::move(accepted))
    , m_sink(&sink)
{
    const std::string_view lastId = field(m_accepted.request.message, m_port->names().lastEventId);
    m_firstLastId = parseNumber(lastId);
    m_events = EventSplitter(m_firstLastId);
    m_acceptedAt = m_port->now();
}

void Exchange::start()
{
    submit();
}

void Exchange::submit()
{
    m_state = State::Waiting;
    m_isPlaced = false;
    Routing::Work work = m_accepted.work;
    work.tried = m_tried;
    m_port->submitWork(m_accepted.service, std::move(work));
}

void Exchange::placed(const Routing::Placement &placement)
{
    if (m_state != State::Waiting)
        return;
    m_isPlaced = true;
    m_server = placement.server;
    m_inputs = placement.inputs;
    m_fetchFrom = placement.fetchFrom;
    const Routing::RegisteredServer *target = m_port->server(m_server);
    if (!target) {
        ++m_sends;
        endAttempt(AttemptOutcome::Withdrawn);
        afterFailure(AttemptOutcome::Withdrawn, false);
        return;
    }
    // The key may have been taken away while the request waited, or the host was suspended.
    if (!m_accepted.customer.isEmpty() && !m_port->mayUseKeys()) {
        endAttempt(AttemptOutcome::Withdrawn);
        fail({FailureType::NotReady, m_mayHaveRun, defaultRetryAfter});
        return;
    }
    // On a host that is behind with its work the caller may have left while its request lay unread.
    // Its server would work for nobody.
    if (!m_isCallerGone && m_sink->isCallerGone()) {
        m_isCallerGone = true;
        endAttempt(AttemptOutcome::Withdrawn);
        finish("caller_gone");
        return;
    }
    sendTo(*target);
}

void Exchange::sendTo(const Routing::RegisteredServer &server)
{
    const Base::TimePoint now = m_port->now();
    m_state = State::Sent;
    m_isHeadSeen = false;
    m_isWorkStarted = false;
    m_body.clear();
    m_events.discardPartialEvent();
    m_sentAt = now;
    m_heardAt = now;
    m_expectedStart = m_port->expectedStart(m_accepted.service, m_accepted.id);
    ++m_sends;
    m_tried.push_back(server.id);
    OutgoingAttempt attempt;
    attempt.text =
        forwardedText(m_accepted.request.message, forwardedFields(server), m_port->names());
    attempt.requestId = m_accepted.requestId;
    attempt.isHead = m_accepted.request.message.method() == Http::verb::head;
    const std::shared_ptr<Exchange> self = shared_from_this();
    const unsigned send = m_sends;
    std::shared_ptr<BackendConnection> connection =
        m_port->backends().send({server, std::move(attempt), !route().mayRepeat()}, *this, now);
    if (!connection) {
        endAttempt(AttemptOutcome::NoRoom);
        afterFailure(AttemptOutcome::NoRoom, false);
        return;
    }
    // The attempt may have failed within the call, and a further one may be under way.
    if (m_state == State::Sent && m_sends == send)
        m_connection = std::move(connection);
}

ForwardedFields Exchange::forwardedFields(const Routing::RegisteredServer &server) const
{
    ForwardedFields added;
    const Base::Duration left = endBy() - m_port->now();
    added.timeLeftMs =
        std::max<std::int64_t>(1, std::chrono::duration_cast<milliseconds>(left).count());
    added.expectedServer = server.start.name;
    const Routing::RegisteredServer *keeper =
        m_fetchFrom.isEmpty() ? nullptr : m_port->server(m_fetchFrom);
    // One that has left meanwhile keeps nothing: the server reads all itself.
    if (keeper)
        added.fetchFrom = keeper->address;
    added.customer = m_accepted.customer.value();
    added.dropsAuthorization = !m_accepted.table->configuration().customers.empty();
    if (m_eventCount > 0 && m_events.lastId())
        added.lastEventId = std::to_string(*m_events.lastId());
    return added;
}

Base::TimePoint Exchange::endBy() const
{
    return std::min(m_accepted.request.readAt + route().timeout, m_accepted.deadline);
}

void Exchange::turnedAway(const Routing::TurnedAway &why)
{
    if (m_state != State::Waiting)
        return;
    m_turnedAway = why;
    const FailureType type = why.reason == Routing::TurnedAwayReason::NoServer
                                 ? FailureType::NoServer
                                 : FailureType::TurnedAway;
    fail({type, m_mayHaveRun, why.retryAfter});
}

void Exchange::checkTime(Base::TimePoint now)
{
    if (m_state == State::Over)
        return;
    if (now >= endBy()) {
        if (m_state == State::Sent)
            m_mayHaveRun = true;
        dropAttempt(AttemptOutcome::Withdrawn);
        fail({FailureType::TimedOut, m_mayHaveRun, std::nullopt});
        return;
    }
    if (!isSilent(now) || !mayRepeat(AttemptOutcome::Silent, true))
        return;
    logFailedAttempt(AttemptOutcome::Silent, true, true);
    m_mayHaveRun = true;
    ++m_runs;
    dropAttempt(AttemptOutcome::Silent);
    submit();
}

Base::Duration Exchange::patience() const
{
    if (route().isStream() && m_isWorkStarted)
        return route().longestPause * pauseFactor;
    const Base::Duration floor = route().isStream() ? leastStreamPatience : leastPatience;
    return std::max(m_expectedStart * patienceFactor, floor);
}

bool Exchange::isSilent(Base::TimePoint now) const
{
    if (m_state != State::Sent || !route().mayRepeat() || m_sink->isBlocked())
        return false;
    if (m_isHeadSeen && !route().isStream())
        return false;
    const Base::Duration silence = now - (m_isWorkStarted ? m_heardAt : m_sentAt);
    if (silence < patience())
        return false;
    // A server that answers others is alive and only slow: to give up its work would waste what it
    // has read, and on a crowded pool nobody else has room. One that never answers this request
    // may fail a part of its requests without a word, so there is an end to it.
    const Base::Duration quiet = route().isStream() ? leastStreamQuiet : leastQuiet;
    const std::optional<Base::TimePoint> heardAt = m_port->lastHeardFrom(m_server);
    const bool isServerQuiet = !heardAt || now - *heardAt >= quiet;
    return isServerQuiet || silence >= patience() * aliveFactor;
}

void Exchange::callerGone()
{
    m_isCallerGone = true;
    if (m_state == State::Over)
        return;
    // What must not be repeated runs to its end: its connection stays whole, and nobody is told
    // that it did not run. Everything else is dropped, so that its server is free at once.
    const bool runsOn = m_state == State::Sent && !route().mayRepeat() && !route().isStream();
    if (runsOn)
        return;
    dropAttempt(AttemptOutcome::Withdrawn);
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
    m_heardAt = m_port->now();
    m_port->heardFrom(m_server);
    m_head = head;
    m_isEventStream =
        route().isStream() && head.result() == Http::status::ok && isEventStreamHead(head);
}

void Exchange::answerData(std::string_view data)
{
    m_heardAt = m_port->now();
    m_port->heardFrom(m_server);
    if (!m_isEventStream) {
        m_body.append(data);
        return;
    }
    passEvents(data);
}

void Exchange::passEvents(std::string_view data)
{
    const CompleteEvents whole = m_events.push(data);
    if (whole.count == 0)
        return;
    if (!m_isWorkStarted) {
        m_isWorkStarted = true;
        m_port->workStarted(m_accepted.service, m_accepted.id);
    }
    if (m_eventCount == 0)
        m_firstEventAt = m_heardAt;
    m_eventCount += whole.count;
    m_port->eventsForwarded(whole.count);
    const std::shared_ptr<Exchange> self = shared_from_this();
    if (!m_isStreamStarted) {
        m_isStreamStarted = true;
        m_status = m_head.result_int();
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
        if (m_events.hasPartialEvent() || m_eventCount == 0) {
            endAttempt(AttemptOutcome::Broken);
            afterFailure(AttemptOutcome::Broken, true);
            return;
        }
        endAttempt(AttemptOutcome::Served);
        m_sink->endStream();
        finish("streamed");
        return;
    }
    takeAnswer();
}

void Exchange::takeAnswer()
{
    const unsigned status = m_head.result_int();
    const bool didNotRun = m_head.count(m_port->names().notRun) > 0 || status == 421;
    if (didNotRun) {
        const AttemptOutcome outcome =
            status == 421 ? AttemptOutcome::WrongServer : AttemptOutcome::NoRoom;
        endAttempt(outcome);
        afterFailure(outcome, false);
        return;
    }
    if (!isAnswerTrue()) {
        endAttempt(AttemptOutcome::Broken);
        afterFailure(AttemptOutcome::Broken, true);
        return;
    }
    if (status >= 500) {
        endAttempt(AttemptOutcome::ServerError);
        if (!m_isStreamStarted && mayRepeat(AttemptOutcome::ServerError, true)) {
            logFailedAttempt(AttemptOutcome::ServerError, true, true);
            m_mayHaveRun = true;
            ++m_runs;
            submit();
            return;
        }
    } else {
        endAttempt(AttemptOutcome::Served);
    }
    if (m_isStreamStarted) {
        // A server that was asked to go on with a stream answered something else.
        fail({FailureType::ServerFailed, true, std::nullopt});
        return;
    }
    m_status = status;
    if (!m_isCallerGone)
        m_sink->sendAnswer(m_head, m_body);
    finish("answered");
}

bool Exchange::isAnswerTrue() const
{
    // That the request did not run is only believed with the field that says so, and a
    // success only with the server's signature.
    const unsigned status = m_head.result_int();
    const bool isPromise = status == 429 || status == 503 || status == 408;
    const bool isSuccess = status >= 200 && status < 300;
    if (isPromise)
        return false;
    return !isSuccess || !field(m_head, m_port->names().signature).empty();
}

void Exchange::attemptFailed(const AttemptFailure &failure)
{
    m_connection.reset();
    if (m_state != State::Sent)
        return;
    endAttempt(failure.outcome);
    afterFailure(failure.outcome, failure.maybeSent);
}

void Exchange::afterFailure(AttemptOutcome outcome, bool maybeRan)
{
    const bool repeats = mayRepeat(outcome, maybeRan);
    logFailedAttempt(outcome, maybeRan, repeats);
    if (maybeRan) {
        m_mayHaveRun = true;
        ++m_runs;
    }
    if (repeats) {
        submit();
        return;
    }
    const bool isNoRoom = outcome == AttemptOutcome::NoRoom;
    fail({isNoRoom ? FailureType::TurnedAway : FailureType::ServerFailed, m_mayHaveRun,
          defaultRetryAfter});
}

bool Exchange::mayRepeat(AttemptOutcome outcome, bool maybeRan)
{
    if (m_isCallerGone || m_sends >= mostSends)
        return false;
    if (maybeRan && !route().mayRepeat())
        return false;
    if (m_runs + (maybeRan ? 1 : 0) >= route().maxAttempts)
        return false;
    if (m_isStreamStarted && route().kind != Routing::WorkKind::ResumableStream)
        return false;
    if (endBy() - m_port->now() < leastTimeLeft)
        return false;
    // What never reached a server is no repeat for anybody.
    if (outcome == AttemptOutcome::Unreachable || outcome == AttemptOutcome::Withdrawn)
        return true;
    return m_port->takeRepeat(m_accepted.service);
}

void Exchange::endAttempt(AttemptOutcome outcome)
{
    if (!std::exchange(m_isPlaced, false))
        return;
    m_port->workFinished(m_accepted.service, m_accepted.id, outcome);
}

void Exchange::dropAttempt(AttemptOutcome outcome)
{
    const std::shared_ptr<BackendConnection> connection = std::move(m_connection);
    m_connection.reset();
    if (connection)
        connection->cancel();
    if (m_state == State::Waiting)
        m_port->withdrawWork(m_accepted.service, m_accepted.id);
    else
        endAttempt(outcome);
    m_state = State::Waiting;
}

void Exchange::fail(Failure failure)
{
    failure.mayHaveRun |= m_mayHaveRun;
    if (m_isStreamStarted) {
        if (!m_isCallerGone)
            m_sink->abortAnswer();
        finish(failureName(failure.type));
        return;
    }
    m_status = failureStatus(failure);
    // Callers who are turned away mostly come back on a new connection; to keep this one would cost
    // a busy host more than the refusal.
    if (!failure.mayHaveRun && m_port->isBusy())
        m_sink->closeAfterAnswer();
    if (!m_isCallerGone)
        m_sink->sendAnswer(failureHead(failure), failureBody(failure, m_accepted.requestId));
    finish(failureName(failure.type));
}

void Exchange::finish(const char *outcome)
{
    if (m_state == State::Over)
        return;
    m_state = State::Over;
    logEnd(outcome);
    m_port->exchangeOver(m_accepted.id);
}

void Exchange::logFailedAttempt(AttemptOutcome outcome, bool maybeRan, bool repeats)
{
    m_port->attemptFailed(outcome);
    const Base::TimePoint now = m_port->now();
    if (!m_port->log().tryAcquireRequestLine(true, now))
        return;
    LogLine line("request.attempt_failed");
    line.add("request", m_accepted.requestId)
        .add("route", route().name)
        .add("server", m_server.value())
        .add("outcome", Routing::nameOf(outcome))
        .add("maybeRan", maybeRan)
        .add("repeats", repeats)
        .add("sends", m_sends)
        .add("events", m_eventCount)
        .add("afterMs", now - m_sentAt);
    m_port->log().write(line, now);
}

void Exchange::logEnd(const char *outcome)
{
    const Base::TimePoint now = m_port->now();
    EndedRequest ended{route().name, m_accepted.customer.value(), outcome, std::nullopt,
                       now - m_accepted.request.readAt};
    if (m_eventCount > 0)
        ended.first = m_firstEventAt - m_accepted.request.readAt;
    else if (m_status != 0 && m_status < 500)
        ended.first = ended.whole;
    m_port->requestEnded(ended);
    const bool isFailure = m_status >= 500 || (m_status == 0 && !m_isCallerGone);
    if (!m_port->log().tryAcquireRequestLine(isFailure, now))
        return;
    LogLine line("request.end");
    line.add("request", m_accepted.requestId)
        .add("route", route().name)
        .add("customer", m_accepted.customer.value())
        .add("configuration", m_accepted.table->version())
        .add("outcome", outcome)
        .add("status", m_status)
        .add("server", m_server.value())
        .add("sends", m_sends)
        .add("runs", m_runs)
        .add("events", m_eventCount)
        .add("waitedMs", m_sends > 0 ? m_sentAt - m_accepted.request.readAt : Base::Duration(0))
        .add("unreadTokens", m_inputs.unreadTokens)
        .add("fetchedTokens", m_inputs.fetchedTokens)
        .add("fetchFrom", m_fetchFrom.value())
        .add("tokensAhead", m_inputs.tokensAhead)
        .add("running", m_inputs.running)
        .add("slowness", m_inputs.slowness)
        .add("failureShare", m_inputs.failureShare)
        .add("expectedMs", m_expectedStart)
        .add("firstMs",
             m_eventCount > 0 ? m_firstEventAt - m_accepted.request.readAt : Base::Duration(0))
        .add("wholeMs", now - m_accepted.request.readAt);
    if (m_turnedAway) {
        line.add("why", Routing::nameOf(m_turnedAway->reason))
            .add("received", m_turnedAway->received)
            .add("shareLevel", m_turnedAway->shareLevel)
            .add("retryAfterMs", Base::Duration(m_turnedAway->retryAfter));
    }
    m_port->log().write(line, now);
}

} // namespace Gateway
