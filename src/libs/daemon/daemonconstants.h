#pragma once

#include "base/time.h"

#include <cstddef>

namespace Daemon {

/// Events that may wait for the core's thread. All but answer parts are small. A core that is this
/// far behind makes its producers wait, which puts back pressure on the sockets.
inline constexpr std::size_t eventRingCapacity = 4096;

/// Connections beyond the limit, reserved for answers that refuse further callers.
inline constexpr std::size_t reservedConnections = 64;
/// Stack of a connection's thread in bytes; 1,000 streams must fit on a small host.
inline constexpr std::size_t connectionStackBytes = 131072;
/// One part in so many of the process's memory is for callers' requests.
inline constexpr std::size_t callerMemoryPart = 3;
/// One part in so many of the process's file descriptors is for its own connections.
inline constexpr std::size_t ownDescriptorPart = 4;
/// Copies of a body that exist while its request is handled: the HTTP library's, the one that is
/// parsed, the parsed one, and the one that is sent to a backend server.
inline constexpr std::size_t bodyCopies = 4;
/// The Retry-After of callers for whose requests there is no memory.
inline constexpr Base::Milliseconds memoryRetryAfter{1000};
/// Pieces of a body beyond its limit, of some kilobytes each, that are read before the connection
/// is closed. A caller that sends little more than the limit is answered.
inline constexpr int maxExcessPieces = 64;
/// A connection that neither sends nor has a request in progress is closed after this time, so that
/// a slow sender cannot hold a connection forever.
inline constexpr std::chrono::seconds idleConnectionTimeout{30};
/// Size in bytes of the largest piece of a streamed answer.
inline constexpr std::size_t maxStreamBlockBytes = 4096;
/// The Retry-After of callers that are refused because too many are connected.
inline constexpr Base::Milliseconds connectionLimitRetryAfter{1000};
/// Retry-After of a host that has shut down but for its open requests: other hosts take the work at
/// once.
inline constexpr Base::Milliseconds shutdownRetryAfter{50};
/// Longest header value that is accepted from a caller, in bytes.
inline constexpr std::size_t maxHeaderValueBytes = 512;
/// Bytes at the start of a prompt that its prefix hash is computed from.
inline constexpr std::size_t promptPrefixBytes = 1024;
/// Approximate bytes of text per token, for estimates.
inline constexpr std::size_t bytesPerToken = 4;

/// Time limit for connecting to a backend server or the platform.
inline constexpr Base::Milliseconds connectTimeout{1000};
/// A backend server that sends nothing for this time counts as failed.
inline constexpr Base::Milliseconds backendIdleTimeout{60000};
inline constexpr Base::Milliseconds loadPollTimeout{1000};
inline constexpr Base::Milliseconds cancelTimeout{2000};
inline constexpr Base::Milliseconds platformTimeout{2000};
inline constexpr Base::Milliseconds hostListInterval{1000};
/// Connections to the platform's service at the same time; further calls wait for one.
inline constexpr std::size_t platformConnections = 32;
/// Longest time between two checks of the deadlines of transfers.
inline constexpr Base::Milliseconds transferLoopInterval{100};
/// Largest answer, in bytes, of which one completion is made for a caller who wants no stream.
inline constexpr std::size_t maxCompletionBytes = 16777216;
/// Most bytes of all heads of an answer and of its trailers.
inline constexpr std::size_t maxAnswerHeadBytes = 65536;
/// Most bytes of a body without use, such as that of an error, that are read to keep its
/// connection.
inline constexpr std::size_t maxUnusedBodyBytes = 65536;
/// Largest event of a model's stream in bytes; a server that sends a larger one counts as failed.
inline constexpr std::size_t maxSseEventBytes = 1048576;
/// Largest answer of the platform that is read, in bytes.
inline constexpr std::size_t maxPlatformAnswerBytes = 16777216;

inline constexpr Base::Milliseconds peerCallTimeout{1000};
/// Messages that may wait for one peer. At 24 servers per shard this is some seconds of work.
inline constexpr std::size_t peerQueueCapacity = 4096;
/// Messages in one call; this keeps a batch well below gRPC's limit of 4 MiB.
inline constexpr std::size_t maxMessagesPerBatch = 512;
/// Bytes of HTTP/2 and gRPC framing of one call and its answer: two HEADERS frames and the
/// trailers, indexed after the first call (about 60 bytes), two DATA frames with prefixes (28),
/// window updates and acknowledgements (about 40).
inline constexpr std::size_t batchFramingBytes = 128;

/// Time for which this host still serves after callers' entry lists have expired.
inline constexpr std::chrono::seconds shutdownMargin{5};

} // namespace Daemon
