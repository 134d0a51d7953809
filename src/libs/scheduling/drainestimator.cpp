#include "scheduling/drainestimator.h"

#include <algorithm>
#include <chrono>

namespace Scheduling {

namespace {

/// Number of uses that the exponential moving average of the holding time covers. One request in
/// ten may take ten times longer than the others: 32 uses include about three of these, and at 40
/// uses per second they pass within a second.
constexpr std::size_t maxSamples = 32;
/// Lower bound of the mean in seconds. A smaller mean would only show the resolution of the clock.
constexpr double minMeanSeconds = 0.0005;

} // namespace

void DrainEstimator::recordUse(Base::Duration held)
{
    m_samples = std::min(m_samples + 1, maxSamples);
    const double seconds = std::chrono::duration<double>(held).count();
    m_meanSeconds += (seconds - m_meanSeconds) / static_cast<double>(m_samples);
}

double DrainEstimator::rate(std::size_t permits) const
{
    if (m_samples == 0)
        return 0;
    return static_cast<double>(permits) / std::max(m_meanSeconds, minMeanSeconds);
}

} // namespace Scheduling
