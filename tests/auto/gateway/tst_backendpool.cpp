#include "gateway/backendpool.h"
#include "gateway/boottime.h"
#include "loopbackserver.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

using namespace Gateway;

namespace {

class Listener final : public BackendListener
{
public:
    void answerStarted(const ResponseHead &head) override
    {
        ++started;
        lastSignature = std::string(field(head, LoopbackServer::names().signature));
    }
    void answerData(std::string_view) override {}
    void answerEnded() override { ++answers; }
    void attemptFailed(const AttemptFailure &failure) override
    {
        ++failures;
        lastFailure = failure;
    }

    int started = 0;
    int answers = 0;
    int failures = 0;
    AttemptFailure lastFailure;
    std::string lastSignature;
};

/// A pool and its server, both on the thread of the test.
class PoolFixture final : public ServerObserver
{
public:
    void requestWritten(const Base::ServerId &) override { ++written; }
    void serverNoticed(const Base::ServerId &id, const Routing::ServerNotice &notice) override
    {
        notices.push_back(notice);
        m_pool.withdrawUnsent(id);
    }

    std::shared_ptr<BackendConnection> send(const std::string &requestId, bool isNotRepeatable)
    {
        OutgoingAttempt attempt;
        attempt.text = "GET / HTTP/1.1\r\nRequest-Id: " + requestId + "\r\n\r\n";
        attempt.requestId = requestId;
        return m_pool.send({m_entry, std::move(attempt), isNotRepeatable}, listener, bootTimeNow());
    }
    /// Accepts a new connection, answers one request on it and waits until the pool has the answer.
    Tcp::socket serve(const std::string &requestId)
    {
        Tcp::socket socket = accept();
        LoopbackServer::answer(socket, requestId);
        waitForAnswer();
        return socket;
    }
    /// Accepts a new connection and reads one request on it.
    Tcp::socket accept()
    {
        REQUIRE(server.isCalled());
        Tcp::socket socket = server.accept();
        m_io.poll();
        REQUIRE_FALSE(LoopbackServer::readRequest(socket).empty());
        return socket;
    }
    void poll() { m_io.poll(); }
    void setConnectionLimit(std::size_t limit) { m_pool.setConnectionLimit(limit); }
    void withdrawUnsent() { m_pool.withdrawUnsent(m_entry.id); }
    void waitForAnswer()
    {
        const int expected = listener.answers + 1;
        for (int i = 0; i < 1000 && listener.answers < expected; ++i) {
            m_io.poll();
            usleep(1000);
        }
        REQUIRE(listener.answers == expected);
    }

private:
    boost::asio::io_context m_io;

public:
    LoopbackServer server{m_io};
    Listener listener;
    int written = 0;
    std::vector<Routing::ServerNotice> notices;

private:
    Routing::RegisteredServer m_entry = server.entry();
    HeaderNames m_names = LoopbackServer::names();
    std::string m_buffer = std::string(65536, '\0');
    BackendPool m_pool{m_io, m_names, m_buffer, *this};
};

} // namespace

// Guards against a request of which it is unknown whether it ran, since it was sent on an idle
// connection while the server closed that.
TEST_CASE(
    "a request that must not run twice is not sent on a connection that its server has closed",
    "[gateway]")
{
    PoolFixture fixture;
    const std::shared_ptr<BackendConnection> first = fixture.send("r-1", true);
    Tcp::socket socket = fixture.serve("r-1");
    REQUIRE(first->isIdle());
    // The close has arrived, but the pool has not handled it yet.
    LoopbackServer::close(socket, [&] { return first->isStale(); });
    REQUIRE(first->isIdle());
    const std::shared_ptr<BackendConnection> second = fixture.send("r-2", true);
    CHECK(second != first);
    REQUIRE(fixture.server.isCalled());
    fixture.serve("r-2");
    CHECK(fixture.listener.failures == 0);
}

TEST_CASE("a request that must not run twice is sent on an idle connection that is open",
          "[gateway]")
{
    PoolFixture fixture;
    const std::shared_ptr<BackendConnection> first = fixture.send("r-1", true);
    const Tcp::socket socket = fixture.serve("r-1");
    CHECK(fixture.send("r-2", true) == first);
    CHECK_FALSE(fixture.server.isCalled());
}

