#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "claims/claimrow.h"
#include "storage/tableservice.h"

#include <cstdint>
#include <string>

namespace Claims {

/// The purpose of a claim's next write.
enum class ClaimGoal { Acquire, Renew, Complete, Release };

/// The table call that a claim waits for.
enum class ClaimStep {
    Idle,
    Writing,
    Reading,
    Pausing, ///< The claim continues when its timer is due.
};

/// A claim that this process is making, holds, or has yet to complete or release in the table
/// after the request has ended.
struct OpenClaim
{
    Base::CustomerId customer;
    std::string key;
    /// The row as this process last wrote it or is about to write it.
    ClaimRow row;
    /// Row version that the next write expects.
    Storage::RowVersion expected = Storage::absentRow;
    ClaimGoal goal = ClaimGoal::Acquire;
    /// Goal of the write in flight.
    ClaimGoal writingGoal = ClaimGoal::Acquire;
    ClaimStep step = ClaimStep::Idle;
    /// Whether the row is read, rather than written, after the pause.
    bool isReadDue = false;
    /// Whether a write of this process has created the row or, with its answer unknown, may have
    /// created it or may still create it.
    bool mayBeWritten = false;
    /// Whether the table has confirmed that this process owns the row. The work may have been
    /// sent since.
    bool isOwned = false;
    /// Whether an owned row now belongs to another process or was deleted after its retention.
    bool isLost = false;
    /// Number of attempts since the last success.
    std::uint32_t attempts = 0;

    /// Start of the claim by the monotonic and by the calendar clock. wallAt() converts between
    /// the two.
    Base::TimePoint startedAt;
    Base::WallTime startedAtWall;
    /// Start of the write that the lease is counted from.
    Base::TimePoint writtenAt;
    /// End of the lease by this process's own clock, counted from before the write was sent.
    Base::TimePoint leaseEnd;
    /// When the claim's timer is due. Setting it again replaces the earlier time.
    Base::TimePoint timerAt;

    /// Returns the calendar time at \a now.
    Base::WallTime wallAt(Base::TimePoint now) const
    {
        return startedAtWall
               + std::chrono::duration_cast<Base::WallTime::duration>(now - startedAt);
    }
};

} // namespace Claims
