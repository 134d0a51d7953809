#include "gateway/httplistener.h"

#include "gateway/boottime.h"

#include <catch2/catch.hpp>

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <memory>
#include <string>
#include <vector>

using namespace Gateway;

namespace {

constexpr std::string_view requestText = "GET /x HTTP/1.1\r\nHost: a\r\n\r\n";

/// Refuses each request at once, and closes the connection after it if created with \a closes.
class RefusingHandler final : public RequestHandler
{
public:
    explicit RefusingHandler(bool closes)
        : m_closes(closes)
    {}

    std::shared_ptr<ActiveRequest> handle(CallerRequest, AnswerSink &sink) override
    {
        ResponseHead head;
        head.result(503);
        if (m_closes)
            sink.closeAfterAnswer();
        sink.sendAnswer(head, "no room");
        return nullptr;
    }

private:
    bool m_closes;
};

/// A listener on loopback, and callers on the same thread.
class Loopback
{
public:
    explicit Loopback(bool closes)
        : m_handler(closes)
    {
        Tcp::acceptor probe(m_io, {boost::asio::ip::make_address_v4("127.0.0.1"), 0});
        m_port = probe.local_endpoint().port();
        probe.close();
        boost::leaf::try_handle_all(
            [&]() -> Base::Result<void> {
                BOOST_LEAF_ASSIGN(listener,
                                  HttpListener::create(m_io, {"127.0.0.1", m_port},
                                                       {m_handler, m_limits, m_buffer, m_share}));
                return {};
            },
            [] { FAIL("cannot listen"); });
    }

    /// Connects a caller that sends \a text.
    Tcp::socket caller(std::string_view text)
    {
        Tcp::socket socket(m_callers);
        socket.connect({boost::asio::ip::make_address_v4("127.0.0.1"), m_port});
        boost::asio::write(socket, boost::asio::buffer(text.data(), text.size()));
        return socket;
    }
    /// Reads until the listener closes the connection.
    static std::string answerOf(Tcp::socket &socket)
    {
        std::string text;
        boost::system::error_code ec;
        boost::asio::read(socket, boost::asio::dynamic_buffer(text), ec);
        CHECK(ec == boost::asio::error::eof);
        return text;
    }
    std::size_t poll() { return m_io.poll(); }
    /// Makes a check find every connection late on which nothing arrives until then: the limit ends
    /// between now and the time that is returned, which the next activity puts off.
    Base::TimePoint shortenIdleTimeout()
    {
        m_limits.idleTimeout = std::chrono::milliseconds(100);
        return bootTimeNow() + m_limits.idleTimeout;
    }

private:
    CallerShare m_share;
    boost::asio::io_context m_io;
    boost::asio::io_context m_callers;
    RefusingHandler m_handler;
    ConnectionLimits m_limits;
    std::string m_buffer = std::string(65536, '\0');
    std::uint16_t m_port = 0;

public:
    // Declared after the event loop of its sockets, so that it is destroyed first.
    std::unique_ptr<HttpListener> listener;
};

} // namespace

TEST_CASE("new connections whose requests are refused take one turn of the event loop", "[gateway]")
{
    // Guards against a host that serves nobody since refusals use its whole processor: the callers
    // of a large customer may connect 2000 times a second to one small host. This happened while
    // each connection took several turns, to be accepted, registered, waited for and answered.
    Loopback loopback(true);
    std::vector<Tcp::socket> callers;
    for (int i = 0; i < 100; ++i)
        callers.push_back(loopback.caller(requestText));
    CHECK(loopback.poll() <= 3);
    for (Tcp::socket &caller : callers) {
        const std::string answer = Loopback::answerOf(caller);
        CHECK(answer.find("HTTP/1.1 503") == 0);
        CHECK(answer.find("Connection: close") != std::string::npos);
        CHECK(answer.find("no room") != std::string::npos);
    }
    CHECK(loopback.listener->connections() == 0);
}

