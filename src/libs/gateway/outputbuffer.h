#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <string>
#include <string_view>

namespace Gateway {

using Tcp = boost::asio::ip::tcp;

/// Bytes on their way into a socket that does not block.
class OutputBuffer
{
public:
    void append(std::string_view data) { m_text.append(data); }
    /// Writes what the socket takes; fails if the connection is broken. Returns the bytes written.
    std::size_t flush(Tcp::socket &socket, boost::system::error_code &ec)
    {
        std::size_t sum = 0;
        while (!isEmpty()) {
            const std::size_t n = socket.write_some(
                boost::asio::buffer(m_text.data() + m_at, m_text.size() - m_at), ec);
            if (ec == boost::asio::error::would_block) {
                ec = {};
                break;
            }
            if (ec)
                return sum;
            m_at += n;
            sum += n;
        }
        if (isEmpty())
            clear();
        return sum;
    }
    /// What is still to be written.
    std::string_view text() const { return std::string_view(m_text).substr(m_at); }
    /// The first \a count bytes of text() have been written.
    void consume(std::size_t count)
    {
        m_at += count;
        if (isEmpty())
            clear();
    }
    void clear()
    {
        m_text.clear();
        m_at = 0;
    }
    bool isEmpty() const { return m_at >= m_text.size(); }
    std::size_t size() const { return m_text.size() - m_at; }

private:
    std::string m_text;
    std::size_t m_at = 0;
};

} // namespace Gateway
