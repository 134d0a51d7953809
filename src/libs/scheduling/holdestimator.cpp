#include "scheduling/holdestimator.h"

#include <algorithm>
#include <cmath>

namespace Scheduling {

namespace {

/// Weight of the newest cost in the moving average. One long request in ten stays in the average
/// for about a hundred requests.
constexpr double smoothingFactor = 1.0 / 32;
/// Upper bound of a recorded ratio. A hint that is wrong by more is a mistake of one request and
/// says nothing about its class.
constexpr double maxRatio = 16;

} // namespace

void HoldEstimator::recordCost(const Base::ClassId &workClass, Base::ServiceUnits expected,
                               Base::ServiceUnits cost)
{
    if (expected == 0)
        return;
    const double ratio =
        std::min(maxRatio, static_cast<double>(cost) / static_cast<double>(expected));
    const auto it = m_ratios.try_emplace(workClass, ratio).first;
    it->second += smoothingFactor * (ratio - it->second);
}

Base::ServiceUnits HoldEstimator::hold(const Base::ClassId &workClass,
                                       Base::ServiceUnits expected) const
{
    const auto it = m_ratios.find(workClass);
    if (it == m_ratios.end())
        return expected;
    return static_cast<Base::ServiceUnits>(std::lround(static_cast<double>(expected) * it->second));
}

} // namespace Scheduling
