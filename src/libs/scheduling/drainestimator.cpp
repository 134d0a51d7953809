#include "scheduling/drainestimator.h"

#include <algorithm>
#include <chrono>

namespace Scheduling {

namespace {

/// Uses that the mean looks back on. One work in ten may be ten times longer than the others;
/// 32 uses hold about three of those, and pass within a second at 40 uses a second.
constexpr std::size_t memory = 32;
/// Below this a mean would only show how coarse the clock is.
constexpr double shortestMeanSeconds = 0.0005;

} // namespace

void DrainEstimator::recordUse(Base::Duration held)
{
    m_samples = std::min(m_samples + 1, memory);
    const double seconds = std::chrono::duration<double>(held).count();
    m_meanSeconds += (seconds - m_meanSeconds) / static_cast<double>(m_samples);
}

double DrainEstimator::rate(std::size_t permits) const
{
    if (m_samples == 0)
        return 0;
    return static_cast<double>(permits) / std::max(m_meanSeconds, shortestMeanSeconds);
}

} // namespace Scheduling
