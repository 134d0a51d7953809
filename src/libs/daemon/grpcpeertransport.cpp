#include "daemon/grpcpeertransport.h"

#include "daemon/daemonconstants.h"
#include "wire/peercodec.h"

#include "peer.grpc.pb.h"

#include <utility>

#include <grpcpp/grpcpp.h>

namespace Daemon {

namespace Proto = lagoonmast::wire;

namespace {

/// Bounds for the pause between connection attempts in milliseconds, so that a peer that comes back
/// is found within a second. gRPC's default pause grows to two minutes.
constexpr int minReconnectMs = 100;
constexpr int maxReconnectMs = 1000;

std::shared_ptr<grpc::Channel> createChannel(const std::string &address)
{
    grpc::ChannelArguments arguments;
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, minReconnectMs);
    arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, minReconnectMs);
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, maxReconnectMs);
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    return grpc::CreateCustomChannel("ipv4:" + address, grpc::InsecureChannelCredentials(),
                                     arguments);
}

} // namespace

/// One call with its batch.
struct GrpcPeerTransport::Call
{
    grpc::ClientContext context;
    Proto::Batch batch;
    Proto::Receipt receipt;
    /// Keeps the stub alive until the call has ended, even if the peer's address changes.
    std::shared_ptr<Proto::Peer::Stub> stub;
};

/// The state of one peer. It owns the peer's calls; a callback never owns one. So the last calls,
/// and with them the last references to a channel, are freed on the thread that destroys the
/// transport. If one of gRPC's own threads released the last reference to a channel, it would wait
/// for itself and free what gRPC's other threads still use, and the process would abort while it
/// exits.
struct GrpcPeerTransport::Peer
{
    explicit Peer(const Base::HostId &name)
        : host(name)
    {}

    Base::HostId host;
    std::string address;
    std::shared_ptr<Proto::Peer::Stub> stub;
    PeerQueue queue{peerQueueCapacity};
    /// The pending call, or the last one after it has ended.
    std::unique_ptr<Call> call;
    bool isCallPending = false;
};

Base::Result<std::unique_ptr<GrpcPeerTransport>>
GrpcPeerTransport::create(const Base::HostId &self, Base::Incarnation incarnation, EventRing &ring)
{
    BOOST_LEAF_AUTO(meter, Coordination::TrafficMeter::create(Coordination::TrafficBudget()));
    return std::unique_ptr<GrpcPeerTransport>(
        new GrpcPeerTransport(self, incarnation, ring, std::move(meter)));
}

GrpcPeerTransport::GrpcPeerTransport(const Base::HostId &self, Base::Incarnation incarnation,
                                     EventRing &ring, Coordination::TrafficMeter meter)
    : m_self(self)
    , m_incarnation(incarnation)
    , m_ring(ring)
    , m_meter(std::move(meter))
{}

GrpcPeerTransport::~GrpcPeerTransport()
{
    std::unique_lock lock(m_mutex);
    m_isStopped = true;
    for (const auto &[host, peer] : m_peers) {
        if (peer->isCallPending)
            peer->call->context.TryCancel();
    }
    m_callEnded.wait(lock, [this] { return m_pendingCalls == 0; });
}

void GrpcPeerTransport::send(const Base::HostId &to, const std::string &address,
                             const Node::PeerMessage &message)
{
    const std::lock_guard lock(m_mutex);
    Peer &peer = peerFor(to, address);
    peer.queue.push(message);
    if (!peer.isCallPending)
        startCall(peer);
}

GrpcPeerTransport::Totals GrpcPeerTransport::totals() const
{
    const std::lock_guard lock(m_mutex);
    Totals totals{};
    for (std::size_t i = 0; i < totals.size(); ++i)
        totals[i] = m_meter.total(static_cast<Coordination::TrafficKind>(i));
    return totals;
}

double GrpcPeerTransport::stretch(Base::TimePoint now) const
{
    const std::lock_guard lock(m_mutex);
    return m_meter.stretch(now);
}

GrpcPeerTransport::Peer &GrpcPeerTransport::peerFor(const Base::HostId &to,
                                                    const std::string &address)
{
    std::unique_ptr<Peer> &peer = m_peers[to];
    if (!peer)
        peer = std::make_unique<Peer>(to);
    if (peer->address != address) {
        peer->address = address;
        peer->stub = Proto::Peer::NewStub(createChannel(address));
    }
    return *peer;
}

void GrpcPeerTransport::startCall(Peer &peer)
{
    peer.call = std::make_unique<Call>();
    Call &call = *peer.call;
    fillBatch(call, peer);
    call.stub = peer.stub;
    call.context.set_deadline(std::chrono::system_clock::now() + peerCallTimeout);
    peer.isCallPending = true;
    ++m_pendingCalls;
    call.stub->async()->Deliver(
        &call.context, &call.batch, &call.receipt,
        [this, &peer](const grpc::Status &status) { finishCall(peer, status.ok()); });
}

void GrpcPeerTransport::fillBatch(Call &call, Peer &peer)
{
    const Wire::BatchEndpoints ends{m_self, m_incarnation, peer.host};
    const Base::TimePoint now = Base::Clock::now();
    Wire::startBatch(call.batch, ends);
    // The fixed cost of the batch is counted for the kind of its first message.
    std::size_t overheadBytes = call.batch.ByteSizeLong() + batchFramingBytes;
    for (const Node::PeerMessage &message : peer.queue.take(maxMessagesPerBatch)) {
        const std::size_t bytes = Wire::appendMessage(call.batch, ends, message);
        m_meter.record(Node::trafficKind(message), bytes + std::exchange(overheadBytes, 0), now);
    }
}

void GrpcPeerTransport::finishCall(Peer &peer, bool isDelivered)
{
    // Pushes before locking: the ring may be full, and the core may be waiting for the lock in
    // send().
    if (!isDelivered)
        m_ring.push(Node::PeerUnreachable{peer.host});
    const std::lock_guard lock(m_mutex);
    peer.isCallPending = false;
    if (!m_isStopped && !peer.queue.isEmpty())
        startCall(peer);
    --m_pendingCalls;
    m_callEnded.notify_all();
}

} // namespace Daemon
