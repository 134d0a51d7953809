#include "gateway/callersocket.h"

#include <boost/asio/error.hpp>

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>

namespace Gateway {

namespace {

boost::system::error_code lastError()
{
    if (errno == EAGAIN || errno == EWOULDBLOCK)
        return boost::asio::error::would_block;
    return {errno, boost::system::system_category()};
}

} // namespace

std::size_t CallerSocket::read(std::string &buffer, std::size_t limit,
                               boost::system::error_code &ec) const
{
    const ssize_t n = recv(m_fd, buffer.data(), std::min(buffer.size(), limit), 0);
    if (n > 0)
        return static_cast<std::size_t>(n);
    ec = n == 0 ? boost::system::error_code(boost::asio::error::eof) : lastError();
    return 0;
}

bool CallerSocket::isAtEnd() const
{
    char byte = 0;
    return recv(m_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

void CallerSocket::write(OutputBuffer &output, boost::system::error_code &ec) const
{
    while (!output.isEmpty()) {
        const std::string_view text = output.text();
        const ssize_t n = send(m_fd, text.data(), text.size(), MSG_NOSIGNAL);
        if (n < 0) {
            ec = lastError();
            if (ec == boost::asio::error::would_block)
                ec = {};
            return;
        }
        output.consume(static_cast<std::size_t>(n));
    }
}

void CallerSocket::ensureRegistered()
{
    if (m_socket.is_open() || m_fd < 0)
        return;
    boost::system::error_code ec;
    m_socket.assign(Tcp::v4(), m_fd, ec);
    // If the registration fails, the wait fails too, and the idle timeout closes the connection.
    if (ec)
        return;
    m_socket.set_option(Tcp::no_delay(true), ec);
}

void CallerSocket::shutdownOutput() const
{
    ::shutdown(m_fd, SHUT_WR);
}

void CallerSocket::close()
{
    if (m_fd < 0)
        return;
    const int fd = std::exchange(m_fd, -1);
    boost::system::error_code ec;
    if (m_socket.is_open())
        m_socket.close(ec);
    else
        ::close(fd);
}

} // namespace Gateway
