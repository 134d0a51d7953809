#pragma once

#include <chrono>
#include <mutex>
#include <optional>

namespace StandIn {

/// Lets through a limited number of fetches of model weights in each second.
class WeightStore
{
public:
    /// \a rate is in fetches a second and above 0.
    explicit WeightStore(double rate)
        : m_rate(rate)
    {}

    /// Nothing if the fetch may go on; else the time to wait before the next try.
    std::optional<std::chrono::milliseconds> fetch();

private:
    using Clock = std::chrono::steady_clock;

    std::mutex m_mutex;
    double m_rate;
    Clock::time_point m_nextAt = Clock::time_point::min();
};

} // namespace StandIn