// Guards against a second, late copy of an answer that passes for the answer to the next sending of
// the same request: a refusal for one that runs.
TEST_CASE("a request is not sent again on a connection that has carried it", "[gateway]")
{
    const std::string status = GENERATE("503 Full", "429 Busy", "421 Misdirected", "500 Failed");
    const int between = GENERATE(0, 1, 2);
    PoolFixture fixture;
    const std::shared_ptr<BackendConnection> first = fixture.send("r-1", true);
    Tcp::socket socket = fixture.accept();
    LoopbackServer::answer(socket, "r-1", status, "Signature: first\r\n");
    fixture.waitForAnswer();
    for (int i = 0; i < between; ++i) {
        const std::string other = "other-" + std::to_string(i);
        REQUIRE(fixture.send(other, true) == first);
        REQUIRE_FALSE(LoopbackServer::readRequest(socket).empty());
        LoopbackServer::answer(socket, other);
        fixture.waitForAnswer();
    }
    CHECK(fixture.send("r-1", true) != first);
    REQUIRE(fixture.server.isCalled());
    Tcp::socket again = fixture.accept();
    LoopbackServer::answer(socket, "r-1", status, "Signature: first\r\n");
    LoopbackServer::answer(again, "r-1", "200 OK", "Signature: second\r\n");
    fixture.waitForAnswer();
    CHECK(fixture.listener.lastSignature == "second");
    CHECK(fixture.listener.failures == 0);
}

TEST_CASE("a request that is sent again takes the place of a connection that has carried it",
          "[gateway]")
{
    PoolFixture fixture;
    fixture.setConnectionLimit(2);
    const std::shared_ptr<BackendConnection> first = fixture.send("r-1", true);
    Tcp::socket socket = fixture.serve("r-1");
    const std::shared_ptr<BackendConnection> second = fixture.send("r-1", true);
    REQUIRE(second);
    const Tcp::socket other = fixture.serve("r-1");
    // Both connections that the limit allows have carried it; the one that was idle longest goes.
    const std::shared_ptr<BackendConnection> third = fixture.send("r-1", true);
    REQUIRE(third);
    CHECK(third != first);
    CHECK(third != second);
    CHECK_FALSE(first->isIdle());
    CHECK(second->isIdle());
    const Tcp::socket last = fixture.serve("r-1");
    // No connection is closed for a request while the others are at work.
    REQUIRE(fixture.send("r-2", true) == third);
    REQUIRE(fixture.send("r-3", true) == second);
    CHECK_FALSE(fixture.send("r-4", true));
    CHECK(fixture.listener.failures == 0);
}

TEST_CASE("each sending of a request gets its own answer, whatever its server repeats", "[gateway]")
{
    rc::prop("answers are repeated late, once or several times", [] {
        PoolFixture fixture;
        struct Served
        {
            Tcp::socket socket;
            /// Second copies of answers that are still to be sent, as their ids and signatures.
            std::vector<std::pair<std::string, std::string>> copies;
        };
        std::vector<std::unique_ptr<Served>> connections;
        for (int i = 0; i < 25; ++i) {
            const std::string id = "r-" + std::to_string(*rc::gen::inRange(0, 4));
            const std::shared_ptr<BackendConnection> used =
                fixture.send(id, *rc::gen::arbitrary<bool>());
            RC_ASSERT(used);
            Served *serving = nullptr;
            if (fixture.server.isCalled()) {
                connections.push_back(std::make_unique<Served>(Served{fixture.accept(), {}}));
                serving = connections.back().get();
            }
            for (const auto &it : connections) {
                if (!serving && LoopbackServer::isReadable(it->socket.native_handle())
                    && !LoopbackServer::readRequest(it->socket).empty())
                    serving = it.get();
            }
            RC_ASSERT(serving);
            const std::string signature = std::to_string(i);
            const auto answer = [&](const std::string &to, const std::string &signedWith) {
                LoopbackServer::answer(serving->socket, to, "503 Full",
                                       "Signature: " + signedWith + "\r\n");
            };
            const std::size_t late =
                std::min<std::size_t>(serving->copies.size(), *rc::gen::inRange(0, 3));
            for (std::size_t n = 0; n < late; ++n) {
                answer(serving->copies.front().first, serving->copies.front().second);
                serving->copies.erase(serving->copies.begin());
            }
            answer(id, signature);
            fixture.waitForAnswer();
            RC_ASSERT(fixture.listener.lastSignature == signature);
            for (int n = *rc::gen::inRange(0, 3); n > 0; --n)
                serving->copies.emplace_back(id, signature);
        }
        RC_ASSERT(fixture.listener.failures == 0);
    });
}

