#pragma once

#include "node/peermessage.h"
#include "wire/peercodec.h"

#include "peer.pb.h"

namespace Wire::Internal {

/// Fills one protobuf message from a node message. Visits Node::PeerMessage.
class MessageEncoder
{
public:
    MessageEncoder(lagoonmast::wire::Batch &batch, const BatchEndpoints &endpoints,
                   lagoonmast::wire::Message &message);

    void operator()(const Coordination::Heartbeat &from);
    void operator()(const Node::PermitRequest &from);
    void operator()(const Node::PermitGrant &from);
    void operator()(const Node::PermitRefusal &from);
    void operator()(const Node::PermitCancel &from);
    void operator()(const Node::PermitRelease &from);
    void operator()(const Node::ServiceCharge &from);
    void operator()(const Node::PermitHeld &from);
    void operator()(const Node::PermitQuery &from);
    void operator()(const Node::WaitingDigest &from);
    void operator()(const Node::WaitingReply &from);
    void operator()(const Coordination::LedgerDelta &from);
    void operator()(const Node::ConfigurationPush &from);
    void operator()(const Node::ConfigurationSnapshot &from);
    void operator()(const Node::ConfigurationPull &from);
    void operator()(const Node::WorkAsk &from);
    void operator()(const Node::WorkHandover &from);

private:
    void encodeAttempt(lagoonmast::wire::Attempt &to, const Node::AttemptId &from);
    void encodeRequest(lagoonmast::wire::PermitRequest &to, const Node::PermitRequest &from);
    /// Returns whether \a request belongs to the receiver at the incarnation that the batch names.
    /// Names that incarnation in the batch if it names none yet.
    bool belongsToReceiver(const Base::RequestKey &request);

    lagoonmast::wire::Batch *m_batch;
    const BatchEndpoints *m_endpoints;
    lagoonmast::wire::Message *m_message;
};

} // namespace Wire::Internal
