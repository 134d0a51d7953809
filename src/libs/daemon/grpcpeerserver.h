#pragma once

#include "base/result.h"
#include "daemon/eventring.h"

#include <cstdint>
#include <memory>
#include <string>

namespace Daemon {

/// Receives batches from the other routers and pushes their messages to the event ring in order.
class GrpcPeerServer
{
public:
    /// Creates the server and starts to listen at \a address, "IP:PORT"; port 0 selects a free
    /// port. Fails with CannotListen (httpserver.h).
    static Base::Result<std::unique_ptr<GrpcPeerServer>>
    create(const Base::HostId &self, const std::string &address, EventRing &ring);
    ~GrpcPeerServer();

    std::uint16_t port() const { return m_port; }

private:
    struct State;

    GrpcPeerServer(std::unique_ptr<State> state, std::uint16_t port);

    std::unique_ptr<State> m_state;
    std::uint16_t m_port;
};

} // namespace Daemon
