#pragma once

#include "base/ids.h"
#include "gateway/backendconnection.h"
#include "routing/serverset.h"

#include <map>
#include <memory>
#include <string>
#include <unordered_set>
#include <vector>

namespace Gateway {

/// What is to be sent, and where.
struct SendOrder
{
    const Routing::RegisteredServer &server;
    OutgoingAttempt attempt;
    /// A request that must not run twice: an idle connection is looked at before it is used, since
    /// a request on a connection that the server has just closed may or may not have run.
    bool isNotRepeatable = false;
};

/// Connections to backend servers, kept open between requests: a new one costs the server time,
/// and each server takes a bounded number from the whole fleet.
class BackendPool final : public ConnectionOwner
{
public:
    /// The arguments outlive the pool.
    BackendPool(boost::asio::io_context &io, const HeaderNames &names, std::string &readBuffer);

    /// Sends on an idle connection or a new one. The connection returned is the attempt's until it
    /// ends; null if the server has as many connections as this host may open, in which case
    /// nothing was sent.
    std::shared_ptr<BackendConnection> send(SendOrder order, BackendListener &listener,
                                            Base::TimePoint now);
    /// Most connections to one server, from this host.
    void setConnectionLimit(std::size_t limit) { m_limit = limit; }
    /// Closes what is idle for too long or connects for too long.
    void checkTime(Base::TimePoint now);
    /// The server is gone; idle connections to it are closed.
    void closeIdleConnections(const Base::ServerId &server);

    void connectionIdle(BackendConnection &connection) override;
    void connectionClosed(BackendConnection &connection) override;

private:
    struct Peer
    {
        std::vector<std::shared_ptr<BackendConnection>> all;
        /// Most recently used last.
        std::vector<BackendConnection *> idle;
    };

    std::shared_ptr<BackendConnection> takeIdle(Peer &peer, bool isNotRepeatable,
                                                Base::TimePoint now);

    boost::asio::io_context *m_io;
    const HeaderNames *m_names;
    std::string *m_readBuffer;
    std::map<std::string, Peer> m_peers;
    std::size_t m_limit = 64;
};

} // namespace Gateway
