#include "storage/calllane.h"

#include <algorithm>

namespace Storage {

namespace {

constexpr double unlimitedRate = 1e6;

} // namespace

bool isUsable(const LanePolicy &policy)
{
    return policy.largestAttempts > 0 && policy.largestInFlight > 0 && policy.largestWaiting > 0
           && policy.callTimeout > Base::Duration::zero()
           && policy.longestWait > Base::Duration::zero();
}

CallLane::CallLane(CallKind kind, const LanePolicy &policy, OperationIds &attempts,
                   Base::RandomSource &random)
    : m_kind(kind)
    , m_policy(policy)
    , m_ids(&attempts)
    , m_breaker(policy.breaker, random)
    , m_rate(unlimitedRate, policy.burst)
{}

void CallLane::advance(Base::TimePoint now, bool mayTry)
{
    expire(now);
    takeArrived(now);
    wakeDelayed(now);
    if (m_breaker.isClosed()) {
        send(now, m_policy.largestInFlight);
        return;
    }
    if (mayTry && m_breaker.isTrialDue(now) && !m_waiting.empty()) {
        // The rate may hold it back: then there is no trial to wait for.
        const std::size_t before = m_inFlight.size();
        send(now, before + 1);
        if (m_inFlight.size() > before)
            m_breaker.beginTrial();
    }
    refuseWaiting();
}

std::optional<OperationId> CallLane::finishAttempt(OperationId attempt, AttemptEnd end,
                                                   Base::TimePoint now)
{
    // An answer after the timeout, or a second one: the call has ended or goes on under
    // another attempt. Taken for an answer, it would end a call twice or end the wrong one.
    const auto it = m_inFlight.find(attempt);
    if (it == m_inFlight.end())
        return std::nullopt;
    const Call call = it->second.call;
    m_inFlight.erase(it);
    if (end == AttemptEnd::Answered) {
        m_breaker.recordSuccess();
        return call.id;
    }
    m_breaker.recordFailure(now);
    fail(call, end == AttemptEnd::Unknown, now);
    return std::nullopt;
}

Base::TimePoint CallLane::nextDue() const
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
    if (m_inFlight.size() < m_policy.largestInFlight)
        due = std::min(due, m_rate.nextAt());
    return due;
}

Base::TimePoint CallLane::readyAt() const
{
    if (!m_breaker.isClosed())
        return Base::TimePoint::min();
    return m_waiting.empty() ? m_rate.nextAt() : m_waiting.rbegin()->second.deadline;
}

void CallLane::takeArrived(Base::TimePoint now)
{
    for (const OperationId id : std::exchange(m_arrived, {})) {
        if (waiting() >= m_policy.largestWaiting) {
            end(id, false);
            continue;
        }
        const Base::TimePoint deadline = now + m_policy.longestWait;
        m_waiting[{deadline, id}] = {id, deadline, 0};
    }
}

void CallLane::expire(Base::TimePoint now)
{
    while (!m_inFlight.empty() && m_inFlight.begin()->second.timeoutAt <= now) {
        const Call call = m_inFlight.begin()->second.call;
        m_inFlight.erase(m_inFlight.begin());
        m_breaker.recordFailure(now);
        fail(call, true, now);
    }
    while (!m_waiting.empty() && m_waiting.begin()->second.deadline <= now) {
        end(m_waiting.begin()->second.id, false);
        m_waiting.erase(m_waiting.begin());
    }
}

void CallLane::wakeDelayed(Base::TimePoint now)
{
    while (!m_delayed.empty() && m_delayed.begin()->first <= now) {
        const Call call = m_delayed.begin()->second;
        m_delayed.erase(m_delayed.begin());
        m_waiting[{call.deadline, call.id}] = call;
    }
}

void CallLane::refuseWaiting()
{
    for (const auto &[key, call] : std::exchange(m_waiting, {}))
        end(call.id, false);
    for (const auto &[at, call] : std::exchange(m_delayed, {}))
        end(call.id, false);
}

void CallLane::send(Base::TimePoint now, std::size_t limit)
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

void CallLane::fail(const Call &call, bool mayHaveEffect, Base::TimePoint now)
{
    // A write that is out may still arrive after its timeout: sent again, it could take effect
    // twice or meet its own first attempt as a conflict. Its caller has to be told Unknown.
    const bool isUnsafe = mayHaveEffect && m_kind == CallKind::Write;
    const Base::Duration delay = m_policy.retryDelay * (1 << std::min(call.attempts - 1, 10U));
    const Base::TimePoint retryAt = now + delay;
    if (isUnsafe || call.attempts >= m_policy.largestAttempts || retryAt >= call.deadline) {
        end(call.id, isUnsafe);
        return;
    }
    m_delayed.emplace(retryAt, call);
}

} // namespace Storage
