#include "daemon/grpcpeerserver.h"

#include "daemon/httpserver.h"
#include "wire/peercodec.h"

#include "peer.grpc.pb.h"

#include <utility>

#include <grpcpp/grpcpp.h>

namespace Daemon {

namespace Proto = lagoonmast::wire;

namespace {

/// Time that running calls have to finish when the server stops.
constexpr std::chrono::milliseconds stopTimeout{500};

class PeerService final : public Proto::Peer::CallbackService
{
public:
    PeerService(const Base::HostId &self, EventRing &ring)
        : m_self(self)
        , m_ring(ring)
    {}

    grpc::ServerUnaryReactor *Deliver(grpc::CallbackServerContext *context,
                                      const Proto::Batch *batch, Proto::Receipt *) override
    {
        grpc::ServerUnaryReactor *reactor = context->DefaultReactor();
        const bool isAccepted = boost::leaf::try_handle_all(
            [&]() -> Base::Result<bool> {
                BOOST_LEAF_AUTO(decoded, Wire::decodeBatch(*batch, m_self));
                return pushMessages(std::move(decoded));
            },
            [] { return false; });
        reactor->Finish(isAccepted ? grpc::Status::OK
                                   : grpc::Status(grpc::StatusCode::INVALID_ARGUMENT, "not taken"));
        return reactor;
    }

private:
    bool pushMessages(Wire::PeerBatch batch)
    {
        for (Node::PeerMessage &message : batch.messages) {
            Node::PeerMessageArrived arrived{batch.sender, batch.incarnation, std::move(message)};
            if (!m_ring.push(std::move(arrived)))
                return false;
        }
        return true;
    }

    const Base::HostId m_self;
    EventRing &m_ring;
};

} // namespace

struct GrpcPeerServer::State
{
    State(const Base::HostId &self, EventRing &ring)
        : service(self, ring)
    {}

    PeerService service;
    std::unique_ptr<grpc::Server> server;
};

Base::Result<std::unique_ptr<GrpcPeerServer>>
GrpcPeerServer::create(const Base::HostId &self, const std::string &address, EventRing &ring)
{
    auto state = std::make_unique<State>(self, ring);
    grpc::ServerBuilder builder;
    int port = 0;
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.AddListeningPort(address, grpc::InsecureServerCredentials(), &port);
    builder.RegisterService(&state->service);
    state->server = builder.BuildAndStart();
    if (!state->server || port <= 0)
        return boost::leaf::new_error(CannotListen{address});
    return std::unique_ptr<GrpcPeerServer>(
        new GrpcPeerServer(std::move(state), static_cast<std::uint16_t>(port)));
}

GrpcPeerServer::GrpcPeerServer(std::unique_ptr<State> state, std::uint16_t port)
    : m_state(std::move(state))
    , m_port(port)
{}

GrpcPeerServer::~GrpcPeerServer()
{
    m_state->server->Shutdown(std::chrono::system_clock::now() + stopTimeout);
    m_state->server->Wait();
}

} // namespace Daemon
