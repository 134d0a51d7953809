#pragma once

#include "base/ids.h"
#include "base/result.h"
#include "base/time.h"

#include <cstdint>
#include <string>

namespace Claims {

/// What a caller marked as not repeatable: its customer, its key, the hash of its content.
struct ClaimSubject
{
    Base::CustomerId customer;
    std::string key;
    std::uint64_t contentHash = 0;
};

enum class ClaimState {
    Claimed,   ///< Its owner may send the work, or has sent it.
    Completed, ///< The work ran to its end.
    Released,  ///< Its owner says that it never sent the work and never will: free to claim.
};

/// The row of one key in the platform's table. Only the owner of a Claimed row writes it.
struct ClaimRow
{
    ClaimState state = ClaimState::Claimed;
    /// Minted by the claimer before its first write; tells its own row from all others.
    std::string token;
    Base::HostId owner;
    Base::Incarnation incarnation = 0;
    std::uint64_t contentHash = 0;
    /// Grows with each owner of the key.
    std::uint64_t fence = 0;
    /// Until then the owner is taken for alive.
    Base::WallTime leaseUntil{};
    /// Until then the row is kept.
    Base::WallTime retainUntil{};
    /// False if the answer was too large, or is no UTF-8 text.
    bool isAnswerKept = false;
    std::string answer;

    bool operator==(const ClaimRow &) const = default;
};

/// A row that no version of this code wrote.
struct MalformedClaimRow
{};

inline constexpr const char *claimPrefix = "claim/";

/// Two subjects have one row key only if customer and key are the same.
std::string claimKey(const ClaimSubject &subject);
std::string encodeClaim(const ClaimRow &row);
/// Fails with MalformedClaimRow; any bytes are safe.
Base::Result<ClaimRow> decodeClaim(const std::string &text);

} // namespace Claims
