#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace Gateway {

using Tcp = boost::asio::ip::tcp;

/// Buffer of bytes to be written to a non-blocking socket.
class OutputBuffer
{
public:
    void append(std::string_view data)
    {
        copyShared();
        m_text.append(data);
    }
    /// Appends \a data without a copy, unless more is appended before it is written.
    void appendShared(std::shared_ptr<const std::string> data)
    {
        copyShared();
        m_shared = std::move(data);
    }
    /// Writes as much as the socket accepts without blocking and returns the number of bytes
    /// written. \a ec is set if the connection is broken.
    std::size_t flush(Tcp::socket &socket, boost::system::error_code &ec)
    {
        std::size_t sum = 0;
        while (!isEmpty()) {
            const std::string_view next = text();
            const std::size_t n =
                socket.write_some(boost::asio::buffer(next.data(), next.size()), ec);
            if (ec == boost::asio::error::would_block) {
                ec = {};
                break;
            }
            if (ec)
                return sum;
            consume(n);
            sum += n;
        }
        return sum;
    }
    /// The next bytes that are still to be written; empty if there are none.
    std::string_view text() const
    {
        if (m_at < m_text.size())
            return std::string_view(m_text).substr(m_at);
        return m_shared ? std::string_view(*m_shared).substr(m_at - m_text.size())
                        : std::string_view();
    }
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
        if (m_text.capacity() > keptBytes)
            m_text.shrink_to_fit();
        m_shared.reset();
        m_at = 0;
    }
    bool isEmpty() const { return size() == 0; }
    std::size_t size() const { return m_text.size() + (m_shared ? m_shared->size() : 0) - m_at; }

private:
    /// Memory that an empty buffer keeps for the next bytes.
    static constexpr std::size_t keptBytes = 16384;

    /// Makes room for what follows the shared bytes.
    void copyShared()
    {
        if (m_shared)
            m_text.append(*std::exchange(m_shared, nullptr));
    }

    std::string m_text;
    std::shared_ptr<const std::string> m_shared;
    /// How many bytes of both have been written.
    std::size_t m_at = 0;
};

} // namespace Gateway
