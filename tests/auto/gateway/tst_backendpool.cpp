#include "gateway/backendpool.h"
#include "gateway/boottime.h"
#include "loopbackserver.h"

#include <catch2/catch.hpp>

#include <functional>
#include <memory>
#include <string>

using namespace Gateway;

namespace {

class Listener final : public BackendListener
{
public:
    void answerStarted(const ResponseHead &) override {}
    void answerData(std::string_view) override {}
    void answerEnded() override { ++answers; }
    void attemptFailed(const AttemptFailure &) override { ++failures; }

    int answers = 0;
    int failures = 0;
};

/// A pool and its server, both on this thread.
class Pool
{
public:
    std::shared_ptr<BackendConnection> send(const std::string &requestId, bool isNotRepeatable)
    {
        OutgoingAttempt attempt;
        attempt.text = "GET / HTTP/1.1\r\nRequest-Id: " + requestId + "\r\n\r\n";
        attempt.requestId = requestId;
        return m_pool.send({m_entry, std::move(attempt), isNotRepeatable}, listener, bootTimeNow());
    }
    /// Takes the server's side of one request on a new connection.
    Tcp::socket serve(const std::string &requestId)
    {
        Tcp::socket socket = server.accept();
        m_io.poll();
        REQUIRE_FALSE(LoopbackServer::readRequest(socket).empty());
        LoopbackServer::answer(socket, requestId);
        const int expected = listener.answers + 1;
        for (int i = 0; i < 1000 && listener.answers < expected; ++i) {
            m_io.poll();
            usleep(1000);
        }
        REQUIRE(listener.answers == expected);
        return socket;
    }

private:
    boost::asio::io_context m_io;

public:
    LoopbackServer server{m_io};
    Listener listener;

private:
    Routing::RegisteredServer m_entry = server.entry();
    HeaderNames m_names = LoopbackServer::names();
    std::string m_buffer = std::string(65536, '\0');
    BackendPool m_pool{m_io, m_names, m_buffer};
};

} // namespace

// Guards against a request of which nobody knows whether it ran, since it crossed the close of an
// idle connection.
TEST_CASE("what must not run twice goes on no connection that its server has closed", "[gateway]")
{
    Pool pool;
    const std::shared_ptr<BackendConnection> first = pool.send("r-1", true);
    Tcp::socket socket = pool.serve("r-1");
    REQUIRE(first->isIdle());
    // The close has arrived, and the pool has not handled it yet.
    LoopbackServer::close(socket, [&] { return first->isStale(); });
    REQUIRE(first->isIdle());
    const std::shared_ptr<BackendConnection> second = pool.send("r-2", true);
    CHECK(second != first);
    REQUIRE(pool.server.isCalled());
    pool.serve("r-2");
    CHECK(pool.listener.failures == 0);
}

TEST_CASE("what must not run twice goes on a kept connection that is open", "[gateway]")
{
    Pool pool;
    const std::shared_ptr<BackendConnection> first = pool.send("r-1", true);
    const Tcp::socket socket = pool.serve("r-1");
    CHECK(pool.send("r-2", true) == first);
    CHECK_FALSE(pool.server.isCalled());
}
