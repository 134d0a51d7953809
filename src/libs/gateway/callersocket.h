#pragma once

#include "gateway/outputbuffer.h"

#include <boost/asio/io_context.hpp>

#include <string>
#include <utility>

namespace Gateway {

/// The socket of an accepted connection, which the event loop gets to know only when it is waited
/// for.
///
/// Load: thousands of callers a second connect anew, ask once and are refused. Registered with the
/// loop from the start, such a connection takes thirteen system calls; read, answered and closed at
/// once it takes four.
class CallerSocket
{
public:
    /// Takes over \a fd, a connected socket that does not block.
    CallerSocket(boost::asio::io_context &io, int fd)
        : m_socket(io)
        , m_fd(fd)
    {}
    ~CallerSocket() { close(); }
    CallerSocket(const CallerSocket &) = delete;
    CallerSocket &operator=(const CallerSocket &) = delete;

    bool isOpen() const { return m_fd >= 0; }
    boost::asio::any_io_executor executor() { return m_socket.get_executor(); }

    /// Reads what is there; fails with would_block if nothing is, with eof at the end of input.
    std::size_t read(std::string &buffer, boost::system::error_code &ec) const;
    /// Whether the other end has closed the connection and everything before that has been read.
    bool isAtEnd() const;
    /// Writes what the connection takes.
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
    void close();

private:
    template <typename Handler>
    void wait(Tcp::socket::wait_type type, Handler handler)
    {
        registerOnce();
        m_socket.async_wait(type, std::move(handler));
    }
    void registerOnce();

    Tcp::socket m_socket;
    int m_fd;
};

} // namespace Gateway
