#pragma once

#include "base/random.h"
#include "base/time.h"

#include <cstdint>

namespace Storage {

struct CircuitBreakerPolicy
{
    /// Consecutive failures that open the breaker. One lost answer in a hundred, which is a
    /// bad day of a healthy service, gives five in a row once in 10^10 calls.
    std::uint32_t failuresToOpen = 5;
    /// Time from opening to the first trial; doubles with each failed trial.
    Base::Duration firstPause = std::chrono::milliseconds(500);
    /// Bounds what is lost after the service is back.
    Base::Duration longestPause = std::chrono::seconds(8);
};

/// Stops calls of a service that is down, and tries now and then whether it is back.
///
/// Answers the load pattern of an outage: without it every call waits for its whole timeout,
/// calls pile up at the callers, and the service meets them all at once when it returns.
class CircuitBreaker
{
public:
    CircuitBreaker(const CircuitBreakerPolicy &policy, Base::RandomSource &random);

    bool isClosed() const { return m_state == State::Closed; }
    /// One call may go as a trial.
    bool isTrialDue(Base::TimePoint now) const
    {
        return m_state == State::Open && now >= m_trialAt;
    }
    bool isOpen() const { return m_state == State::Open; }
    Base::TimePoint trialAt() const { return m_trialAt; }

    void beginTrial() { m_state = State::HalfOpen; }
    void recordSuccess();
    void recordFailure(Base::TimePoint now);

private:
    enum class State { Closed, Open, HalfOpen };

    void open(Base::TimePoint now);

    CircuitBreakerPolicy m_policy;
    Base::RandomSource *m_random;
    State m_state = State::Closed;
    std::uint32_t m_failures = 0;
    Base::Duration m_pause;
    Base::TimePoint m_trialAt{};
};

} // namespace Storage
