#include "fakeexchangeport.h"

#include <catch2/catch.hpp>

#include <sys/resource.h>
#include <unistd.h>

#include <memory>
#include <string>
#include <vector>

using namespace Gateway;

namespace {

constexpr const char *endsWithConnection = "HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nSignature: s\r\n";
constexpr const char *eventStreamField = "Content-Type: text/event-stream\r\n\r\n";

void write(Tcp::socket &socket, const std::string &text)
{
    boost::asio::write(socket, boost::asio::buffer(text));
}

std::string eventText(int id)
{
    return "id: " + std::to_string(id) + "\ndata: x\n\n";
}

/// A stream without a length, of which two events have come.
struct BegunStream
{
    explicit BegunStream(Routing::WorkKind kind)
        : exchange(port.exchange(sink, kind))
    {
        exchange->placed(port.placement());
        socket.emplace(port.acceptRequest());
        write(*socket,
              std::string(endsWithConnection) + eventStreamField + eventText(1) + eventText(2));
        REQUIRE(port.pollUntil([&] { return sink.text == eventText(1) + eventText(2); }));
    }

    FakeExchangePort port{2};
    RecordingSink sink;
    std::shared_ptr<Exchange> exchange;
    std::optional<Tcp::socket> socket;
};

} // namespace

// Guards against streams that end as complete since their server's process was killed.
TEST_CASE("a stream without a length goes on elsewhere if its server has ended", "[gateway]")
{
    BegunStream it(Routing::WorkKind::ResumableStream);
    it.port.backend().end();
    it.socket->close();
    REQUIRE(it.port.pollUntil([&] { return it.port.submissions == 2; }));
    CHECK_FALSE(it.sink.isEnded);
    CHECK(it.port.outcomes == std::vector{Routing::AttemptOutcome::Broken});
    it.exchange->placed(it.port.placement(2));
    Tcp::socket other = it.port.acceptRequest(2);
    write(other, std::string(endsWithConnection) + eventStreamField + eventText(3));
    other.close();
    REQUIRE(it.port.pollUntil([&] { return it.exchange->isFinished(); }));
    CHECK(it.sink.isEnded);
    CHECK(it.sink.text == eventText(1) + eventText(2) + eventText(3));
    CHECK(it.port.logText().find("\"fault\":\"server_ended\"") != std::string::npos);
}

// Guards against the same where no other server may go on.
TEST_CASE("a stream that may not be resumed is cut off if its server has ended", "[gateway]")
{
    BegunStream it(Routing::WorkKind::Stream);
    it.port.backend().end();
    it.socket->close();
    REQUIRE(it.port.pollUntil([&] { return it.exchange->isFinished(); }));
    CHECK(it.sink.isCutOff);
    CHECK_FALSE(it.sink.isEnded);
}

// Guards against short bodies that are framed as whole, since their server's process was killed.
TEST_CASE("an answer without a length is not whole if its server has ended", "[gateway]")
{
    FakeExchangePort port;
    RecordingSink sink;
    const std::shared_ptr<Exchange> exchange =
        port.exchange(sink, Routing::WorkKind::NotIdempotent);
    exchange->placed(port.placement());
    Tcp::socket socket = port.acceptRequest();
    write(socket, std::string(endsWithConnection) + "\r\nhalf");
    port.poll();
    port.backend().end();
    socket.close();
    REQUIRE(port.pollUntil([&] { return exchange->isFinished(); }));
    CHECK(sink.statuses == std::vector<unsigned>{502});
}

TEST_CASE("an answer without a length is whole while its server listens", "[gateway]")
{
    BegunStream it(Routing::WorkKind::ResumableStream);
    it.socket->close();
    REQUIRE(it.port.pollUntil([&] { return it.exchange->isFinished(); }));
    CHECK(it.sink.isEnded);
    CHECK(it.port.submissions == 1);
    // The connection that was opened to see it takes the next request.
    REQUIRE(it.port.backend().isCalled());
    Tcp::socket kept = it.port.backend().accept();
    RecordingSink sink;
    const std::shared_ptr<Exchange> next = it.port.exchange(sink, Routing::WorkKind::Idempotent);
    next->placed(it.port.placement());
    REQUIRE(it.port.pollUntil([&] { return LoopbackServer::isReadable(kept.native_handle()); }));
    CHECK_FALSE(it.port.backend().isCalled());
}

// Guards against a new connection for each answer of a server that is known to live.
TEST_CASE("no connection is made while another one to the server is open", "[gateway]")
{
    BegunStream it(Routing::WorkKind::ResumableStream);
    RecordingSink sink;
    const std::shared_ptr<Exchange> other = it.port.exchange(sink, Routing::WorkKind::Idempotent);
    other->placed(it.port.placement());
    const Tcp::socket open = it.port.acceptRequest();
    it.socket->close();
    REQUIRE(it.port.pollUntil([&] { return it.exchange->isFinished(); }));
    CHECK(it.sink.isEnded);
    CHECK_FALSE(it.port.backend().isCalled());
}

// Guards against an answer that nobody waits for any more.
TEST_CASE("a caller who leaves while the end is in doubt ends the request", "[gateway]")
{
    BegunStream it(Routing::WorkKind::ResumableStream);
    it.socket->close();
    it.port.poll();
    it.exchange->callerGone();
    CHECK(it.exchange->isFinished());
    it.port.pollUntil([&] { return it.port.backend().isCalled(); });
    CHECK(it.port.ended == std::vector<std::string>{"caller_gone"});
    CHECK_FALSE(it.sink.isEnded);
}

