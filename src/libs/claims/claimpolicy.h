#pragma once

#include "base/time.h"
#include "claims/rowwriter.h"

#include <cstddef>
#include <cstdint>

namespace Claims {

enum class ClaimVerdict {
    Claimed,           ///< This request owns the key and may be sent.
    Completed,         ///< It ran before; the stored answer is given.
    CompletedUnstored, ///< It ran before; its answer was too large to be kept.
    InProgress,        ///< Another request owns the key and may be running.
    Conflict,          ///< The key was used for other content.
    Undecidable,       ///< It may have run; its owner is gone. "ran: unknown".
    Unavailable,       ///< The table gave no claim; nothing ran through this request.
};

/// docs/design/claims.md gives the reasons.
struct ClaimPolicy
{
    /// How long a claim is taken for alive without a renewal.
    Base::Duration lease = std::chrono::seconds(60);
    /// How long a claim is remembered after its last write. The promise of at most once ends
    /// with it.
    std::chrono::hours retention{24};
    /// How long the row of a released key outlives it. Longer than any write can be under way,
    /// so that a late write of the released claim meets a row and fails.
    std::chrono::minutes releasedRetention{10};
    /// By how much the calendar clocks of two hosts may differ.
    Base::Duration clockSkew = std::chrono::seconds(5);
    /// Longer answers are not kept, in bytes.
    std::size_t largestAnswer = std::size_t{16} * 1024;
    /// Attempts at making a claim, each a write or a read, after the first write.
    std::uint32_t largestAttempts = 4;
    /// A claim is decided within this time.
    Base::Duration decisionTimeout = std::chrono::seconds(5);
    /// Pause before a failed call is made again; doubles up to the longest.
    Base::Duration firstPause = std::chrono::milliseconds(100);
    Base::Duration longestPause = std::chrono::seconds(30);
    /// Claims that wait to be brought to their end in the table; with more, none is begun.
    std::size_t largestUnsettled = 1000;
    /// Claims of one customer that wait for their verdict; more are Unavailable at once, so that
    /// a flood by one customer turns away its own work.
    std::size_t largestUndecided = 64;
    /// Reads under way.
    std::size_t largestReads = 4;
    /// How long after a taken key a customer's claims are read before they are written.
    Base::Duration readFirstPeriod = std::chrono::seconds(60);
    RowWriterPolicy writer;
};

} // namespace Claims
