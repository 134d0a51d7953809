#pragma once

#include "gateway/outputbuffer.h"

#include <boost/asio/io_context.hpp>

#include <string>
#include <utility>

namespace Gateway {

/// The socket of an accepted connection, which is registered with the event loop only at the first
/// wait.
///
/// Under overload, thousands of callers a second open a connection, send one request and are
/// refused. Such a connection takes 13 system calls if it is registered with the loop at once, and
/// 4 if it is read, answered and closed without being registered.
class CallerSocket
{
public:
    /// Takes ownership of \a fd, a connected non-blocking socket.
    CallerSocket(boost::asio::io_context &io, int fd)
        : m_socket(io)
        , m_fd(fd)
    {}
    ~CallerSocket() { close(); }
    CallerSocket(const CallerSocket &) = delete;
    CallerSocket &operator=(const CallerSocket &) = delete;

    bool isOpen() const { return m_fd >= 0; }
    boost::asio::any_io_executor executor() { return m_socket.get_executor(); }

    /// Reads what is available into \a buffer, up to \a limit bytes, and returns its size. Fails
    /// with would_block if nothing is available and with eof at the end of input.
    std::size_t read(std::string &buffer, std::size_t limit, boost::system::error_code &ec) const;
    /// Whether the caller has closed the connection and all its data have been read. Costs a system
    /// call.
    bool isAtEnd() const;
    /// Writes as much of \a output as the socket accepts without blocking.
    void write(OutputBuffer &output, boost::system::error_code &ec) const;
    template <typename Handler>
    void waitRead(Handler handler)
    {
        wait(Tcp::socket::wait_read, std::move(handler));
    }
    template <typename Handler>
    void waitWrite(Handler handler)
    {
        wait(Tcp::socket::wait_write, std::move(handler));
    }
    /// Ends the output; input can still be read.
    void shutdownOutput() const;
    void close();

private:
    template <typename Handler>
    void wait(Tcp::socket::wait_type type, Handler handler)
    {
        ensureRegistered();
        m_socket.async_wait(type, std::move(handler));
    }
    void ensureRegistered();

    Tcp::socket m_socket;
    int m_fd;
};

} // namespace Gateway
