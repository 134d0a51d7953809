#include "gateway/boottime.h"
#include "gateway/httplistener.h"

#include <catch2/catch.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>

#include <unistd.h>

#include <chrono>
#include <memory>
#include <string>
#include <vector>

using namespace Gateway;

namespace {

constexpr std::size_t largestBody = 256U << 10;

/// Answers each request at once, or holds it open; refuses heads of the path /refused.
class Handler final : public RequestHandler
{
public:
    class Held final : public ActiveRequest
    {
    public:
        explicit Held(CallerRequest request)
            : m_request(std::move(request))
        {}
        void callerGone() override {}
        void outputDrained() override {}

    private:
        CallerRequest m_request;
    };

    std::shared_ptr<ActiveRequest> handle(CallerRequest request, AnswerSink &sink) override
    {
        bodies.push_back(request.message.body().size());
        if (holdsRequests)
            return std::make_shared<Held>(std::move(request));
        ResponseHead head;
        head.result(200);
        sink.sendAnswer(head, answer);
        return nullptr;
    }
    std::optional<EarlyRefusal> refuseEarly(const RequestHead &head, Base::TimePoint) override
    {
        ++earlyLooks;
        if (head.target() != "/refused")
            return std::nullopt;
        EarlyRefusal refusal;
        refusal.head.result(401);
        refusal.body = "unknown key";
        return refusal;
    }

    std::vector<std::size_t> bodies;
    std::string answer = "served";
    int earlyLooks = 0;
    bool holdsRequests = false;
};

/// A caller on the thread of its listener.
class Caller
{
public:
    Caller(boost::asio::io_context &io, std::uint16_t port)
        : m_socket(io)
    {
        m_socket.connect({boost::asio::ip::make_address_v4("127.0.0.1"), port});
        m_socket.non_blocking(true);
    }

    /// Sends as much of \a text as the socket takes, and removes it.
    void send(std::string &text)
    {
        boost::system::error_code ec;
        text.erase(0, m_socket.write_some(boost::asio::buffer(text), ec));
        if (ec && ec != boost::asio::error::would_block)
            isReset = true;
    }
    /// Reads what has arrived.
    void receive()
    {
        std::string buf(65536, '\0');
        boost::system::error_code ec;
        const std::size_t n = m_socket.read_some(boost::asio::buffer(buf), ec);
        answer.append(buf, 0, n);
        isClosed |= ec == boost::asio::error::eof;
        isReset |= ec && ec != boost::asio::error::eof && ec != boost::asio::error::would_block;
    }

    std::string answer;
    bool isClosed = false;
    bool isReset = false;

private:
    Tcp::socket m_socket;
};

/// A listener on loopback, and its callers, on one thread.
class Loopback
{
public:
    Loopback()
    {
        limits.bodyBytes = largestBody;
        share.memory.setBytes(4 * largestBody);
        Tcp::acceptor probe(m_io, {boost::asio::ip::make_address_v4("127.0.0.1"), 0});
        m_port = probe.local_endpoint().port();
        probe.close();
        boost::leaf::try_handle_all(
            [&]() -> Base::Result<void> {
                BOOST_LEAF_ASSIGN(listener,
                                  HttpListener::create(m_io, {"127.0.0.1", m_port},
                                                       {handler, limits, m_buffer, share}));
                return {};
            },
            [] { FAIL("cannot listen"); });
    }

