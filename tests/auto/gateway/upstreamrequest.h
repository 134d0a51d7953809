#pragma once

#include "fakeexchangeport.h"

#include <catch2/catch.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Gateway {

/// Fields of an answer to the request of an UpstreamRequest.
inline const std::string ownFields = "Request-Id: r-1\r\nSignature: s\r\n";
inline const std::string lengthOfHello = "Content-Length: 5\r\n";

/// An answer with the body "hello", whose status line is \a line.
inline std::string answerWithLine(const std::string &line)
{
    return line + "\r\n" + ownFields + lengthOfHello + "\r\nhello";
}

/// A request that is under way at the first of two servers.
struct UpstreamRequest
{
    explicit UpstreamRequest(Routing::WorkKind kind, std::size_t uploadBytes = 0)
        : exchange(port.exchange(sink, kind, {}, std::string(uploadBytes, 'u')))
    {
        exchange->placed(port.placement(1));
        std::string text;
        server.emplace(port.acceptRequest(1, &text));
        unreadBytes = uploadBytes - (text.size() - text.find("\r\n\r\n") - 4);
    }
    /// Reads the rest of the request.
    void readUpload()
    {
        server->non_blocking(true);
        std::string buf(1 << 20, '\0');
        port.pollUntil([&] {
            boost::system::error_code ec;
            while (!ec)
                unreadBytes -= server->read_some(boost::asio::buffer(buf), ec);
            return unreadBytes == 0;
        });
        server->non_blocking(false);
        REQUIRE(unreadBytes == 0);
    }
    /// Ends the connection with a reset.
    void reset()
    {
        server->set_option(boost::asio::socket_base::linger(true, 0));
        server->close();
    }
    /// Sends \a text as the whole answer.
    void answer(const std::string &text)
    {
        boost::asio::write(*server, boost::asio::buffer(text));
        server->shutdown(Tcp::socket::shutdown_send);
    }
    bool isFinished()
    {
        return port.pollUntil([this] { return exchange->isFinished(); });
    }
    /// Whether the caller was told that the server failed, and nothing of the answer.
    bool isFailed() const
    {
        return sink.statuses == std::vector<unsigned>{502}
               && sink.text.find("\"ran\":\"unknown\"") != std::string::npos
               && sink.text.find("hello") == std::string::npos && !sink.isEnded
               && port.outcomes == std::vector{Routing::AttemptOutcome::Broken};
    }
    bool isLogged(const std::string &fault)
    {
        return port.logText().find("\"fault\":\"" + fault + "\"") != std::string::npos;
    }

    RecordingSink sink;
    FakeExchangePort port{2};
    std::shared_ptr<Exchange> exchange;
    std::optional<Tcp::socket> server;
    std::size_t unreadBytes = 0;
};

} // namespace Gateway
