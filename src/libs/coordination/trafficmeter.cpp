#include "coordination/trafficmeter.h"

#include <algorithm>

namespace Coordination {

namespace {

/// Stretch while the window is full. It is so large that it blocks every exchange.
constexpr double blockingStretch = 1000;

} // namespace

bool isDeferrable(TrafficKind kind)
{
    switch (kind) {
    case TrafficKind::Heartbeats:
    case TrafficKind::Ledger:
    case TrafficKind::Configuration:
        return true;
    case TrafficKind::Permits:
    case TrafficKind::Charges:
    case TrafficKind::Claims:
        return false;
    }
    return false;
}

Base::Result<TrafficMeter> TrafficMeter::create(const TrafficBudget &budget)
{
    const bool isValid = budget.bytesPerSecond > 0 && budget.targetShare > 0
                         && budget.targetShare <= budget.stopShare && budget.stopShare < 1
                         && budget.reservedShare > 0 && budget.chargeCoarseningShare > 0;
    if (!isValid)
        return boost::leaf::new_error(InvalidTrafficBudget{});
    return TrafficMeter(budget);
}

TrafficMeter::TrafficMeter(const TrafficBudget &budget)
    : m_budget(budget)
{}

std::int64_t TrafficMeter::bucketNumber(Base::TimePoint now)
{
    return now.time_since_epoch() / bucketLength;
}

double TrafficMeter::windowBytes() const
{
    return m_budget.bytesPerSecond * std::chrono::duration<double>(window).count();
}

void TrafficMeter::record(TrafficKind kind, std::size_t bytes, Base::TimePoint now)
{
    m_totals[static_cast<std::size_t>(kind)] += bytes;
    const auto size = static_cast<double>(bytes);
    const double unstretched = size * requiredStretch(windowSum(now));
    const std::int64_t number = bucketNumber(now);
    Bucket &bucket = m_buckets[static_cast<std::size_t>(number) % bucketCount];
    if (bucket.number != number)
        bucket = Bucket{number, 0, 0, 0};
    if (!isDeferrable(kind)) {
        bucket.fixed += size;
        return;
    }
    bucket.deferrable += size;
    bucket.unstretched += unstretched;
}

std::uint64_t TrafficMeter::total(TrafficKind kind) const
{
    return m_totals[static_cast<std::size_t>(kind)];
}

TrafficMeter::Bucket TrafficMeter::windowSum(Base::TimePoint now) const
{
    const std::int64_t oldest = bucketNumber(now) - static_cast<std::int64_t>(bucketCount) + 1;
    Bucket sum;
    for (const Bucket &bucket : m_buckets) {
        if (bucket.number < oldest)
            continue;
        sum.fixed += bucket.fixed;
        sum.deferrable += bucket.deferrable;
        sum.unstretched += bucket.unstretched;
    }
    return sum;
}

double TrafficMeter::requiredStretch(const Bucket &sum) const
{
    const double available = std::max(m_budget.targetShare * windowBytes() - sum.fixed,
                                      m_budget.reservedShare * windowBytes());
    return std::clamp(sum.unstretched / available, 1.0, blockingStretch);
}

double TrafficMeter::stretch(Base::TimePoint now) const
{
    const Bucket all = windowSum(now);
    const double limit = std::max(m_budget.stopShare * windowBytes() - all.fixed,
                                  m_budget.reservedShare * windowBytes());
    return all.deferrable >= limit ? blockingStretch : requiredStretch(all);
}

double TrafficMeter::chargeStretch(Base::TimePoint now) const
{
    const double share = windowSum(now).fixed / (m_budget.chargeCoarseningShare * windowBytes());
    return std::clamp(share, 1.0, m_budget.maxChargeStretch);
}

double TrafficMeter::rate(Base::TimePoint now) const
{
    const Bucket all = windowSum(now);
    return (all.fixed + all.deferrable) / std::chrono::duration<double>(window).count();
}

} // namespace Coordination
