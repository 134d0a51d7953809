#include "coordination/trafficmeter.h"

#include <algorithm>

namespace Coordination {

namespace {

/// While the window is full: no exchange is so frequent that it comes through.
constexpr double stopStretch = 1000;

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
    const bool isValid = budget.bytesPerSecond > 0 && budget.target > 0
                         && budget.target <= budget.stop && budget.stop < 1 && budget.reserve > 0
                         && budget.chargeShare > 0;
    if (!isValid)
        return boost::leaf::new_error(InvalidTrafficBudget{});
    return TrafficMeter(budget);
}

TrafficMeter::TrafficMeter(const TrafficBudget &budget)
    : m_budget(budget)
{}

std::int64_t TrafficMeter::numberOf(Base::TimePoint now)
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
    const double wanted = size * fittingStretch(sum(now));
    const std::int64_t number = numberOf(now);
    Bucket &bucket = m_buckets[static_cast<std::size_t>(number) % buckets];
    if (bucket.number != number)
        bucket = Bucket{number, 0, 0, 0};
    if (!isDeferrable(kind)) {
        bucket.fixed += size;
        return;
    }
    bucket.deferrable += size;
    bucket.wanted += wanted;
}

std::uint64_t TrafficMeter::total(TrafficKind kind) const
{
    return m_totals[static_cast<std::size_t>(kind)];
}

TrafficMeter::Bucket TrafficMeter::sum(Base::TimePoint now) const
{
    const std::int64_t oldest = numberOf(now) - static_cast<std::int64_t>(buckets) + 1;
    Bucket sum;
    for (const Bucket &bucket : m_buckets) {
        if (bucket.number < oldest)
            continue;
        sum.fixed += bucket.fixed;
        sum.deferrable += bucket.deferrable;
        sum.wanted += bucket.wanted;
    }
    return sum;
}

double TrafficMeter::fittingStretch(const Bucket &sum) const
{
    const double left =
        std::max(m_budget.target * windowBytes() - sum.fixed, m_budget.reserve * windowBytes());
    return std::clamp(sum.wanted / left, 1.0, stopStretch);
}

double TrafficMeter::stretch(Base::TimePoint now) const
{
    const Bucket all = sum(now);
    const double largest =
        std::max(m_budget.stop * windowBytes() - all.fixed, m_budget.reserve * windowBytes());
    return all.deferrable >= largest ? stopStretch : fittingStretch(all);
}

double TrafficMeter::chargeStretch(Base::TimePoint now) const
{
    const double share = sum(now).fixed / (m_budget.chargeShare * windowBytes());
    return std::clamp(share, 1.0, m_budget.largestChargeStretch);
}

double TrafficMeter::rate(Base::TimePoint now) const
{
    const Bucket all = sum(now);
    return (all.fixed + all.deferrable) / std::chrono::duration<double>(window).count();
}

} // namespace Coordination
