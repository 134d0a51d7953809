#include "scheduling/holdestimator.h"

#include <algorithm>
#include <cmath>

namespace Scheduling {

namespace {

/// Weight of the newest cost: one long work in ten stays in the mean for some hundred.
constexpr double weight = 1.0 / 32;
/// A hint wrong by more than this is a mistake of one request, not of its class.
constexpr double largestRatio = 16;

} // namespace

void HoldEstimator::recordCost(const Base::ClassId &workClass, Base::ServiceUnits expected,
                               Base::ServiceUnits cost)
{
    if (expected == 0)
        return;
    const double ratio =
        std::min(largestRatio, static_cast<double>(cost) / static_cast<double>(expected));
    const auto it = m_ratios.try_emplace(workClass, ratio).first;
    it->second += weight * (ratio - it->second);
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
