#pragma once

#include "base/result.h"
#include "coordination/trafficmeter.h"
#include "daemon/eventring.h"
#include "daemon/peerqueue.h"
#include "node/peertransport.h"

#include <array>
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>

namespace Daemon {

/// Sends the node's messages to the other routers. At most one call, with a batch of messages, is
/// pending per peer. This keeps the messages in order, and messages that arrive during a call form
/// the next batch.
class GrpcPeerTransport final : public Node::PeerTransport
{
public:
    /// Bytes sent so far, indexed by TrafficKind.
    using Totals = std::array<std::uint64_t, Coordination::trafficKindCount>;

    /// Creates the transport. \a ring must accept PeerUnreachable events until this object is
    /// destroyed.
    static Base::Result<std::unique_ptr<GrpcPeerTransport>>
    create(const Base::HostId &self, Base::Incarnation incarnation, EventRing &ring);
    /// Cancels the pending calls and waits until they have ended.
    ~GrpcPeerTransport() override;

    void send(const Base::HostId &to, const std::string &address,
              const Node::PeerMessage &message) override;
    Totals totals() const;
    double stretch(Base::TimePoint now) const override;

private:
    struct Peer;
    struct Call;

    GrpcPeerTransport(const Base::HostId &self, Base::Incarnation incarnation, EventRing &ring,
                      Coordination::TrafficMeter meter);
    Peer &peerFor(const Base::HostId &to, const std::string &address);
    void startCall(Peer &peer);
    void fillBatch(Call &call, Peer &peer);
    void finishCall(Peer &peer, bool isDelivered);

    const Base::HostId m_self;
    const Base::Incarnation m_incarnation;
    EventRing &m_ring;
    mutable std::mutex m_mutex;
    std::condition_variable m_callEnded;
    std::map<Base::HostId, std::unique_ptr<Peer>> m_peers;
    Coordination::TrafficMeter m_meter;
    std::size_t m_pendingCalls = 0;
    bool m_isStopped = false;
};

} // namespace Daemon
