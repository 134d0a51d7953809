#include "storage/circuitbreaker.h"

#include <algorithm>

namespace Storage {

CircuitBreaker::CircuitBreaker(const CircuitBreakerPolicy &policy, Base::RandomSource &random)
    : m_policy(policy)
    , m_random(&random)
    , m_pause(policy.initialPause)
{}

void CircuitBreaker::recordSuccess()
{
    m_state = State::Closed;
    m_failures = 0;
    m_pause = m_policy.initialPause;
}

void CircuitBreaker::recordFailure(Base::TimePoint now)
{
    if (m_state == State::Open)
        return;
    if (m_state == State::HalfOpen) {
        m_pause = std::min(2 * m_pause, m_policy.maxPause);
        open(now);
        return;
    }
    if (++m_failures >= m_policy.failuresToOpen)
        open(now);
}

void CircuitBreaker::open(Base::TimePoint now)
{
    // Random jitter of up to half the pause keeps the hosts of the fleet from sending their
    // trials at the same moment.
    const std::uint64_t spread = static_cast<std::uint64_t>((m_pause / 2).count()) + 1;
    m_state = State::Open;
    m_failures = 0;
    m_trialAt = now + m_pause + Base::Duration(m_random->next() % spread);
}

} // namespace Storage
