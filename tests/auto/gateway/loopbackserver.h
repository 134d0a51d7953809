#pragma once

#include "gateway/headernames.h"
#include "gateway/httptext.h"
#include "routing/serverset.h"

#include <catch2/catch.hpp>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <poll.h>
#include <unistd.h>

#include <functional>
#include <optional>
#include <string>

namespace Gateway {

/// A backend server on loopback that the test drives step by step on its own thread.
class LoopbackServer
{
public:
    explicit LoopbackServer(boost::asio::io_context &io)
        : m_acceptor(io, {boost::asio::ip::make_address_v4("127.0.0.1"), 0})
        , m_endpoint(m_acceptor.local_endpoint())
    {}

    /// Names of the header fields that the server uses.
    static HeaderNames names()
    {
        HeaderNames names;
        names.requestId = "Request-Id";
        names.signature = "Signature";
        names.timeLeft = "Time-Left";
        names.notRun = "Not-Run";
        names.retryAfter = "Retry-After";
        names.leaving = "Leaving";
        return names;
    }
    Routing::RegisteredServer entry() const
    {
        Routing::RegisteredServer it;
        it.id = Base::ServerId("s-1");
        it.start.name = "s-1";
        it.service = "app";
        it.address = "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
        return it;
    }
    /// Whether a connection is pending.
    bool isCalled() { return isReadable(m_acceptor.native_handle()); }
    Tcp::socket accept() { return m_acceptor.accept(); }
    /// Listens no more, as a server whose process has ended.
    void end() { m_acceptor.close(); }
    /// Listens again, as the successor of a server that has ended.
    void restart() { m_acceptor = Tcp::acceptor(m_acceptor.get_executor(), m_endpoint); }
    /// Reads a request without a body. Returns an empty text if the other end has closed the
    /// connection.
    static std::string readRequest(Tcp::socket &socket)
    {
        std::string text;
        boost::system::error_code ec;
        boost::asio::read_until(socket, boost::asio::dynamic_buffer(text), "\r\n\r\n", ec);
        return ec ? std::string() : text;
    }
    static void answer(Tcp::socket &socket, const std::string &requestId)
    {
        answer(socket, requestId, "200 OK", names().signature + ": s\r\n");
    }
    /// Answers with \a status and \a fields, each of which ends with a line break.
    static void answer(Tcp::socket &socket, const std::string &requestId, const std::string &status,
                       const std::string &fields)
    {
        const std::string text = "HTTP/1.1 " + status + "\r\n" + names().requestId + ": "
                                 + requestId + "\r\n" + fields + "Content-Length: 2\r\n\r\nok";
        boost::asio::write(socket, boost::asio::buffer(text));
    }
    /// Closes the connection and waits until the other end has received the close, as \a isNoticed
    /// reports.
    static void close(Tcp::socket &socket, const std::function<bool()> &isNoticed)
    {
        socket.close();
        for (int i = 0; i < 1000 && !isNoticed(); ++i)
            usleep(1000);
        REQUIRE(isNoticed());
    }
    static bool isReadable(int descriptor)
    {
        pollfd it{descriptor, POLLIN, 0};
        return ::poll(&it, 1, 0) == 1;
    }

private:
    Tcp::acceptor m_acceptor;
    Tcp::endpoint m_endpoint;
};

} // namespace Gateway
