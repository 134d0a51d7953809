// How an exchange ends, and what it logs of its attempts.

#include "gateway/eventlog.h"
#include "gateway/exchange.h"
#include "gateway/gatewaymetrics.h"

#include <string_view>
#include <utility>

namespace Gateway {

using Routing::AttemptOutcome;

void Exchange::sendWholeAnswer(Attempt &attempt)
{
    if (attempt.body.text.size() <= maxCopiedBodyBytes) {
        m_sink->sendAnswer(attempt.head, attempt.body.text);
        return;
    }
    attempt.body.memory.keep();
    const auto held = std::make_shared<HeldBody>(std::move(attempt.body));
    m_sink->sendLargeAnswer(attempt.head, {held, &held->text});
}

void Exchange::fail(Failure failure)
{
    if (m_silent) {
        resumeSilentAttempt();
        return;
    }
    failure.mayHaveRun |= m_mayHaveRun;
    if (m_isStreamStarted) {
        m_record.isCutOff = !m_isCallerGone;
        if (!m_isCallerGone)
            m_sink->abortAnswer();
        finish(failureName(failure.type));
        return;
    }
    m_record.status = failureStatus(failure);
    if (!m_isCallerGone) {
        // Rejected callers mostly come back on a new connection, and keeping this one open would
        // cost a busy host more than the rejection.
        if (!failure.mayHaveRun && m_port->isBusy())
            m_sink->closeAfterAnswer();
        m_sink->sendAnswer(failureHead(failure), failureBody(failure, m_accepted.requestId));
    }
    finish(failureName(failure.type));
}

void Exchange::endForShutdown(Base::Milliseconds retryAfter)
{
    if (m_state == State::Finished)
        return;
    const std::shared_ptr<Exchange> self = shared_from_this();
    m_mayHaveRun |= m_state == State::Sent;
    cancelSilentAttempt(AttemptOutcome::Withdrawn);
    cancelAttempt(AttemptOutcome::Withdrawn);
    fail({FailureType::ShuttingDown, m_mayHaveRun, retryAfter});
}

void Exchange::finish(const char *outcome)
{
    if (m_state == State::Finished)
        return;
    m_state = State::Finished;
    logEnd(outcome);
    m_port->exchangeFinished(m_accepted.id);
}

void Exchange::logFailedAttempt(const Attempt &attempt, AttemptOutcome outcome, bool maybeRan,
                                bool retries)
{
    m_record.attempt = attempt.record;
    m_port->attemptFailed(outcome);
    const Base::TimePoint now = m_port->now();
    if (!m_port->log().tryAcquireRequestLine(true, now))
        return;
    const FailedAttempt failed{outcome, maybeRan, retries,
                               m_port->memory().crashes().ends(content(), now)};
    m_port->log().write(attemptFailedLine(m_accepted, m_record, failed, content().digest, now),
                        now);
}

void Exchange::logEnd(const char *outcome)
{
    const Base::TimePoint now = m_port->now();
    EndedRequest ended{route().name, m_accepted.customer.value(),     outcome,
                       std::nullopt, now - m_accepted.request.readAt, m_record.isCutOff};
    if (m_record.events > 0)
        ended.first = m_record.firstEventAt - m_accepted.request.readAt;
    else if (m_record.status != 0 && m_record.status < 500)
        ended.first = ended.whole;
    ended.isAnswered = std::string_view(outcome) == answeredOutcome;
    m_port->requestEnded(ended);
    const bool isFailure = m_record.status >= 500 || (m_record.status == 0 && !m_isCallerGone);
    if (!m_port->log().tryAcquireRequestLine(isFailure, now))
        return;
    LogLine line = requestEndLine(m_accepted, m_record,
                                  {outcome, content().digest, m_port->configurationAge()}, now);
    line.add("resumes", field(m_accepted.request.message, m_port->names().resumedRequestId));
    m_port->log().write(line, now);
}

} // namespace Gateway
