#pragma once

#include "base/ids.h"
#include "base/result.h"
#include "node/peermessage.h"

#include "peer.pb.h"

#include <cstddef>
#include <string>
#include <vector>

namespace Wire {

/// Reasons to reject a batch from another router.
enum class BatchFault {
    NotProtobuf,       ///< The bytes are not a batch.
    MissingSender,     ///< The batch names no sender.
    EmptyMessage,      ///< A message has no content or is of an unknown kind.
    MissingAttempt,    ///< A message lacks its attempt.
    UnknownEnumerator, ///< A reason or an outcome is out of range.
    DurationTooLong,   ///< A duration exceeds largestDuration, or an age largestFoldedAge.
    MalformedChange,   ///< A change cannot be parsed, or a snapshot holds a removal.
};

/// Error of decodeBatch().
struct MalformedBatch
{
    BatchFault fault = BatchFault::NotProtobuf;
};

/// The sender and the receiver of a batch. Attempts and counters that belong to one of them leave
/// its name out.
struct BatchEndpoints
{
    Base::HostId sender;
    Base::Incarnation senderIncarnation = 0;
    Base::HostId receiver;
};

/// A decoded batch: the messages of one router for another, in order.
struct PeerBatch
{
    Base::HostId sender;
    Base::Incarnation incarnation = 0;
    std::vector<Node::PeerMessage> messages;
};

/// Appends \a message to \a batch and returns the bytes that it adds to the batch. All messages of
/// a batch must be appended with the same \a endpoints.
std::size_t appendMessage(lagoonmast::wire::Batch &batch, const BatchEndpoints &endpoints,
                          const Node::PeerMessage &message);

/// Clears \a batch and sets its sender from \a endpoints.
void startBatch(lagoonmast::wire::Batch &batch, const BatchEndpoints &endpoints);

/// Decodes a batch that arrived at \a receiver. Fails with MalformedBatch; \a batch may hold
/// arbitrary content.
Base::Result<PeerBatch> decodeBatch(const lagoonmast::wire::Batch &batch,
                                    const Base::HostId &receiver);
/// Parses and decodes a serialized batch. Fails with MalformedBatch; \a bytes may be arbitrary.
Base::Result<PeerBatch> decodeBatch(const std::string &bytes, const Base::HostId &receiver);

} // namespace Wire
