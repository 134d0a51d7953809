#include "storage/callqueue.h"

#include <algorithm>

namespace Storage {

namespace {

/// Rate until setRate() is called, in calls per second.
constexpr double initialRate = 1e6;

} // namespace

bool isUsable(const CallQueuePolicy &policy)
{
    return policy.maxAttempts > 0 && policy.maxInFlight > 0 && policy.maxWaiting > 0
           && policy.callTimeout > Base::Duration::zero()
           && policy.maxWait > Base::Duration::zero();
}

CallQueue::CallQueue(CallKind kind, const CallQueuePolicy &policy, OperationIds &attempts,
                     Base::RandomSource &random)
    : m_kind(kind)
    , m_policy(policy)
    , m_ids(&attempts)
    , m_breaker(policy.breaker, random)
    , m_rate(initialRate, policy.burst)
{}

void CallQueue::advance(Base::TimePoint now, bool allowTrial)
{
    expire(now);
    admitArrived(now);
    requeueDelayed(now);
    if (m_breaker.isClosed()) {
        send(now, m_policy.maxInFlight);
        return;
    }
    if (allowTrial && m_breaker.isTrialDue(now) && !m_waiting.empty()) {
        // The rate limit may hold the call back; the breaker must not wait for an unsent trial.
        const std::size_t before = m_inFlight.size();
        send(now, before + 1);
        if (m_inFlight.size() > before)
            m_breaker.beginTrial();
    }
    failWaiting();
}

std::optional<OperationId> CallQueue::finishAttempt(OperationId attempt, AttemptResult result,
                                                    Base::TimePoint now)
{
    // The attempt of a late or duplicate answer is no longer in flight: its call has ended or
    // continues with another attempt. Accepting the answer would end a call twice or end the
    // wrong one.
    const auto it = m_inFlight.find(attempt);
    if (it == m_inFlight.end())
        return std::nullopt;
    const Call call = it->second.call;
    m_inFlight.erase(it);
    if (result == AttemptResult::Answered) {
        m_breaker.recordSuccess();
        return call.id;
    }
    m_breaker.recordFailure(now);
    handleFailedAttempt(call, result == AttemptResult::Unknown, now);
    return std::nullopt;
}

Base::TimePoint CallQueue::nextDue() const
{
    if (!m_arrived.empty())
        return Base::TimePoint::min();
    Base::TimePoint due = Base::TimePoint::max();
    if (!m_inFlight.empty())
        due = std::min(due, m_inFlight.begin()->second.timeoutAt);
    if (!m_delayed.empty())
        due = std::min(due, m_delayed.begin()->first);
    if (m_waiting.empty())
        return due;
    due = std::min(due, m_waiting.begin()->second.deadline);
    if (m_inFlight.size() < m_policy.maxInFlight)
        due = std::min(due, m_rate.nextAt());
    return due;
}

Base::TimePoint CallQueue::readyAt() const
{
    if (!m_breaker.isClosed())
        return Base::TimePoint::min();
    return m_waiting.empty() ? m_rate.nextAt() : m_waiting.rbegin()->second.deadline;
}

void CallQueue::admitArrived(Base::TimePoint now)
{
    for (const OperationId id : std::exchange(m_arrived, {})) {
        if (waiting() >= m_policy.maxWaiting) {
            failCall(id, false);
            continue;
        }
        const Base::TimePoint deadline = now + m_policy.maxWait;
        m_waiting[{deadline, id}] = {id, deadline, 0};
    }
}

void CallQueue::expire(Base::TimePoint now)
{
    while (!m_inFlight.empty() && m_inFlight.begin()->second.timeoutAt <= now) {
        const Call call = m_inFlight.begin()->second.call;
        m_inFlight.erase(m_inFlight.begin());
        m_breaker.recordFailure(now);
        handleFailedAttempt(call, true, now);
    }
    while (!m_waiting.empty() && m_waiting.begin()->second.deadline <= now) {
        failCall(m_waiting.begin()->second.id, false);
        m_waiting.erase(m_waiting.begin());
    }
}

void CallQueue::requeueDelayed(Base::TimePoint now)
{
    while (!m_delayed.empty() && m_delayed.begin()->first <= now) {
        const Call call = m_delayed.begin()->second;
        m_delayed.erase(m_delayed.begin());
        m_waiting[{call.deadline, call.id}] = call;
    }
}

void CallQueue::failWaiting()
{
    for (const auto &[key, call] : std::exchange(m_waiting, {}))
        failCall(call.id, false);
    for (const auto &[at, call] : std::exchange(m_delayed, {}))
        failCall(call.id, false);
}

void CallQueue::send(Base::TimePoint now, std::size_t limit)
{
    while (!m_waiting.empty() && m_inFlight.size() < limit && m_rate.tryTake(now)) {
        Call call = m_waiting.begin()->second;
        m_waiting.erase(m_waiting.begin());
        ++call.attempts;
        const OperationId attempt = m_ids->next();
        m_inFlight[attempt] = {call, now + m_policy.callTimeout};
        m_attempts.push_back({call.id, attempt});
    }
}

void CallQueue::handleFailedAttempt(const Call &call, bool mayHaveEffect, Base::TimePoint now)
{
    // An unanswered write may still reach the service after its timeout. If it were retried, it
    // could take effect twice or conflict with its own first attempt, so its caller gets Unknown.
    const bool hasUnknownEffect = mayHaveEffect && m_kind == CallKind::Write;
    const Base::Duration delay = m_policy.retryDelay * (1 << std::min(call.attempts - 1, 10U));
    const Base::TimePoint retryAt = now + delay;
    if (hasUnknownEffect || call.attempts >= m_policy.maxAttempts || retryAt >= call.deadline) {
        failCall(call.id, hasUnknownEffect);
        return;
    }
    m_delayed.emplace(retryAt, call);
}

} // namespace Storage
