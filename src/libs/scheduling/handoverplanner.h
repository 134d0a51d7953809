#pragma once

#include "scheduling/shardsummary.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace Scheduling {

struct HandoverPolicy
{
    /// Work handed over this long before a summary arrived may not be in it yet: a few times
    /// the way between two homes and the step that made the summary.
    Base::Duration flightTime = std::chrono::milliseconds(20);
};

/// So many of the work next in order go to another shard of the pool.
struct Handover
{
    std::uint32_t shard = 0;
    std::size_t count = 0;

    bool operator==(const Handover &) const = default;
};

/// Decides how much waiting work a crowded home hands to which idle home.
///
/// Load pattern: customers spread unevenly, so that one shard of a pool has work waiting while
/// another has permits free. Without this, capacity idles until new requests happen to go
/// there. All homes see the same summaries, so each computes the same division of the idle
/// shards' permits among the crowded ones, in proportion to what waits, and hands over its own
/// part: together they hand no more than what is free, and no free permit is left out. A
/// shard with work of its own waiting is given none, so work is not handed back and forth; and
/// what was handed and cannot be in the summary yet is taken off.
class HandoverPlanner
{
public:
    explicit HandoverPlanner(const HandoverPolicy &policy = {});

    /// What the home of \a self hands over now. \a summaries holds every shard of the pool,
    /// that of \a self as it is now.
    std::vector<Handover> plan(std::uint32_t self, const std::vector<ShardSummary> &summaries,
                               Base::TimePoint now);

private:
    struct Handed
    {
        Base::TimePoint at;
        std::size_t count = 0;
    };

    std::size_t handedSince(const ShardSummary &summary);

    HandoverPolicy m_policy;
    std::map<std::uint32_t, std::vector<Handed>> m_handed;
};

} // namespace Scheduling
