#pragma once

#include "base/result.h"
#include "gateway/callerconnection.h"
#include "settings/address.h"

#include <memory>
#include <string>
#include <vector>

namespace Gateway {

/// Error: the address cannot be listened on.
struct CannotListen
{
    std::string address;
};

/// Accepts callers' connections on one address.
class HttpListener
{
public:
    /// Fails with CannotListen. The objects that \a context refers to must outlive the listener.
    static Base::Result<std::unique_ptr<HttpListener>> create(boost::asio::io_context &io,
                                                              const Settings::Address &address,
                                                              const ConnectionContext &context);
    ~HttpListener() { m_context.share.remove(*this); }
    HttpListener(const HttpListener &) = delete;
    HttpListener &operator=(const HttpListener &) = delete;

    /// Closes connections whose timeout has passed, and accepts again if the process had run out of
    /// file descriptors. Must be called a few times a second.
    void checkTime(Base::TimePoint now);
    /// Returns the idle connection to close first if there are too many; null if none is idle.
    std::shared_ptr<CallerConnection> longestIdle() const;
    std::size_t connections() const { return m_connections.size(); }
    /// Accepts nothing more, answers what has arrived, and closes the connections that no answer is
    /// being written to.
    void finish();
    /// Returns the number of connections with an answer of which a part has not been written yet.
    std::size_t unwrittenAnswers() const;

private:
    HttpListener(boost::asio::io_context &io, const ConnectionContext &context);
    void accept();
    /// Returns false if no connection is pending, or if the process has no file descriptor
    /// or memory left.
    bool acceptOne();

    boost::asio::io_context *m_io;
    Tcp::acceptor m_acceptor;
    ConnectionContext m_context;
    /// Nothing is accepted until the next checkTime().
    bool m_isOutOfDescriptors = false;
    std::vector<std::shared_ptr<CallerConnection>> m_connections;
};

} // namespace Gateway
