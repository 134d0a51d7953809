#pragma once

#include "base/result.h"
#include "node/peermessage.h"
#include "wire/peercodec.h"

#include "peer.pb.h"

namespace Wire::Internal {

/// Converts the messages of one protobuf batch to node messages. Sender and receiver stand in for
/// the names that the batch leaves out.
class MessageDecoder
{
public:
    MessageDecoder(const lagoonmast::wire::Batch &batch, const Base::HostId &receiver);

    /// Returns the node message for \a from. Fails with MalformedBatch.
    Base::Result<Node::PeerMessage> decode(const lagoonmast::wire::Message &from) const;

private:
    Base::Result<Node::AttemptId> decodeAttempt(const lagoonmast::wire::Attempt &from) const;
    Base::Result<Node::PermitRequest>
    decodeRequest(const lagoonmast::wire::PermitRequest &from) const;
    Base::Result<Node::PeerMessage> decode(const lagoonmast::wire::PermitGrant &from) const;
    Base::Result<Node::PeerMessage> decode(const lagoonmast::wire::PermitRefusal &from) const;
    Base::Result<Node::PeerMessage> decode(const lagoonmast::wire::PermitCancel &from) const;
    Base::Result<Node::PeerMessage> decode(const lagoonmast::wire::PermitRelease &from) const;
    Base::Result<Node::PeerMessage> decode(const lagoonmast::wire::ServiceCharge &from) const;
    Base::Result<Node::PeerMessage> decode(const lagoonmast::wire::PermitHeld &from) const;
    Base::Result<Node::PeerMessage> decode(const lagoonmast::wire::PermitQuery &from) const;
    Base::Result<Node::PeerMessage> decode(const lagoonmast::wire::WaitingReply &from) const;
    Base::Result<Node::PeerMessage> decode(const lagoonmast::wire::WorkHandover &from) const;
    Base::Result<Node::PeerMessage> decode(const lagoonmast::wire::Heartbeat &from) const;
    Base::Result<Node::PeerMessage> decode(const lagoonmast::wire::LedgerDelta &from) const;
    Base::Result<Node::PeerMessage> decode(const lagoonmast::wire::ConfigurationPush &from) const;
    Base::Result<Node::PeerMessage>
    decode(const lagoonmast::wire::ConfigurationSnapshot &from) const;

    Base::HostId m_sender;
    Base::Incarnation m_senderIncarnation;
    Base::HostId m_receiver;
    Base::Incarnation m_receiverIncarnation;
};

} // namespace Wire::Internal
