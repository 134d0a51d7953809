#pragma once

#include "base/result.h"
#include "base/time.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace Coordination {

/// Purpose of the bytes that a router sends to its peers.
enum class TrafficKind { Permits, Charges, Heartbeats, Ledger, Configuration, Claims };
inline constexpr std::size_t trafficKindCount = 6;

/// Whether messages of this kind can be delayed without a request waiting for them.
bool isDeferrable(TrafficKind kind);

/// Error of TrafficMeter::create(): a value of the TrafficBudget is out of range.
struct InvalidTrafficBudget
{};

/// Budget for the traffic between routers. Shares are fractions of bytesPerSecond.
struct TrafficBudget
{
    /// Bytes per second that one daemon may send to its peers.
    double bytesPerSecond = 15000;
    /// Utilization that the stretch of deferrable exchanges aims at, all traffic included.
    double targetShare = 0.7;
    /// Utilization at which deferrable messages are blocked for the moment. The rest of the budget
    /// has room for one more large message and for a burst of permits.
    double stopShare = 0.8;
    /// Share that deferrable messages keep even if permits alone fill the budget. A router without
    /// heartbeats would be regarded as dead, which costs more than the bytes.
    double reservedShare = 0.1;
    /// Utilization by traffic that is not deferrable from which on charges become coarser.
    double chargeCoarseningShare = 0.5;
    /// Largest result of TrafficMeter::chargeStretch().
    double maxChargeStretch = 8;
};

/// Counts the bytes sent between routers by kind, and computes by which factor (stretch) the
/// deferrable exchanges must lengthen their intervals to stay within the budget.
///
/// Traffic grows with the number of customers served at once (large ledger deltas), of
/// configuration changes and of permits. Without the stretch it would exceed the budget when the
/// fleet is busiest and take processor time from requests. The window of two seconds contains four
/// heartbeats, and is short enough for a stretch to end soon after its cause.
///
/// A sender must send only when interval times stretch(now) has passed since its last message, and
/// must record the message at once.
class TrafficMeter
{
public:
    /// Fails with InvalidTrafficBudget.
    static Base::Result<TrafficMeter> create(const TrafficBudget &budget);

    /// Records \a bytes sent at \a now, which must not decrease between calls.
    void record(TrafficKind kind, std::size_t bytes, Base::TimePoint now);
    /// Bytes of this kind recorded so far.
    std::uint64_t total(TrafficKind kind) const;
    /// Factor, at least 1, by which intervals of deferrable exchanges must be multiplied.
    double stretch(Base::TimePoint now) const;
    /// Factor, at least 1, by which the amount of service charged in one message must be
    /// multiplied.
    double chargeStretch(Base::TimePoint now) const;
    /// Bytes per second over the window.
    double rate(Base::TimePoint now) const;

    /// Period over which the traffic is measured.
    static constexpr Base::Duration window = std::chrono::seconds(2);

private:
    static constexpr Base::Duration bucketLength = std::chrono::milliseconds(100);
    /// One bucket more than the window contains, so that the buckets cover the bytes of any
    /// window, even one that begins within a bucket.
    static constexpr std::size_t bucketCount = window / bucketLength + 1;

    /// Bytes sent within one bucketLength.
    struct Bucket
    {
        std::int64_t number = -1;
        /// Bytes that are not deferrable.
        double fixed = 0;
        double deferrable = 0;
        /// Estimate of the deferrable bytes that would have been sent without a stretch.
        double unstretched = 0;
    };

    explicit TrafficMeter(const TrafficBudget &budget);
    static std::int64_t bucketNumber(Base::TimePoint now);
    Bucket windowSum(Base::TimePoint now) const;
    /// Stretch that brings the traffic in \a sum to the target utilization.
    double requiredStretch(const Bucket &sum) const;
    double windowBytes() const;

    TrafficBudget m_budget;
    std::array<std::uint64_t, trafficKindCount> m_totals{};
    std::array<Bucket, bucketCount> m_buckets{};
};

} // namespace Coordination
