#pragma once

#include "base/random.h"
#include "scheduling/shardsummary.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace Scheduling {

/// Thresholds of the selection of a shard. docs/design/placement.md derives them.
struct ShardSelectorPolicy
{
    /// Difference in predicted wait from which on the shard with the shorter wait is always
    /// selected. Its advantage is proportionally smaller for smaller differences. The default is
    /// two heartbeat intervals: in one interval all entry hosts together then move about half of
    /// the difference and do not overshoot.
    Base::Duration damping = std::chrono::seconds(2);
    /// Drain rate assumed for a shard whose rate is unknown, as a fraction of the largest known.
    double unknownRateFactor = 0.25;
};

/// Selects the shard of a pool that an entry host, the host that took the caller's request, asks
/// for a permit.
///
/// Shards differ in size and backlog, and all entry hosts see the same summaries of them, which are
/// up to a second old. If each entry host selected the shard that looks best, all would select the
/// same one until the next heartbeat, and the load would oscillate between shards with every
/// exchange of heartbeats.
///
/// The selector therefore draws two shards at random, weighted by drain rate; this alone gives each
/// shard a load in proportion to its size. Of the two it prefers the one with the shorter predicted
/// wait, the more so the larger the difference (see ShardSelectorPolicy::damping). Work that this
/// entry host sent to a shard since its last summary counts as waiting there.
class ShardSelector
{
public:
    explicit ShardSelector(const ShardSelectorPolicy &policy = {});

    /// Returns the shard to ask. \a summaries must not be empty.
    std::uint32_t choose(const std::vector<ShardSummary> &summaries, Base::RandomSource &random);

private:
    /// Number of requests sent to a shard since its summary arrived.
    struct SentWork
    {
        Base::TimePoint summaryAt;
        std::size_t count = 0;
    };

    std::vector<double> effectiveRates(const std::vector<ShardSummary> &summaries) const;
    double predictedWait(const ShardSummary &summary, double rate) const;

    ShardSelectorPolicy m_policy;
    std::map<std::uint32_t, SentWork> m_sent;
};

} // namespace Scheduling
