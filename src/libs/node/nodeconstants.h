#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <cstddef>
#include <cstdint>

namespace Node {

/// The name of a pool is one of these prefixes followed by the name of the model or service.
inline constexpr const char *modelPoolPrefix = "model/";
inline constexpr const char *servicePoolPrefix = "service/";
/// A reserved pool name without servers. The home of this pool is the router that deletes old
/// claims.
inline constexpr const char *claimSweepPool = "claims/sweep";

/// Approximate cost of a generated token in prompt tokens. An engine computes a prompt in large
/// batches but generates one token at a time.
inline constexpr std::uint64_t generatedTokenWeight = 4;
/// Number of generated tokens assumed for work whose caller set no limit or a larger one.
inline constexpr std::uint64_t maxAssumedGeneratedTokens = 256;

/// Retry delays that are sent to callers, by the kind of failure.
inline constexpr Base::Milliseconds notReadyRetryAfter{1000};
inline constexpr Base::Milliseconds keyInProgressRetryAfter{1000};
inline constexpr Base::Milliseconds claimRetryAfter{2000};
inline constexpr Base::Milliseconds backendRetryAfter{1000};

/// Largest answer, in bytes, that is kept for a repeated call. The platform's client reads no
/// larger one back.
inline constexpr std::size_t maxStoredAnswerBytes = 16777216;
/// An attempt fails if the backend server sends nothing for this long. The value is far above the
/// time in the queue of a backend server, which the permit limits keep short.
inline constexpr Base::Duration backendIdleTimeout = std::chrono::seconds(20);
/// How long a process that shuts down waits for the ends of its claims to be written to the
/// table.
inline constexpr Base::Duration claimSettleTimeout = std::chrono::seconds(10);
/// Interval at which homes update their time-driven state: deadlines, concurrency limits, permit
/// queries.
inline constexpr Base::Duration homeAdvanceInterval = std::chrono::milliseconds(50);
/// Interval at which open requests are checked for passed deadlines, idle backend servers and due
/// retries.
inline constexpr Base::Duration openRequestCheckInterval = std::chrono::milliseconds(100);

/// HTTP status with which a model server reports that it does not know the stream to resume.
inline constexpr int streamUnknownStatus = 404;

/// Maximum number of customers in one ledger delta; those with the largest unsent charge come
/// first. A full delta has about 2 KB, so that sending it to five receivers fits into the part of
/// the traffic budget that is free for one burst.
inline constexpr std::size_t ledgerEntriesPerDelta = 100;
/// Maximum number of configuration changes in one message to another router.
inline constexpr std::size_t changesPerPush = 200;

} // namespace Node
