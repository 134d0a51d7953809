#pragma once

#include "base/ids.h"
#include "base/result.h"
#include "node/peermessage.h"

#include "peer.pb.h"

#include <cstddef>
#include <string>
#include <vector>

namespace Wire {

/// Why a batch from another router cannot be taken.
enum class BatchFault {
    NotProtobuf,       ///< The bytes are not a batch.
    MissingSender,     ///< No sender is named.
    EmptyMessage,      ///< A message without content, or of a kind unknown here.
    MissingAttempt,    ///< A message that needs an attempt has none.
    UnknownEnumerator, ///< A reason or outcome out of range.
    DurationTooLong,   ///< A duration beyond largestDuration.
    MalformedChange,   ///< A configuration change whose text cannot be read.
};

/// Error of decodeBatch().
struct MalformedBatch
{
    BatchFault fault = BatchFault::NotProtobuf;
};

/// Both ends of a batch. Attempts and counters that belong to one of them leave its name out.
struct BatchEnds
{
    Base::HostId sender;
    Base::Incarnation senderIncarnation = 0;
    Base::HostId receiver;
};

/// Messages of one router for another, in order.
struct PeerBatch
{
    Base::HostId sender;
    Base::Incarnation incarnation = 0;
    std::vector<Node::PeerMessage> messages;
};

/// Puts \a message at the end of \a batch, which is filled for \a endpoints only, and returns the
/// bytes that it adds to the batch.
std::size_t appendMessage(lagoonmast::wire::Batch &batch, const BatchEnds &endpoints,
                          const Node::PeerMessage &message);

/// Starts a batch between \a endpoints.
void startBatch(lagoonmast::wire::Batch &batch, const BatchEnds &endpoints);

/// Reads a batch that arrived at \a receiver. Fails with MalformedBatch; any content is safe.
Base::Result<PeerBatch> decodeBatch(const lagoonmast::wire::Batch &batch,
                                    const Base::HostId &receiver);
/// As above, from serialized bytes.
Base::Result<PeerBatch> decodeBatch(const std::string &bytes, const Base::HostId &receiver);

} // namespace Wire
