#pragma once

#include "base/result.h"
#include "gateway/callerconnection.h"
#include "settings/address.h"

#include <memory>
#include <string>
#include <vector>

namespace Gateway {

/// The address cannot be listened at.
struct CannotListen
{
    std::string address;
};

/// Accepts callers' connections at one address.
class HttpListener
{
public:
    /// Fails with CannotListen. The context's parts outlive the listener.
    static Base::Result<std::unique_ptr<HttpListener>> create(boost::asio::io_context &io,
                                                              const Settings::Address &address,
                                                              const ConnectionContext &context);

    /// Closes connections that are idle for too long. Call it a few times a second.
    void checkTime(Base::TimePoint now);
    /// Closes the connections on which no request is open.
    void closeIdle();
    std::size_t connections() const { return m_connections.size(); }

private:
    HttpListener(boost::asio::io_context &io, const ConnectionContext &context);
    void accept();
    /// False if no connection waits, or the process has no file number left for it.
    bool acceptOne();

    boost::asio::io_context *m_io;
    Tcp::acceptor m_acceptor;
    ConnectionContext m_context;
    /// Nothing is accepted until the next check of times.
    bool m_isOutOfFiles = false;
    std::vector<std::shared_ptr<CallerConnection>> m_connections;
};

} // namespace Gateway