TEST_CASE("a connection carries several requests, which may arrive in pieces", "[gateway]")
{
    Loopback loopback(false);
    Tcp::socket caller = loopback.caller(requestText.substr(0, 9));
    loopback.poll();
    boost::asio::write(caller,
                       boost::asio::buffer(requestText.substr(9).data(), requestText.size() - 9));
    loopback.poll();
    boost::asio::write(caller, boost::asio::buffer(requestText.data(), requestText.size()));
    loopback.poll();
    CHECK(loopback.listener->connections() == 1);
    caller.shutdown(Tcp::socket::shutdown_send);
    loopback.poll();
    const std::string answers = Loopback::answerOf(caller);
    CHECK(answers.find("no room") != answers.rfind("no room"));
    loopback.listener->checkTime(Base::TimePoint(std::chrono::hours(1)));
    CHECK(loopback.listener->connections() == 0);
}

TEST_CASE("a request that has arrived is answered when the idle timeout gets shorter", "[idle]")
{
    // Guards against whole requests that are reset unread beside a change of the configuration.
    Loopback loopback(false);
    Tcp::socket caller = loopback.caller(requestText);
    Tcp::socket idle = loopback.caller(requestText);
    loopback.poll();
    CHECK(loopback.listener->connections() == 2);
    boost::asio::write(caller, boost::asio::buffer(requestText.data(), requestText.size()));
    loopback.listener->checkTime(loopback.shortenIdleTimeout());
    CHECK(loopback.listener->connections() == 1);
    boost::system::error_code ec;
    caller.shutdown(Tcp::socket::shutdown_send, ec);
    CHECK(!ec);
    loopback.poll();
    const std::string answers = Loopback::answerOf(caller);
    CHECK(answers.find("no room") != answers.rfind("no room"));
    CHECK(Loopback::answerOf(idle).find("no room") != std::string::npos);
}

TEST_CASE("a header that is late is not saved by further bytes of it", "[idle]")
{
    // Guards against callers that keep connections for ever by sending a byte before each check.
    Loopback loopback(false);
    Tcp::socket caller = loopback.caller(requestText.substr(0, 9));
    loopback.poll();
    const Base::TimePoint late = bootTimeNow() + ConnectionLimits().headerTimeout;
    loopback.listener->checkTime(late - std::chrono::seconds(1));
    boost::asio::write(caller, boost::asio::buffer(requestText.substr(9, 4)));
    caller.non_blocking(true);
    char byte = 0;
    boost::system::error_code ec;
    caller.read_some(boost::asio::buffer(&byte, 1), ec);
    CHECK(ec == boost::asio::error::would_block);
    loopback.listener->checkTime(late);
    caller.read_some(boost::asio::buffer(&byte, 1), ec);
    CHECK(ec == boost::asio::error::eof);
}

TEST_CASE("connections that end within a request are forgotten", "[ended]")
{
    // Guards against memory and time for checks that grow with each caller that breaks off.
    Loopback loopback(false);
    for (int i = 0; i < 10; ++i) {
        Tcp::socket caller = loopback.caller(requestText.substr(0, 9));
        loopback.poll();
        caller.close();
        loopback.poll();
    }
    loopback.listener->checkTime(bootTimeNow());
    CHECK(loopback.listener->connections() == 0);
}

// Guards against requests that end without an answer since they arrive while the process stops.
TEST_CASE("requests that have arrived when the process stops get an answer", "[gateway]")
{
    Loopback loopback(true);
    Tcp::socket kept = loopback.caller("");
    loopback.poll();
    REQUIRE(loopback.listener->connections() == 1);
    boost::asio::write(kept, boost::asio::buffer(requestText));
    Tcp::socket unaccepted = loopback.caller(requestText);
    Tcp::socket idle = loopback.caller("");
    loopback.listener->finish();
    for (Tcp::socket *caller : {&kept, &unaccepted})
        CHECK(Loopback::answerOf(*caller).find("HTTP/1.1 503") == 0);
    CHECK(Loopback::answerOf(idle).empty());
    // Nobody listens any more.
    CHECK_THROWS(loopback.caller(requestText));
}
