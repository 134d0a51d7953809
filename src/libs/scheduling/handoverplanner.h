#pragma once

#include "scheduling/shardsummary.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace Scheduling {

/// Thresholds of the handover of waiting work between the shards of a pool.
struct HandoverPolicy
{
    /// A summary may not include work that was handed over up to this long before the summary
    /// arrived. The default is a few times the time that a message takes between two homes and
    /// the time to make the summary.
    Base::Duration inFlightTime = std::chrono::milliseconds(20);
    /// An ask without an answer within this time counts as lost.
    Base::Duration answerTimeout = std::chrono::milliseconds(100);
    /// An idle home asks for enough work to use its free permits and the permits that are
    /// returned in this time, so that it asks about ten times a second and not whenever a permit
    /// is returned.
    Base::Duration askLookahead = std::chrono::milliseconds(50);
    /// A home without waiting work remembers an ask for this long and hands over work that
    /// arrives in this time, so the asker does not ask it again before. The default is half a
    /// heartbeat interval; after a longer time the asker's free permits are likely in use.
    Base::Duration askLifetime = std::chrono::milliseconds(500);
    /// A shard whose summary shows fewer free permits than are returned there in this time may
    /// have a backlog by now and is asked even if no work was waiting there. The default is a
    /// tenth of the heartbeat interval; the shards of a lightly loaded pool have far more free
    /// permits, so its homes do not ask.
    Base::Duration nearlyFullTime = std::chrono::milliseconds(100);
};

/// Moves the next \a count items in queue order to another shard of the pool.
struct Handover
{
    std::uint32_t shard = 0;
    std::size_t count = 0;

    bool operator==(const Handover &) const = default;
};

/// Decides how waiting work moves from homes with a backlog to idle homes. The home of a pool shard
/// is the router that queues the shard's work and grants its permits.
///
/// Customers are spread unevenly, so one shard of a pool may have waiting work while another has
/// free permits. Without handover that capacity would stay idle until new requests happen to be
/// sent there.
///
/// Pull: an idle home asks for work, with one ask open at a time. ask() selects the shard whose
/// last summary shows the most waiting work, or else one that was nearly full. Nearly full shards
/// are asked because most idle times are shorter than the age of a summary: with answers that take
/// half a second, asking only shards with waiting work leaves nine tenths of this idle time unused.
/// The idle home knows its own free permits, so the amount handed over does not depend on an
/// outdated number. A home that is asked while it has no waiting work remembers the ask: answer()
/// and planForPendingAsks() hand work over as soon as some waits there.
///
/// Push: a home with a backlog need not wait for an ask. plan() returns what it hands over to
/// shards whose last summary shows free permits. All homes see the same summaries, so each computes
/// the same division of those permits among the homes with a backlog, in proportion to their
/// waiting work, and hands over its own part; together they hand over no more than was free. A
/// shard with waiting work receives nothing, so work is not handed back and forth. Work that was
/// handed over and cannot be in the summary yet is subtracted.
class HandoverPlanner
{
public:
    explicit HandoverPlanner(const HandoverPolicy &policy = {});

    /// Returns what the home of shard \a self hands over now. \a summaries must hold every shard
    /// of the pool, with the current state of \a self.
    std::vector<Handover> plan(std::uint32_t self, const std::vector<ShardSummary> &summaries,
                               Base::TimePoint now);

    /// Returns the shard that the home of shard \a self asks for work, and for how much. Empty
    /// while an ask is open or if no shard is expected to have waiting work. Must only be called
    /// while no work waits here and \a freePermits is above 0. \a drainRate is that of this
    /// shard, in permits per second.
    std::optional<Handover> ask(std::uint32_t self, std::size_t freePermits, double drainRate,
                                const std::vector<ShardSummary> &summaries, Base::TimePoint now);
    /// Records that \a shard answered the open ask with \a count items of work.
    void recordAnswer(std::uint32_t shard, std::size_t count, Base::TimePoint now);
    /// Returns how many of the \a waiting items to hand over to shard \a asker, which asked for
    /// \a asked items.
    std::size_t answer(std::uint32_t asker, std::size_t asked, std::size_t waiting,
                       Base::TimePoint now);
    /// Returns what to hand over for pending asks. Must only be called while \a waiting items wait
    /// and no permit is free.
    std::vector<Handover> planForPendingAsks(std::size_t waiting, Base::TimePoint now);

private:
    struct TimedCount
    {
        Base::TimePoint at;
        std::size_t count = 0;
    };

    /// What this home received from a shard since the shard's last summary.
    struct ReceivedWork
    {
        Base::TimePoint summaryAt;
        std::size_t count = 0;
        /// The shard is not asked before this time.
        Base::TimePoint nextAskAt{};
    };

    std::size_t handedOverSince(const ShardSummary &summary);
    double expectedWaiting(const ShardSummary &summary, Base::TimePoint now);

    HandoverPolicy m_policy;
    /// Work handed over recently, by receiving shard.
    std::map<std::uint32_t, std::vector<TimedCount>> m_handedOver;
    std::map<std::uint32_t, ReceivedWork> m_received;
    /// Asks that this home could not answer with work yet, by asking shard.
    std::map<std::uint32_t, TimedCount> m_pendingAsks;
    std::optional<Base::TimePoint> m_openAskSince;
};

} // namespace Scheduling
