#pragma once

#include "base/random.h"
#include "base/time.h"

#include <cstdint>

namespace Storage {

struct CircuitBreakerPolicy
{
    /// Consecutive failures that open the breaker. If a healthy service loses one answer in a
    /// hundred, five consecutive failures occur once in 10^10 calls.
    std::uint32_t failuresToOpen = 5;
    /// Time from opening to the first trial call; doubles with each failed trial.
    Base::Duration initialPause = std::chrono::milliseconds(500);
    /// Upper bound of the doubled pause, which limits how long calls are still rejected after the
    /// service has recovered.
    Base::Duration maxPause = std::chrono::seconds(8);
};

/// Stops calls to a service that is down and sends single trial calls until it answers again.
///
/// Without a breaker every call during an outage waits for its whole timeout, calls pile up at
/// the callers, and the service receives them all at once when it recovers.
class CircuitBreaker
{
public:
    CircuitBreaker(const CircuitBreakerPolicy &policy, Base::RandomSource &random);

    bool isClosed() const { return m_state == State::Closed; }
    /// Returns whether the breaker is open and one call may be sent as a trial.
    bool isTrialDue(Base::TimePoint now) const
    {
        return m_state == State::Open && now >= m_trialAt;
    }
    bool isOpen() const { return m_state == State::Open; }
    /// Returns the earliest time of the next trial; valid while the breaker is open.
    Base::TimePoint trialAt() const { return m_trialAt; }

    /// Half-opens the breaker; the next recorded success or failure is that of the trial.
    void beginTrial() { m_state = State::HalfOpen; }
    void recordSuccess();
    void recordFailure(Base::TimePoint now);

private:
    enum class State { Closed, Open, HalfOpen };

    void open(Base::TimePoint now);

    CircuitBreakerPolicy m_policy;
    Base::RandomSource *m_random;
    State m_state = State::Closed;
    /// Consecutive failures while the breaker is closed.
    std::uint32_t m_failures = 0;
    Base::Duration m_pause;
    Base::TimePoint m_trialAt{};
};

} // namespace Storage
