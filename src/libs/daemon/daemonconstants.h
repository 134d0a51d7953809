#pragma once

#include "base/time.h"

#include <cstddef>

namespace Daemon {

/// Events that may wait for the core. Each is small but for answer parts; a core that is this
/// far behind makes its producers wait, which is back pressure up to the sockets.
inline constexpr std::size_t eventRingCapacity = 4096;

/// Connections above the limit that are kept free, so that a caller past it can be told so.
inline constexpr std::size_t reservedConnections = 64;
/// Stack of a connection's thread; 1,000 streams must fit a small host.
inline constexpr std::size_t connectionStackBytes = 131072;
/// A connection that neither sends nor has a request in work is closed after this time: a
/// slow sender must not hold a connection for ever.
inline constexpr std::chrono::seconds idleConnectionTimeout{30};
/// Largest pieces that an answer is sent in.
inline constexpr std::size_t maxStreamBlockBytes = 4096;
/// Told to callers that are refused because too many are connected.
inline constexpr Base::Milliseconds connectionLimitRetryAfter{1000};
/// Longest header value of a caller that is passed on, in bytes.
inline constexpr std::size_t maxHeaderValueBytes = 512;
/// Bytes of a prompt that its prefix hash is made from.
inline constexpr std::size_t promptPrefixBytes = 1024;
/// Rough bytes of text in a token.
inline constexpr std::size_t bytesPerToken = 4;

inline constexpr Base::Milliseconds connectTimeout{1000};
/// A backend server that sends nothing for so long has failed.
inline constexpr Base::Milliseconds backendIdleTimeout{60000};
inline constexpr Base::Milliseconds loadPollTimeout{1000};
inline constexpr Base::Milliseconds cancelTimeout{2000};
inline constexpr Base::Milliseconds platformTimeout{2000};
inline constexpr Base::Milliseconds hostListInterval{1000};
/// Connections to the platform's service at a time; further calls wait for one.
inline constexpr std::size_t platformConnections = 32;
/// Longest time between two looks at the deadlines of transfers.
inline constexpr Base::Milliseconds transferLoopInterval{100};
/// Largest event of a model's stream; a longer one is taken for a broken server.
inline constexpr std::size_t maxSseEventBytes = 1048576;
/// Largest answer of the platform that is read.
inline constexpr std::size_t maxPlatformAnswerBytes = 16777216;

inline constexpr Base::Milliseconds peerCallTimeout{1000};
/// Messages that may wait for one peer. At 24 servers to a shard this is some seconds of work.
inline constexpr std::size_t peerQueueCapacity = 4096;
/// Messages in one call; keeps a batch well under gRPC's limit of 4 MiB.
inline constexpr std::size_t maxMessagesPerBatch = 512;
/// HTTP/2 and gRPC framing of one call and its answer: two HEADERS frames and the trailers,
/// indexed after the first call (about 60 bytes), two DATA frames with prefixes (28), window
/// updates and acknowledgements (about 40).
inline constexpr std::size_t batchFramingBytes = 128;

/// Served for this long after callers' entry lists have expired.
inline constexpr std::chrono::seconds shutdownMargin{5};

} // namespace Daemon