    std::unique_ptr<Caller> caller() { return std::make_unique<Caller>(m_callers, m_port); }
    void poll()
    {
        m_io.restart();
        m_io.poll();
    }
    /// Sends \a text, whatever comes back; returns whether all was sent.
    bool send(Caller &caller, std::string text)
    {
        for (int i = 0; i < 100'000 && !text.empty() && !caller.isReset; ++i) {
            caller.send(text);
            poll();
        }
        return text.empty();
    }
    /// Reads until the caller has an answer, or its connection ends.
    void receive(Caller &caller)
    {
        for (int i = 0; i < 2000 && caller.answer.empty() && !caller.isReset; ++i) {
            poll();
            caller.receive();
            usleep(500);
        }
    }

private:
    CallerShare m_share;
    boost::asio::io_context m_io;
    boost::asio::io_context m_callers;
    std::string m_buffer = std::string(65536, '\0');
    std::uint16_t m_port = 0;

public:
    Handler handler;
    ConnectionLimits limits;
    CallerShare &share = m_share;
    // Declared after the event loop of its sockets, so that it is destroyed first.
    std::unique_ptr<HttpListener> listener;
};

std::string chunkOf(const std::string &data)
{
    return chunkText(data);
}

const std::string chunkedHead = "POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";

std::string lengthHead(std::size_t bytes, const std::string &target = "/x")
{
    return "POST " + target + " HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(bytes)
           + "\r\n\r\n";
}

} // namespace

TEST_CASE("a caller that writes all of a refused request before it reads gets the refusal",
          "[gateway]")
{
    // Guards against a close with unread bytes, which resets the connection and destroys the
    // answer.
    Loopback loopback;
    const std::string body(largestBody + 1, 'x');
    for (const std::string &text : {lengthHead(body.size()) + body, chunkedHead + chunkOf(body),
                                    lengthHead(largestBody, "/refused") + body}) {
        const auto caller = loopback.caller();
        loopback.send(*caller, text);
        loopback.receive(*caller);
        const bool isRefused = text.find("/refused") != std::string::npos;
        CHECK(caller->answer.find(isRefused ? "HTTP/1.1 401" : "HTTP/1.1 413") == 0);
        CHECK(caller->answer.find("Connection: close") != std::string::npos);
        CHECK_FALSE(caller->isReset);
    }
    CHECK(loopback.handler.bodies.empty());
}

TEST_CASE("a refused caller that never stops is closed", "[gateway]")
{
    Loopback loopback;
    const auto caller = loopback.caller();
    loopback.send(*caller, lengthHead(1'000'000'000'000) + std::string(20 * largestBody, 'x'));
    CHECK(caller->isReset);
}

TEST_CASE("what a refused caller sends is not kept, although it reads nothing", "[gateway]")
{
    // Guards against input without a reservation while the refusal waits behind earlier answers.
    Loopback loopback;
    loopback.handler.answer.assign(16U << 20, 'a');
    const auto caller = loopback.caller();
    loopback.send(*caller, lengthHead(5) + "small");
    loopback.send(*caller, lengthHead(largestBody, "/refused") + std::string(largestBody, 'x'));
    CHECK(loopback.handler.earlyLooks == 1);
    CHECK(loopback.share.memory.usedBytes() == 0);
    CHECK(loopback.send(*caller, std::string(32U << 20, 'x')));
}

TEST_CASE("the largest body arrives in pieces of any size", "[gateway]")
{
    // Guards against limits that a single caller meets in calm.
    Loopback loopback;
    const std::string body(largestBody, 'x');
    std::string small;
    for (std::size_t i = 0; i < largestBody; ++i)
        small += "1\r\nx\r\n";
    for (const std::string &text :
         {lengthHead(largestBody) + body, chunkedHead + chunkOf(body) + "0\r\n\r\n",
          chunkedHead + small + "0\r\n\r\n"}) {
        const auto caller = loopback.caller();
        loopback.send(*caller, text);
        loopback.receive(*caller);
        CHECK(caller->answer.find("HTTP/1.1 200") == 0);
    }
    CHECK(loopback.handler.bodies == std::vector<std::size_t>(3, largestBody));
    CHECK(loopback.share.memory.usedBytes() == 0);
    CHECK(loopback.share.memory.yields() == 0);
}

