#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <string>
#include <string_view>

namespace Gateway {

using Tcp = boost::asio::ip::tcp;

/// Buffer of bytes to be written to a non-blocking socket.
class OutputBuffer
{
public:
    void append(std::string_view data) { m_text.append(data); }
    /// Writes as much as the socket accepts without blocking and returns the number of bytes
    /// written. \a ec is set if the connection is broken.
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
    /// The bytes that are still to be written.
    std::string_view text() const { return std::string_view(m_text).substr(m_at); }
    /// Removes the first \a count bytes of text(), which have been written.
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