TEST_CASE("a notice of a server is noticed on answers to any request", "[gateway]")
{
    // Guards against the notice of an answer that belongs to no open request: the server counts the
    // time from that answer on.
    PoolFixture fixture;
    const std::shared_ptr<BackendConnection> connection = fixture.send("r-1", true);
    Tcp::socket socket = fixture.accept();
    LoopbackServer::answer(socket, "r-0", "503 Full", "Retry-After: 3\r\n");
    LoopbackServer::answer(socket, "r-1", "200 OK", "Leaving: 1\r\n");
    fixture.waitForAnswer();
    REQUIRE(fixture.notices.size() == 2);
    CHECK(fixture.notices[0].backoff == std::chrono::seconds(3));
    CHECK(fixture.notices[1].isLeaving);
    CHECK(fixture.written == 1);
}

TEST_CASE("an attempt that waits for its connection is withdrawn when its server wants no requests",
          "[gateway]")
{
    // Guards against requests that reach a server although they could still be sent elsewhere: they
    // were assigned to it before it turned another request away.
    PoolFixture fixture;
    const std::shared_ptr<BackendConnection> sent = fixture.send("r-1", true);
    Tcp::socket socket = fixture.accept();
    const std::shared_ptr<BackendConnection> unsent = fixture.send("r-2", true);
    fixture.withdrawUnsent();
    CHECK(fixture.listener.failures == 1);
    CHECK(fixture.listener.lastFailure.outcome == Routing::AttemptOutcome::Withdrawn);
    CHECK_FALSE(fixture.listener.lastFailure.maybeSent);
    fixture.poll();
    CHECK(fixture.written == 1);
    // The attempt that was sent goes on.
    LoopbackServer::answer(socket, "r-1");
    fixture.waitForAnswer();
    CHECK(fixture.listener.failures == 1);
}

// Guards against a 1xx answer that is passed on as the final one.
TEST_CASE("a 1xx answer with the request's id is passed over", "[gateway]")
{
    PoolFixture fixture;
    const std::shared_ptr<BackendConnection> connection = fixture.send("r-1", true);
    Tcp::socket socket = fixture.accept();
    const std::string interim = "HTTP/1.1 103 Early Hints\r\nRequest-Id: r-1\r\n\r\n";
    boost::asio::write(socket, boost::asio::buffer(interim + interim));
    LoopbackServer::answer(socket, "r-1");
    fixture.waitForAnswer();
    CHECK(fixture.listener.started == 1);
    CHECK(fixture.listener.lastSignature == "s");
    CHECK(fixture.listener.failures == 0);
    CHECK(connection->isIdle());
}

// Guards against a cut answer on a kept connection that is passed on as whole.
TEST_CASE("an answer that is cut off behind other answers fails", "[gateway]")
{
    const std::string late = "HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nContent-Length: 2\r\n\r\nok";
    const std::string interim = "HTTP/1.1 103 Early Hints\r\nRequest-Id: r-2\r\n\r\n";
    const std::string sized = "HTTP/1.1 200 OK\r\nRequest-Id: r-2\r\nContent-Length: 2\r\n\r\nok";
    const std::string before = GENERATE_COPY(std::string(), late, interim, late + interim);
    const bool isReset = GENERATE(false, true);
    for (std::size_t n = 0; n < sized.size(); ++n) {
        std::string sent = before;
        sent.append(sized, 0, n);
        CAPTURE(sent, isReset);
        PoolFixture fixture;
        const std::shared_ptr<BackendConnection> connection = fixture.send("r-1", true);
        fixture.poll();
        Tcp::socket socket = fixture.serve("r-1");
        REQUIRE(fixture.send("r-2", true) == connection);
        fixture.poll();
        REQUIRE_FALSE(LoopbackServer::readRequest(socket).empty());
        boost::asio::write(socket, boost::asio::buffer(sent));
        if (isReset)
            socket.set_option(boost::asio::socket_base::linger(true, 0));
        socket.close();
        for (int i = 0; i < 1000 && fixture.listener.failures == 0; ++i) {
            fixture.poll();
            usleep(1000);
        }
        CHECK(fixture.listener.failures == 1);
        CHECK(fixture.listener.answers == 1);
    }
}
