#pragma once

#include "base/ids.h"
#include "gateway/backendconnection.h"
#include "routing/servernotices.h"
#include "routing/serverset.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_set>
#include <vector>

namespace Gateway {

/// Arguments of BackendPool::send(): the server and the attempt to send to it.
struct SendParameters
{
    const Routing::RegisteredServer &server;
    OutgoingAttempt attempt;
    /// The request must not run twice. An idle connection is then checked before it is reused: it
    /// is unknown whether a request ran that was sent on a connection which the server has just
    /// closed.
    bool isNotRepeatable = false;
};

/// Is notified of what passes between this host and backend servers, for all requests.
class ServerObserver
{
public:
    virtual ~ServerObserver() = default;
    /// A request is written to a connection to \a server.
    virtual void requestWritten(const Base::ServerId &server) = 0;
    /// An answer of \a server, to whichever request, says something about the server itself.
    virtual void serverNoticed(const Base::ServerId &server,
                               const Routing::ServerNotice &notice) = 0;
};

/// Pools connections to backend servers and keeps them open between requests, since a new
/// connection costs the server time and each server accepts a bounded number from the whole fleet.
class BackendPool final : public ConnectionOwner
{
public:
    /// The arguments must outlive the pool.
    BackendPool(boost::asio::io_context &io, const HeaderNames &names, std::string &readBuffer,
                ServerObserver &observer);

    /// Sends on an idle connection that has not carried the request before, or on a new one.
    /// Returns the connection, which belongs to the attempt until that ends. Returns null, and
    /// sends nothing, if this host already has as many connections to the server as its limit
    /// allows, and none of them is idle.
    std::shared_ptr<BackendConnection> send(SendParameters parameters, BackendListener &listener,
                                            Base::TimePoint now);
    /// Sets how many connections this host may have to each server.
    void setConnectionLimit(std::size_t limit) { m_limit = limit; }
    /// Closes idle connections whose keep-alive has expired, fails connection attempts that have
    /// timed out, and settles the ends of answers that are in doubt.
    void checkTime(Base::TimePoint now);
    /// Closes the idle connections to \a server, which has gone.
    void closeIdleConnections(const Base::ServerId &server);
    /// Withdraws the attempts that wait for a connection to \a server, which wants no requests now.
    void withdrawUnsent(const Base::ServerId &server);

    void requestWritten(BackendConnection &connection) override;
    void headReceived(BackendConnection &connection, const ResponseHead &head) override;
    void connectionIdle(BackendConnection &connection) override;
    void connectionClosed(BackendConnection &connection) override;
    void endDoubted(BackendConnection &connection) override;

private:
    /// An answer that has ended with its connection. It is whole if another connection stays open
    /// that was made before, or at once: a later one may lead to a successor of the server.
    struct DoubtedEnd
    {
        std::shared_ptr<BackendConnection> connection;
        /// The other connections that are still open.
        std::vector<std::shared_ptr<BackendConnection>> witnesses;
        /// When the connections of a server that has ended are closed too; empty until the first
        /// checkTime() at which all witnesses are connected.
        std::optional<Base::TimePoint> settleAt;
        /// Whether a connection was opened as a witness.
        bool isProbed = false;
    };

    struct ServerConnections
    {
        std::vector<std::shared_ptr<BackendConnection>> all;
        /// Ordered by last use; the most recently used connection is the last.
        std::vector<BackendConnection *> idle;
    };

    /// Returns an idle connection on which the request may be sent, or null.
    std::shared_ptr<BackendConnection> takeIdleConnection(ServerConnections &pooled,
                                                          const SendParameters &parameters,
                                                          Base::TimePoint now);

    void doubtEnd(const std::shared_ptr<BackendConnection> &connection);
    /// Settles the ends of answers whose time has come.
    void settleEnds(Base::TimePoint now);
    /// Returns whether the answer is whole; empty if it is too early to tell.
    std::optional<bool> isWhole(DoubtedEnd &end, Base::TimePoint now);
    /// Opens a connection to the server of \a end as a witness, unless one is being opened.
    void probe(DoubtedEnd &end);

    boost::asio::io_context *m_io;
    const HeaderNames *m_names;
    std::string *m_readBuffer;
    ServerObserver *m_observer;
    std::map<std::string, ServerConnections> m_connections;
    std::vector<DoubtedEnd> m_doubtedEnds;
    std::size_t m_limit = 64;
};

} // namespace Gateway
