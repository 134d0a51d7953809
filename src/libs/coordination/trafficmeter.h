#pragma once

#include "base/result.h"
#include "base/time.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace Coordination {

/// What the bytes between routers are for.
enum class TrafficKind { Permits, Charges, Heartbeats, Ledger, Configuration, Claims };
inline constexpr std::size_t trafficKinds = 6;

struct TrafficBudget
{
    /// Bytes a second that one daemon may send to its peers.
    double bytesPerSecond = 15000;
};

/// Counts every byte sent between routers by kind and says how far the exchanges that can
/// wait must stretch their interval to stay inside the budget. Thin version: counts.
class TrafficMeter
{
public:
    static Base::Result<TrafficMeter> create(const TrafficBudget &budget);

    void record(TrafficKind kind, std::size_t bytes, Base::TimePoint now);
    std::uint64_t total(TrafficKind kind) const;
    /// At least 1; the factor by which deferrable intervals are multiplied.
    double stretch(Base::TimePoint now) const;

private:
    explicit TrafficMeter(const TrafficBudget &budget);

    TrafficBudget m_budget;
    std::array<std::uint64_t, trafficKinds> m_totals{};
};

} // namespace Coordination
