#pragma once

#include "base/random.h"
#include "base/time.h"
#include "storage/circuitbreaker.h"
#include "storage/operationids.h"
#include "storage/ratelimiter.h"
#include "storage/tableservice.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace Storage {

/// Limits of one kind of call. docs/design/platform-clients.md derives the defaults.
struct CallQueuePolicy
{
    /// Timeout of one attempt.
    Base::Duration callTimeout = std::chrono::milliseconds(800);
    /// Time from a call's arrival after which no further attempt is sent.
    Base::Duration maxWait = std::chrono::milliseconds(2000);
    /// Attempts per call, including the first.
    std::uint32_t maxAttempts = 3;
    /// Delay before the second attempt; doubles with each further attempt.
    Base::Duration retryDelay = std::chrono::milliseconds(50);
    /// Attempts in flight at once.
    std::size_t maxInFlight = 32;
    /// Calls queued or waiting for a retry; further calls fail at once.
    std::size_t maxWaiting = 512;
    /// Calls that may be sent back to back after an idle period.
    int burst = 4;
    CircuitBreakerPolicy breaker;
};

/// Returns whether \a policy lets any call through: its attempts, sizes, timeout and wait are above
/// 0.
bool isUsable(const CallQueuePolicy &policy);

/// Decides whether a call is retried after a lost answer.
enum class CallKind {
    Read,  ///< Has no effect, so it can be retried after a lost answer.
    Write, ///< May have had its effect if the answer was lost, so it is not retried then.
};

/// The result of one attempt, as the service or its client reports it.
enum class AttemptResult {
    Answered, ///< The service answered.
    NotDone,  ///< The attempt is known to have had no effect.
    Unknown,  ///< There was no answer; the attempt may have had its effect.
};

/// Queues, sends, retries and times out calls of one kind to a service of the platform.
/// It handles call ids only; the gateway that owns it keeps the contents of the calls.
///
/// It protects against three load patterns. If the service is slow, timeouts and the limit on
/// calls in flight bound the memory and the wait. During an outage, a circuit breaker rejects
/// calls. During a surge, the rate limit and the bounded queue reject what cannot be sent in
/// time; such a call fails without effect, because it was never sent.
class CallQueue
{
public:
    /// An attempt that the gateway has to send to the service.
    struct Attempt
    {
        OperationId call = 0;
        OperationId attempt = 0;
    };

    /// A call that ended without an answer of the service.
    struct FailedCall
    {
        OperationId call = 0;
        /// Whether the call may have had, or may still have, an effect: true for a write that was
        /// sent and not answered.
        bool mayHaveEffect = false;
    };

    CallQueue(CallKind kind, const CallQueuePolicy &policy, OperationIds &attempts,
              Base::RandomSource &random);

    /// Adds a call, which the next advance() sends, queues or fails.
    void add(OperationId call) { m_arrived.push_back(call); }
    /// Sets the rate limit, in calls per second.
    void setRate(double perSecond) { m_rate.setRate(perSecond); }
    /// Times out, retries and sends calls that are due at \a now. \a allowTrial tells whether a
    /// trial call may be sent while the breaker is open.
    void advance(Base::TimePoint now, bool allowTrial);
    /// Records the \a result of an attempt and returns the call that it answers. Returns nothing
    /// if the answer is late or a duplicate, or if the attempt failed: the call is then retried or
    /// is among takeFailedCalls().
    std::optional<OperationId> finishAttempt(OperationId attempt, AttemptResult result,
                                             Base::TimePoint now);

    std::vector<Attempt> takeAttempts() { return std::exchange(m_attempts, {}); }
    std::vector<FailedCall> takeFailedCalls() { return std::exchange(m_failedCalls, {}); }
    /// Returns the earliest time at which advance() has something to do.
    Base::TimePoint nextDue() const;
    /// Returns the time from which a new call would be sent at once. While calls are queued, this
    /// is the deadline of the last one, when the queue is empty at the latest. While the breaker is
    /// not closed this is TimePoint::min(), since a new call is rejected without delay.
    Base::TimePoint readyAt() const;

    bool isBreakerClosed() const { return m_breaker.isClosed(); }
    /// Returns whether the breaker is due for a trial and no newly added call can serve as one.
    bool needsTrialCall(Base::TimePoint now) const
    {
        return m_breaker.isTrialDue(now) && m_arrived.empty();
    }
    bool isBreakerOpen() const { return m_breaker.isOpen(); }
    Base::TimePoint trialAt() const { return m_breaker.trialAt(); }
    std::size_t inFlight() const { return m_inFlight.size(); }
    std::size_t waiting() const { return m_waiting.size() + m_delayed.size(); }

private:
    struct Call
    {
        OperationId id = 0;
        /// Time after which no attempt is sent.
        Base::TimePoint deadline;
        std::uint32_t attempts = 0;
    };

    struct InFlight
    {
        Call call;
        Base::TimePoint timeoutAt;
    };

    void admitArrived(Base::TimePoint now);
    void expire(Base::TimePoint now);
    void requeueDelayed(Base::TimePoint now);
    void failWaiting();
    void send(Base::TimePoint now, std::size_t limit);
    void handleFailedAttempt(const Call &call, bool mayHaveEffect, Base::TimePoint now);
    void failCall(OperationId call, bool mayHaveEffect)
    {
        m_failedCalls.push_back({call, mayHaveEffect});
    }

    CallKind m_kind;
    CallQueuePolicy m_policy;
    OperationIds *m_ids;
    CircuitBreaker m_breaker;
    RateLimiter m_rate;
    /// Calls added since the last advance().
    std::vector<OperationId> m_arrived;
    /// Queued calls by deadline; this is the order of arrival, since all calls have the same
    /// maxWait.
    std::map<std::pair<Base::TimePoint, OperationId>, Call> m_waiting;
    /// Calls that wait for a retry, by the time of that retry.
    std::multimap<Base::TimePoint, Call> m_delayed;
    /// Attempts in flight by id; ids grow, so this is also the order of sending and of timeout.
    std::map<OperationId, InFlight> m_inFlight;
    std::vector<Attempt> m_attempts;
    std::vector<FailedCall> m_failedCalls;
};

} // namespace Storage
