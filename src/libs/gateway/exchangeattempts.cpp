// Which attempts of an exchange are open, when another server is sought, and whose answer is passed
// on.

#include "gateway/exchange.h"
#include "gateway/silencelimit.h"

#include <utility>

namespace Gateway {

using Routing::AttemptOutcome;

void Exchange::checkTime(Base::TimePoint now)
{
    if (m_state == State::Finished)
        return;
    if (m_state == State::Proving) {
        checkTakeUp();
        return;
    }
    if (now >= effectiveDeadline()) {
        if (m_state == State::Sent)
            m_mayHaveRun = true;
        cancelSilentAttempt(AttemptOutcome::Silent);
        cancelAttempt(m_current->isSilent ? AttemptOutcome::Silent : AttemptOutcome::Withdrawn);
        fail({FailureType::TimedOut, m_mayHaveRun, std::nullopt});
        return;
    }
    if (!isSilent(now))
        return;
    if (!std::exchange(m_current->isSilent, true)) {
        recordServerEnd(*m_current, true);
        m_port->workSilent(m_accepted.service, m_current->work);
    }
    if (mayRetry(AttemptOutcome::Silent, true))
        seekOtherServer();
}

bool Exchange::isSilent(Base::TimePoint now) const
{
    if (m_state != State::Sent || !route().mayRepeat() || m_current->isPaused())
        return false;
    if (m_current->isHeadSeen && !route().isStream())
        return false;
    const AttemptRecord &record = m_current->record;
    SilentAttempt attempt{route(), record.expectedStart, m_current->isStarted, {}, {}};
    attempt.silence = now - m_current->quietSince;
    if (const auto lastResponseAt = m_port->lastResponseFrom(record.server))
        attempt.serverQuiet = now - *lastResponseAt;
    return isTooSilent(attempt);
}

void Exchange::finishAttempt(Attempt &attempt, AttemptOutcome outcome)
{
    if (attempt.sampler.isRunning()) {
        m_port->attemptEnded(m_accepted, {attempt.record.server, attempt.sampler.softwareVersion(),
                                          attempt.sampler.end(outcome, m_port->now()),
                                          attempt.sampler.sentAt()});
    }
    if (!std::exchange(attempt.isPlaced, false))
        return;
    m_port->workFinished(m_accepted.service, attempt.work, outcome);
}

void Exchange::cancelAttempt(AttemptOutcome outcome)
{
    // There is no attempt yet.
    if (m_state == State::Proving) {
        m_state = State::Waiting;
        return;
    }
    const std::shared_ptr<Attempt> attempt = m_current;
    attempt->cancel();
    if (m_state == State::Waiting)
        m_port->withdrawWork(m_accepted.service, attempt->work);
    else
        finishAttempt(*attempt, outcome);
    m_state = State::Waiting;
}

void Exchange::cancelSilentAttempt(AttemptOutcome outcome)
{
    const std::shared_ptr<Attempt> attempt = std::exchange(m_silent, nullptr);
    if (!attempt)
        return;
    attempt->cancel();
    finishAttempt(*attempt, outcome);
}

void Exchange::seekOtherServer()
{
    logFailedAttempt(*m_current, AttemptOutcome::Silent, true, true);
    m_mayHaveRun = true;
    ++m_record.possibleRuns;
    if (m_silent)
        cancelAttempt(AttemptOutcome::Silent);
    else
        m_silent = m_current;
    submit();
}

void Exchange::resumeSilentAttempt()
{
    m_current = std::exchange(m_silent, nullptr);
    m_state = State::Sent;
    // Its run is counted when it ends.
    --m_record.possibleRuns;
    m_current->quietSince = m_port->now() + m_seekPause;
    m_seekPause *= 2;
    m_record.attempt = m_current->record;
}

void Exchange::answerData(Attempt &attempt, std::string_view data)
{
    const std::shared_ptr<Exchange> self = shared_from_this();
    const std::shared_ptr<Attempt> answering = attempt.shared_from_this();
    m_port->serverResponded(attempt.record.server);
    if (!attempt.isEventStream) {
        if (data.size() > maxAnswerBodyBytes - attempt.body.text.size())
            giveUp(attempt, AnswerFault::LongBody);
        else if (attempt.hasGivenWay()
                 || !attempt.appendBody(data, m_port->answerMemory(), m_port->now()))
            giveUp(attempt, AnswerFault::NoMemory);
        return;
    }
    // From the first byte of an event on, only one server may work on the request.
    choose(attempt);
    if (attempt.isStarted)
        attempt.quietSince = m_port->now();
    const CompleteEvents whole = attempt.events.push(data);
    if (whole.count > 0)
        forwardEvents(attempt, whole);
    if (attempt.events.isEventTooLong())
        giveUp(attempt, AnswerFault::LongEvent);
}

void Exchange::giveUp(Attempt &attempt, AnswerFault fault)
{
    attempt.cancel();
    attempt.body = HeldBody();
    attempt.attemptFailed({AttemptOutcome::Broken, true, fault});
}

void Exchange::choose(Attempt &attempt)
{
    if (!m_silent)
        return;
    if (&attempt != m_silent.get()) {
        cancelSilentAttempt(AttemptOutcome::Silent);
        return;
    }
    if (m_state == State::Sent)
        ++m_record.possibleRuns;
    cancelAttempt(AttemptOutcome::Withdrawn);
    resumeSilentAttempt();
}

} // namespace Gateway
