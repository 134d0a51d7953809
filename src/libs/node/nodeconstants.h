#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <cstdint>

namespace Node {

inline constexpr const char *modelPoolPrefix = "model/";
inline constexpr const char *servicePoolPrefix = "service/";
/// Not a pool of servers: its home is the router that deletes old claims.
inline constexpr const char *claimSweepPool = "claims/sweep";

/// A generated token costs an engine about this many prompt tokens: a prompt is computed in
/// large batches, generation a token at a time.
inline constexpr std::uint64_t generatedTokenWeight = 4;
/// Generated tokens assumed of work whose caller gave no limit, or a larger one.
inline constexpr std::uint64_t maxAssumedGeneratedTokens = 256;

inline constexpr Base::Milliseconds notReadyRetryAfter{1000};
inline constexpr Base::Milliseconds keyInProgressRetryAfter{1000};
inline constexpr Base::Milliseconds claimRetryAfter{2000};
inline constexpr Base::Milliseconds backendRetryAfter{1000};

/// A backend server that says nothing for this long has failed the request. Far above the wait
/// in a server's own queue, which permits keep short.
inline constexpr Base::Duration backendIdleTimeout = std::chrono::seconds(20);
/// How long a leaving process waits for the table to take the ends of its claims.
inline constexpr Base::Duration claimSettleTimeout = std::chrono::seconds(10);
/// How often time-driven state of homes (deadlines, limiters) is looked at.
inline constexpr Base::Duration homeAdvanceInterval = std::chrono::milliseconds(50);
/// How often open requests are looked through for deadlines and silence.
inline constexpr Base::Duration openRequestCheckInterval = std::chrono::milliseconds(100);

/// HTTP status of a model server that does not have the stream to be resumed.
inline constexpr int streamUnknownStatus = 404;

/// Customers in one ledger delta, those with the largest unsent charge first: about 2 KB, so
/// that a delta to five receivers fits into what the traffic budget leaves for one burst.
inline constexpr std::size_t ledgerEntriesPerDelta = 100;
/// Largest number of configuration changes in one message to a peer.
inline constexpr std::size_t changesPerPush = 200;

} // namespace Node
