#pragma once

#include "base/result.h"
#include "base/time.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace Coordination {

/// What the bytes between routers are for.
enum class TrafficKind { Permits, Charges, Heartbeats, Ledger, Configuration, Claims };
inline constexpr std::size_t trafficKindCount = 6;

/// Whether messages of this kind may come later without anybody waiting for them.
bool isDeferrable(TrafficKind kind);

/// A TrafficBudget that cannot work.
struct InvalidTrafficBudget
{};

struct TrafficBudget
{
    /// Bytes a second that one daemon may send to its peers.
    double bytesPerSecond = 15000;
    /// Share of the budget that the stretched exchanges aim at together with all else.
    double target = 0.7;
    /// Share at which deferrable messages stop for the moment. What is left takes one large
    /// message more, and permits that come in a burst.
    double stop = 0.8;
    /// Share that the deferrable ones keep when permits alone fill the budget: a router
    /// without heartbeats would be taken for dead, which costs more than the bytes.
    double reserve = 0.1;
    /// Share from which permits and charges together make charges coarser.
    double chargeShare = 0.5;
    double largestChargeStretch = 8;
};

/// Counts every byte sent between routers by kind, and says how far the exchanges that can
/// wait must stretch their interval to stay inside the budget.
///
/// Load it answers: many customers served at once (large ledger deltas), many changes of
/// configuration, many permits. Without it the exchanges would pass the budget just when the
/// fleet is busiest, and take processor time from requests. The window is two seconds: long
/// enough to hold four heartbeats, short enough that a stretch ends soon after its cause. A
/// sender obeys if it sends when lastSent + interval x stretch(now) has passed, and records at
/// once what it sent.
class TrafficMeter
{
public:
    /// Fails with InvalidTrafficBudget.
    static Base::Result<TrafficMeter> create(const TrafficBudget &budget);

    /// \a now must not go back.
    void record(TrafficKind kind, std::size_t bytes, Base::TimePoint now);
    std::uint64_t total(TrafficKind kind) const;
    /// At least 1; the factor by which deferrable intervals are multiplied.
    double stretch(Base::TimePoint now) const;
    /// At least 1; the factor by which the service charged in one message is multiplied.
    double chargeStretch(Base::TimePoint now) const;
    /// Bytes a second over the window.
    double rate(Base::TimePoint now) const;

    static constexpr Base::Duration window = std::chrono::seconds(2);

private:
    static constexpr Base::Duration bucketLength = std::chrono::milliseconds(100);
    /// One more than the window holds, so that no exact window has more bytes than are counted.
    static constexpr std::size_t buckets = window / bucketLength + 1;

    struct Bucket
    {
        std::int64_t number = -1;
        double fixed = 0;
        double deferrable = 0;
        /// The deferrable bytes that would have been sent without a stretch.
        double wanted = 0;
    };

    explicit TrafficMeter(const TrafficBudget &budget);
    static std::int64_t numberOf(Base::TimePoint now);
    Bucket sum(Base::TimePoint now) const;
    double fittingStretch(const Bucket &sum) const;
    double windowBytes() const;

    TrafficBudget m_budget;
    std::array<std::uint64_t, trafficKindCount> m_totals{};
    std::array<Bucket, buckets> m_buckets{};
};

} // namespace Coordination
