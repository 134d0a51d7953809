#pragma once

#include "base/random.h"
#include "scheduling/shardsummary.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace Scheduling {

/// Thresholds of the choice of a shard; docs/design/placement.md has the measurements.
struct ShardSelectorPolicy
{
    /// A difference in predicted wait of this much makes the shorter of two shards certain;
    /// smaller ones shift proportionally less. Two heartbeat intervals: in one interval all
    /// entries together then move about half of the difference, and do not overshoot.
    Base::Duration damping = std::chrono::seconds(2);
    /// Drain rate assumed of a shard that has none yet, as a part of the largest known.
    double unknownRatePart = 0.25;
};

/// Picks the shard of a pool that an entry asks for a permit.
///
/// Load pattern: shards of different size and backlog, seen through summaries that all entries
/// share and that are up to a second old. If each entry took the shard that looks best, all
/// would take the same until the next heartbeat, and the crowd would jump from shard to shard
/// with every exchange. So two shards are drawn by drain rate, which alone gives each its due
/// share, and the one with the shorter predicted wait is preferred only as far as the
/// difference is larger than what one exchange moves. What this entry sent since the summary
/// counts as waiting there.
class ShardSelector
{
public:
    explicit ShardSelector(const ShardSelectorPolicy &policy = {});

    /// The shard to ask. \a summaries must not be empty.
    std::uint32_t choose(const std::vector<ShardSummary> &summaries, Base::RandomSource &random);

private:
    struct Sent
    {
        Base::TimePoint summaryAt;
        std::size_t count = 0;
    };

    std::vector<double> weights(const std::vector<ShardSummary> &summaries) const;
    double predictedWait(const ShardSummary &summary, double rate) const;

    ShardSelectorPolicy m_policy;
    std::map<std::uint32_t, Sent> m_sent;
};

} // namespace Scheduling
