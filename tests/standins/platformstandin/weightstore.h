#pragma once

#include <chrono>
#include <mutex>
#include <optional>

namespace StandIn {

/// Limits the rate at which model weights are fetched. Thread-safe.
class WeightStore
{
public:
    /// \a rate is in fetches per second and greater than 0.
    explicit WeightStore(double rate)
        : m_rate(rate)
    {}

    /// Returns std::nullopt if a fetch is allowed now, otherwise the time to wait before a retry.
    std::optional<std::chrono::milliseconds> fetch();

private:
    using Clock = std::chrono::steady_clock;

    std::mutex m_mutex;
    double m_rate;
    Clock::time_point m_nextAt = Clock::time_point::min();
};

} // namespace StandIn
