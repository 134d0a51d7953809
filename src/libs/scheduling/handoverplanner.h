#pragma once

#include "scheduling/shardsummary.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace Scheduling {

struct HandoverPolicy
{
    /// Work handed over this long before a summary arrived may not be in it yet: a few times
    /// the way between two homes and the step that made the summary.
    Base::Duration flightTime = std::chrono::milliseconds(20);
    /// An ask that was not answered in this time is taken for lost.
    Base::Duration answerWithin = std::chrono::milliseconds(100);
    /// An idle home asks for work to fill its free permits and to last this long beyond, so
    /// that it asks some ten times a second and not with each permit that frees.
    Base::Duration askAhead = std::chrono::milliseconds(50);
    /// A home that had nothing to give remembers who asked for so long and hands over what it
    /// gets in this time; so it is not asked again before. Half a heartbeat interval: longer,
    /// and the asker's free permits are likely taken by then.
    Base::Duration askLifetime = std::chrono::milliseconds(500);
    /// A shard whose summary shows fewer free permits than it gives back in this time may be
    /// crowded by now, and is asked although no work waited there. A tenth of the heartbeat
    /// interval: a quiet pool is far from it, and its homes do not ask.
    Base::Duration nearlyFull = std::chrono::milliseconds(100);
};

/// So many of the work next in order go to another shard of the pool.
struct Handover
{
    std::uint32_t shard = 0;
    std::size_t count = 0;

    bool operator==(const Handover &) const = default;
};

/// Decides how waiting work moves from crowded homes to idle ones.
///
/// Load pattern: customers spread unevenly, so that one shard of a pool has work waiting while
/// another has permits free. Without this, capacity idles until new requests happen to go
/// there.
///
/// A home that runs idle asks: ask() names the home whose last summary shows the most waiting,
/// or else one that was nearly full, one ask at a time. A summary is older than most idle
/// times: with answers of half a second, homes that asked only where the summary showed work
/// left nine tenths of such idle time unused. It is the idle home that knows of its free
/// permits, so nothing handed rests on a stale number. A home that was asked and had nothing
/// remembers it: answer() and planForPendingAsks() hand over as soon as work waits there.
///
/// A home that becomes crowded need not wait for that: plan() says what it hands to homes whose
/// last summary showed free permits. All homes see the same summaries, so each computes the
/// same division of those permits among the crowded homes, in proportion to what waits, and
/// hands over its own part: together they hand no more than was free. A shard with work of its
/// own waiting is given none, so work is not handed back and forth; and what was handed and
/// cannot be in the summary yet is taken off.
class HandoverPlanner
{
public:
    explicit HandoverPlanner(const HandoverPolicy &policy = {});

    /// What the home of \a self hands over now. \a summaries holds every shard of the pool,
    /// that of \a self as it is now.
    std::vector<Handover> plan(std::uint32_t self, const std::vector<ShardSummary> &summaries,
                               Base::TimePoint now);

    /// Whom the home of \a self asks for work, and for how much; empty while an ask is open or
    /// when no shard is known to have work waiting. To be called with no work waiting here and
    /// \a freePermits above 0; \a drainRate is that of this shard.
    std::optional<Handover> ask(std::uint32_t self, std::size_t freePermits, double drainRate,
                                const std::vector<ShardSummary> &summaries, Base::TimePoint now);
    /// \a shard answered the ask with \a count of its work.
    void recordAnswer(std::uint32_t shard, std::size_t count, Base::TimePoint now);
    /// How much of \a waiting work to hand to \a asker, which asked for \a asked.
    std::size_t answer(std::uint32_t asker, std::size_t asked, std::size_t waiting,
                       Base::TimePoint now);
    /// What to hand to earlier askers now that \a waiting work waits and no permit is free.
    std::vector<Handover> planForPendingAsks(std::size_t waiting, Base::TimePoint now);

private:
    struct Handed
    {
        Base::TimePoint at;
        std::size_t count = 0;
    };

    /// What was taken from a shard since its summary.
    struct Taken
    {
        Base::TimePoint summaryAt;
        std::size_t count = 0;
        /// Not to be asked before.
        Base::TimePoint askAfter{};
    };

    std::size_t handedSince(const ShardSummary &summary);
    double expectedAt(const ShardSummary &summary, Base::TimePoint now);

    HandoverPolicy m_policy;
    std::map<std::uint32_t, std::vector<Handed>> m_handed;
    std::map<std::uint32_t, Taken> m_taken;
    /// Asks that this home could not meet, by asker.
    std::map<std::uint32_t, Handed> m_askers;
    std::optional<Base::TimePoint> m_askedAt;
};

} // namespace Scheduling