// Guards against a server's new address as a proof of life of what ran at the old one.
TEST_CASE("a server that has started again elsewhere under its id has ended", "[gateway]")
{
    BegunStream it(Routing::WorkKind::Stream);
    it.port.moveServer();
    RecordingSink sink;
    const std::shared_ptr<Exchange> other = it.port.exchange(sink, Routing::WorkKind::Idempotent);
    other->placed(it.port.placement());
    const Tcp::socket open = it.port.acceptRequest(2);
    it.port.backend().end();
    it.socket->close();
    REQUIRE(it.port.pollUntil([&] { return it.exchange->isFinished(); }));
    CHECK(it.sink.isCutOff);
    CHECK_FALSE(it.sink.isEnded);
}

// Guards against a successor at the same address that passes for the server that has ended.
TEST_CASE("a successor at the address of a server does not make its answer whole", "[gateway]")
{
    BegunStream it(Routing::WorkKind::Stream);
    it.port.backend().end();
    it.socket->close();
    it.port.poll();
    it.port.backend().restart();
    REQUIRE(it.port.pollUntil([&] { return it.exchange->isFinished(); }));
    CHECK(it.sink.isCutOff);
    CHECK_FALSE(it.sink.isEnded);
}

// Guards against the same with a connection of another request to the successor.
TEST_CASE("a later connection does not make an answer whole", "[gateway]")
{
    BegunStream it(Routing::WorkKind::Stream);
    it.port.backend().end();
    it.socket->close();
    it.port.poll();
    it.port.backend().restart();
    RecordingSink sink;
    const std::shared_ptr<Exchange> other = it.port.exchange(sink, Routing::WorkKind::Idempotent);
    other->placed(it.port.placement());
    REQUIRE(it.port.pollUntil([&] { return it.exchange->isFinished(); }));
    CHECK(it.sink.isCutOff);
    CHECK_FALSE(it.sink.isEnded);
}

// Guards against the same while the end has not been read yet, since the caller is slow.
TEST_CASE("a successor does not make the answer to a slow caller whole", "[gateway]")
{
    BegunStream it(Routing::WorkKind::Stream);
    it.sink.isFull = true;
    write(*it.socket, eventText(3));
    REQUIRE(it.port.pollUntil([&] { return it.sink.text.ends_with(eventText(3)); }));
    it.port.backend().end();
    it.socket->close();
    for (int i = 0; i < 100; ++i) {
        it.port.poll();
        usleep(1000);
    }
    it.port.backend().restart();
    it.sink.isFull = false;
    it.exchange->outputDrained();
    REQUIRE(it.port.pollUntil([&] { return it.exchange->isFinished(); }));
    CHECK(it.sink.isCutOff);
    CHECK_FALSE(it.sink.isEnded);
}

// Guards against a connection that the kernel of an ending server still takes up.
TEST_CASE("a connection that ends at once does not make an answer whole", "[gateway]")
{
    BegunStream it(Routing::WorkKind::Stream);
    it.socket->close();
    REQUIRE(it.port.pollUntil([&] { return it.port.backend().isCalled(); }));
    it.port.poll();
    it.port.backend().end();
    REQUIRE(it.port.pollUntil([&] { return it.exchange->isFinished(); }));
    CHECK(it.sink.isCutOff);
    CHECK_FALSE(it.sink.isEnded);
}

// Guards against connections that end one after the other.
TEST_CASE("an answer is not whole if all connections to its server end", "[gateway]")
{
    BegunStream it(Routing::WorkKind::Stream);
    RecordingSink sink;
    const std::shared_ptr<Exchange> other = it.port.exchange(sink, Routing::WorkKind::Idempotent);
    other->placed(it.port.placement());
    Tcp::socket open = it.port.acceptRequest();
    it.port.backend().end();
    it.socket->close();
    it.port.poll();
    open.close();
    it.port.poll();
    it.port.backend().restart();
    REQUIRE(it.port.pollUntil([&] { return it.exchange->isFinished(); }));
    CHECK(it.sink.isCutOff);
    CHECK_FALSE(it.sink.isEnded);
}

// Guards against an interim answer that passes for the answer since it repeats the request's id.
TEST_CASE("an interim answer that names its request is not the answer", "[gateway]")
{
    FakeExchangePort port;
    RecordingSink sink;
    const std::shared_ptr<Exchange> exchange = port.exchange(sink, Routing::WorkKind::Idempotent);
    exchange->placed(port.placement());
    Tcp::socket socket = port.acceptRequest();
    write(socket, "HTTP/1.1 103 Early Hints\r\nRequest-Id: r-1\r\n\r\n");
    LoopbackServer::answer(socket, "r-1");
    REQUIRE(port.pollUntil([&] { return exchange->isFinished(); }));
    CHECK(sink.statuses == std::vector<unsigned>{200});
}

// Guards against connections that count for ever since no descriptor was left to open them.
TEST_CASE("a connection that could not be opened does not count", "[gateway]")
{
    FakeExchangePort port;
    port.backends().setConnectionLimit(1);
    RecordingSink sink;
    const std::shared_ptr<Exchange> failed = port.exchange(sink, Routing::WorkKind::Idempotent);
    const int lowest = dup(STDIN_FILENO);
    close(lowest);
    rlimit limit{};
    getrlimit(RLIMIT_NOFILE, &limit);
    const rlimit none{static_cast<rlim_t>(lowest), limit.rlim_max};
    setrlimit(RLIMIT_NOFILE, &none);
    failed->placed(port.placement());
    port.poll();
    setrlimit(RLIMIT_NOFILE, &limit);
    CHECK(port.outcomes == std::vector{Routing::AttemptOutcome::Unreachable});
    failed->placed(port.placement());
    CHECK(port.outcomes == std::vector{Routing::AttemptOutcome::Unreachable});
    port.acceptRequest();
}
