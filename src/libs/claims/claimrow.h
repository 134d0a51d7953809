#pragma once

#include "base/ids.h"
#include "base/result.h"
#include "base/time.h"

#include <cstdint>
#include <string>

namespace Claims {

/// A call that must not be repeated: its customer, its idempotency key and the hash of its
/// content.
struct ClaimSubject
{
    Base::CustomerId customer;
    std::string key;
    std::uint64_t contentHash = 0;
};

/// The state of a key in the table.
enum class ClaimState {
    Claimed,   ///< The owner may send the work, or has sent it.
    Completed, ///< The work has completed.
    Released,  ///< The owner never sent the work and never will; the key can be claimed.
};

/// The row of one key in the platform's table. Only its owner may write a Claimed row.
struct ClaimRow
{
    ClaimState state = ClaimState::Claimed;
    /// Unique token that the claimer generates before its first write. It identifies the
    /// claimer's own row.
    std::string token;
    Base::HostId owner;
    Base::Incarnation incarnation = 0;
    std::uint64_t contentHash = 0;
    /// Fencing number, which grows with each owner of the key.
    std::uint64_t fence = 0;
    /// End of the lease: until then the owner counts as alive.
    Base::WallTime leaseUntil{};
    /// End of the retention: the row may be deleted after it.
    Base::WallTime retainUntil{};
    /// Whether \a answer holds the answer. It is false if the answer was too large or is not
    /// valid UTF-8.
    bool isAnswerKept = false;
    std::string answer;

    bool operator==(const ClaimRow &) const = default;
};

/// Error of decodeClaim(): the text is not a valid claim row.
struct MalformedClaimRow
{};

/// Prefix of the table keys of all claim rows.
inline constexpr const char *claimPrefix = "claim/";

/// Returns the key of the row of \a subject. Two subjects share a row only if their customers
/// and their keys are equal.
std::string claimKey(const ClaimSubject &subject);
/// Returns \a row as JSON. An answer that is not valid UTF-8 is left out.
std::string encodeClaim(const ClaimRow &row);
/// Parses a row. Fails with MalformedClaimRow; \a text may hold arbitrary bytes.
Base::Result<ClaimRow> decodeClaim(const std::string &text);

} // namespace Claims
