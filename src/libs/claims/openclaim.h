#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "claims/claimrow.h"
#include "storage/tableservice.h"

#include <cstdint>
#include <string>

namespace Claims {

/// What a claim's next write is for.
enum class ClaimGoal { Acquire, Renew, Complete, Release };

enum class ClaimStep {
    Idle,
    Writing,
    Reading,
    Pausing, ///< Goes on when its timer is due.
};

/// A claim that this process has a hand in: being made, held, or being brought to its end in
/// the table after its request is gone.
struct OpenClaim
{
    Base::CustomerId customer;
    std::string key;
    /// As this process wrote it last, or will write it.
    ClaimRow row;
    /// Version that the next write demands.
    Storage::RowVersion expected = Storage::absentRow;
    ClaimGoal goal = ClaimGoal::Acquire;
    /// Goal of the write under way.
    ClaimGoal writingGoal = ClaimGoal::Acquire;
    ClaimStep step = ClaimStep::Idle;
    /// After the pause the row is read before it is written.
    bool isReadDue = false;
    /// A write whose answer is not known may have made, or may yet make, the row.
    bool mayBeWritten = false;
    /// The row was seen to be this process's own; the work may have left since.
    bool isOwned = false;
    /// Owned, but the row is another's now or gone (swept away after its retention).
    bool isLost = false;
    /// Attempts since the last success.
    std::uint32_t attempts = 0;

    Base::TimePoint startedAt;
    Base::WallTime startedAtWall;
    /// Begin of the write whose lease counts.
    Base::TimePoint writtenAt;
    /// By this process's own clock, counted from before the write left.
    Base::TimePoint leaseEnd;
    /// When advance() looks at it; only the latest one set counts.
    Base::TimePoint timerAt;

    Base::WallTime wallAt(Base::TimePoint now) const
    {
        return startedAtWall
               + std::chrono::duration_cast<Base::WallTime::duration>(now - startedAt);
    }
};

} // namespace Claims
