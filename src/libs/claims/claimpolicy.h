#pragma once

#include "base/time.h"
#include "claims/rowwriter.h"

#include <cstddef>
#include <cstdint>

namespace Claims {

/// The result of a claim for the request that made it.
enum class ClaimVerdict {
    Claimed,           ///< This request owns the key, and its work may be sent.
    Completed,         ///< The work ran before; its stored answer is returned.
    CompletedUnstored, ///< The work ran before; its answer is too large or not UTF-8.
    InProgress,        ///< Another request owns the key, and its work may be running.
    Conflict,          ///< The key was used for different content.
    Indeterminate,     ///< The work may have run, but its owner is gone: "ran: unknown".
    Unavailable,       ///< The claim could not be made; this request ran nothing.
};

/// Time and size limits of claims. docs/design/claims.md derives the defaults.
struct ClaimPolicy
{
    /// Time for which a claim stays valid without a renewal.
    Base::Duration lease = std::chrono::seconds(60);
    /// Time for which a claim is kept after its last write. The guarantee that work runs at most
    /// once ends with it.
    std::chrono::hours retention{24};
    /// Time for which the row of a released claim is kept. It exceeds the time that any write can
    /// be in flight, so that a late write of the released claim finds a row and fails.
    std::chrono::minutes releasedRetention{10};
    /// Largest difference between the calendar clocks of two hosts.
    Base::Duration clockSkew = std::chrono::seconds(5);
    /// Size limit of a stored answer in bytes. Larger answers are not stored.
    std::size_t largestAnswer = std::size_t{16} * 1024;
    /// Maximum number of further calls, writes or reads, that try to make a claim after its first
    /// write.
    std::uint32_t largestAttempts = 4;
    /// Every claim gets its verdict within this time.
    Base::Duration decisionTimeout = std::chrono::seconds(5);
    /// Pause before a failed call is repeated. It doubles with each failure up to longestPause.
    Base::Duration firstPause = std::chrono::milliseconds(100);
    Base::Duration longestPause = std::chrono::seconds(30);
    /// Maximum number of claims whose request has ended but whose final row is not written yet.
    /// At this number new claims are Unavailable.
    std::size_t largestUnsettled = 1000;
    /// Maximum number of claims of one customer that wait for their verdict. Further ones are
    /// Unavailable at once, so that a flood by one customer sheds only that customer's work.
    std::size_t largestUndecided = 64;
    /// Maximum number of reads in flight.
    std::size_t largestReads = 4;
    /// Time after a customer's claim finds its key taken during which the rows of this customer's
    /// claims are read before they are written.
    Base::Duration readFirstPeriod = std::chrono::seconds(60);
    RowWriterPolicy writer;
};

} // namespace Claims