TEST_CASE("requests that never end give way to one that does", "[gateway]")
{
    // Guards against a crowd that takes all memory, or keeps everybody else out.
    Loopback loopback;
    std::vector<std::unique_ptr<Caller>> crowd;
    const std::string half(largestBody / 2, 'x');
    for (int i = 0; i < 40; ++i) {
        crowd.push_back(loopback.caller());
        loopback.send(*crowd.back(),
                      i % 2 == 0 ? chunkedHead + chunkOf(half) : lengthHead(largestBody) + half);
        CHECK(loopback.share.memory.usedBytes() <= loopback.share.memory.bytes());
    }
    const auto honest = loopback.caller();
    loopback.send(*honest, lengthHead(largestBody) + std::string(largestBody, 'x'));
    loopback.receive(*honest);
    CHECK(honest->answer.find("HTTP/1.1 200") == 0);
    loopback.receive(*crowd.front());
    CHECK(crowd.front()->answer.find("HTTP/1.1 503") == 0);
    CHECK(crowd.front()->answer.find("Retry-After: 1\r\n") != std::string::npos);
    CHECK(loopback.handler.bodies == std::vector<std::size_t>{largestBody});
}

TEST_CASE("whole requests hold their memory until they end", "[gateway]")
{
    Loopback loopback;
    loopback.handler.holdsRequests = true;
    std::vector<std::unique_ptr<Caller>> callers;
    const std::string text = lengthHead(largestBody) + std::string(largestBody, 'x');
    for (int i = 0; i < 10; ++i) {
        callers.push_back(loopback.caller());
        loopback.send(*callers.back(), text);
    }
    for (int i = 0; i < 10; ++i)
        loopback.poll();
    CHECK(loopback.handler.bodies.size() == 3);
    CHECK(loopback.share.memory.refusals() == 7);
    const auto small = loopback.caller();
    loopback.send(*small, lengthHead(5) + "small");
    CHECK(loopback.handler.bodies.back() == 5);
}

TEST_CASE("a body that arrives with its head is not looked at twice", "[gateway]")
{
    Loopback loopback;
    const auto caller = loopback.caller();
    loopback.send(*caller, lengthHead(5) + "small");
    loopback.receive(*caller);
    CHECK(caller->answer.find("HTTP/1.1 200") == 0);
    CHECK(loopback.handler.earlyLooks == 0);
}

TEST_CASE("a new connection takes the place of the one that has been idle for longest", "[gateway]")
{
    // Guards against silent connections that keep everybody else out until their idle timeout.
    Loopback loopback;
    loopback.share.maxConnections = 8;
    std::vector<std::unique_ptr<Caller>> crowd;
    for (int i = 0; i < 20; ++i) {
        crowd.push_back(loopback.caller());
        loopback.poll();
        CHECK(loopback.share.connections <= 8);
    }
    const auto honest = loopback.caller();
    loopback.send(*honest, lengthHead(5) + "small");
    loopback.receive(*honest);
    CHECK(honest->answer.find("HTTP/1.1 200") == 0);
    crowd.front()->receive();
    CHECK(crowd.front()->isClosed);
    crowd.back()->receive();
    CHECK_FALSE(crowd.back()->isClosed);
}

TEST_CASE("a connection with an open request is not closed for a new one", "[gateway]")
{
    Loopback loopback;
    loopback.share.maxConnections = 2;
    loopback.handler.holdsRequests = true;
    std::vector<std::unique_ptr<Caller>> callers;
    for (int i = 0; i < 3; ++i) {
        callers.push_back(loopback.caller());
        loopback.send(*callers.back(), lengthHead(5) + "small");
        loopback.poll();
    }
    CHECK(loopback.handler.bodies.size() == 2);
    for (const auto &it : callers) {
        it->receive();
        CHECK_FALSE(it->isClosed);
    }
}

TEST_CASE("an incomplete request is closed for a new connection after those without one",
          "[gateway]")
{
    Loopback loopback;
    loopback.share.maxConnections = 3;
    const auto slow = loopback.caller();
    loopback.send(*slow, lengthHead(1000) + "begun");
    std::vector<std::unique_ptr<Caller>> silent;
    for (int i = 0; i < 6; ++i) {
        silent.push_back(loopback.caller());
        loopback.poll();
    }
    loopback.send(*slow, std::string(995, 'x'));
    loopback.receive(*slow);
    CHECK(slow->answer.find("HTTP/1.1 200") == 0);
}
