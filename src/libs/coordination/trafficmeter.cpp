#include "coordination/trafficmeter.h"

namespace Coordination {

Base::Result<TrafficMeter> TrafficMeter::create(const TrafficBudget &budget)
{
    return TrafficMeter(budget);
}

TrafficMeter::TrafficMeter(const TrafficBudget &budget)
    : m_budget(budget)
{}

void TrafficMeter::record(TrafficKind kind, std::size_t bytes, Base::TimePoint)
{
    m_totals[static_cast<std::size_t>(kind)] += bytes;
}

std::uint64_t TrafficMeter::total(TrafficKind kind) const
{
    return m_totals[static_cast<std::size_t>(kind)];
}

double TrafficMeter::stretch(Base::TimePoint) const
{
    return 1;
}

} // namespace Coordination
