#include "fakeexchangeport.h"

#include <catch2/catch.hpp>

#include <memory>
#include <string>
#include <vector>

using namespace Gateway;

namespace {

/// Longer than a begun stream's server may be silent before another one is asked.
constexpr Base::Duration longSilence = std::chrono::milliseconds(1500);

std::string eventText(int id)
{
    return "id: " + std::to_string(id) + "\ndata: x\n\n";
}

void write(Tcp::socket &socket, const std::string &text)
{
    boost::asio::write(socket, boost::asio::buffer(text));
}

/// Begins the answer of a stream, which has no length and ends with its connection.
void beginStream(Tcp::socket &socket)
{
    write(socket, "HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nSignature: s\r\n"
                  "Content-Type: text/event-stream\r\n\r\n");
}

Routing::Rejection rejection(Routing::WorkId work)
{
    Routing::Rejection it;
    it.work = work;
    it.reason = Routing::RejectionReason::TooLate;
    return it;
}

/// A resumable stream whose first server has sent one event and then paused for so long that
/// another server is asked for.
struct PausedStream
{
    explicit PausedStream(int servers)
        : port(servers)
        , exchange(port.exchange(sink, Routing::WorkKind::ResumableStream))
    {
        exchange->placed(port.placement(1));
        first.emplace(port.acceptRequest(1));
        beginStream(*first);
        write(*first, eventText(1));
        REQUIRE(port.pollUntil([&] { return !sink.text.empty(); }));
        pass(longSilence);
        REQUIRE(port.submissions == 2);
    }
    void pass(Base::Duration time)
    {
        port.clockOffset += time;
        exchange->checkTime(port.now());
    }
    /// Ends the stream at \a server, after event 2.
    void end(Tcp::socket &server)
    {
        write(server, eventText(2));
        server.close();
        port.pollUntil([&] { return exchange->isFinished(); });
    }
    bool isWhole() const
    {
        return sink.isEnded && !sink.isCutOff && sink.text == eventText(1) + eventText(2);
    }

    RecordingSink sink;
    FakeExchangePort port;
    std::shared_ptr<Exchange> exchange;
    std::optional<Tcp::socket> first;
};

} // namespace

// Guards against answers that are cut off although their server only paused.
TEST_CASE("a begun stream goes on after a pause if it is refused elsewhere", "[gateway][pause]")
{
    PausedStream stream(1);
    stream.exchange->rejected(rejection(stream.port.submitted));
    REQUIRE_FALSE(stream.sink.isCutOff);
    stream.end(*stream.first);
    CHECK(stream.isWhole());
}

// Guards against answers that are cut off although their server only paused.
TEST_CASE("a begun stream goes on after a pause if the other server refuses it", "[gateway][pause]")
{
    PausedStream stream(2);
    stream.exchange->placed(stream.port.placement(2));
    Tcp::socket second = stream.port.acceptRequest(2);
    LoopbackServer::answer(second, "r-1", "503 Service Unavailable", "Not-Run: full\r\n");
    const unsigned before = stream.port.submissions;
    stream.port.pollUntil([&] { return stream.sink.isCutOff || stream.port.submissions > before; });
    if (stream.port.submissions > before)
        stream.exchange->rejected(rejection(stream.port.submitted));
    REQUIRE_FALSE(stream.sink.isCutOff);
    stream.end(*stream.first);
    CHECK(stream.isWhole());
}

// Guards against answers that are cut off although their server only paused.
TEST_CASE("a begun stream goes on after a pause if the other server sends no events",
          "[gateway][pause]")
{
    PausedStream stream(2);
    stream.exchange->placed(stream.port.placement(2));
    Tcp::socket second = stream.port.acceptRequest(2);
    LoopbackServer::answer(second, "r-1", "400 Bad Request", "");
    REQUIRE(stream.port.pollUntil([&] { return stream.port.outcomes.size() == 1; }));
    if (stream.port.submissions > 2)
        stream.exchange->rejected(rejection(stream.port.submitted));
    REQUIRE_FALSE(stream.sink.isCutOff);
    stream.end(*stream.first);
    CHECK(stream.isWhole());
}

// Guards against an empty answer that makes a stream look complete while its server goes on.
TEST_CASE("a begun stream goes on after a pause if the other server answers with no event",
          "[gateway][pause]")
{
    PausedStream stream(2);
    stream.exchange->placed(stream.port.placement(2));
    Tcp::socket second = stream.port.acceptRequest(2);
    beginStream(second);
    second.close();
    REQUIRE(stream.port.pollUntil([&] { return stream.port.outcomes.size() == 1; }));
    if (stream.port.submissions > 2)
        stream.exchange->rejected(rejection(stream.port.submitted));
    REQUIRE_FALSE(stream.sink.isEnded);
    stream.end(*stream.first);
    CHECK(stream.isWhole());
}

// Guards against two servers that work on one stream for as long as an event takes to arrive.
TEST_CASE("a begun stream leaves its server at the first byte of another one", "[gateway][pause]")
{
    PausedStream stream(2);
    stream.exchange->placed(stream.port.placement(2));
    Tcp::socket second = stream.port.acceptRequest(2);
    beginStream(second);
    write(second, "id: 2\n");
    REQUIRE(stream.port.pollUntil([&] { return !stream.exchange->hasSilentAttempt(); }));
    REQUIRE(stream.port.pollUntil(
        [&] { return LoopbackServer::isReadable(stream.first->native_handle()); }));
    CHECK(LoopbackServer::readRequest(*stream.first).empty());
}

// Guards against silent servers that use up the budget of retries, and that nobody learns of.
TEST_CASE("a silent server is blamed once, and others are sought seldom", "[gateway][pause]")
{
    PausedStream stream(1);
    for (int i = 0; i < 600 && !stream.exchange->isFinished(); ++i) {
        if (stream.exchange->hasSilentAttempt())
            stream.exchange->rejected(rejection(stream.port.submitted));
        stream.pass(std::chrono::milliseconds(50));
    }
    CHECK(stream.exchange->isFinished());
    CHECK(stream.port.silences == 1);
    // One retry is taken, which is not used.
    CHECK(stream.port.retries == 1);
    CHECK(stream.port.submissions < 8);
    CHECK(stream.port.outcomes == std::vector{Routing::AttemptOutcome::Silent});
}

// Guards against work that is thrown away when a server goes on before the other one has begun.
TEST_CASE("a begun stream goes on at its own server if that one is first", "[gateway][pause]")
{
    PausedStream stream(2);
    stream.exchange->placed(stream.port.placement(2));
    Tcp::socket second = stream.port.acceptRequest(2);
    stream.end(*stream.first);
    CHECK(stream.isWhole());
    // The other server is told to stop, and is not blamed.
    const std::vector outcomes{Routing::AttemptOutcome::Withdrawn, Routing::AttemptOutcome::Served};
    CHECK(stream.port.outcomes == outcomes);
    REQUIRE(
        stream.port.pollUntil([&] { return LoopbackServer::isReadable(second.native_handle()); }));
    CHECK(LoopbackServer::readRequest(second).empty());
}

// Guards against a request that two servers work on.
TEST_CASE("a begun stream leaves its server if another one is first", "[gateway][pause]")
{
    PausedStream stream(2);
    stream.exchange->placed(stream.port.placement(2));
    Tcp::socket second = stream.port.acceptRequest(2);
    beginStream(second);
    stream.end(second);
    CHECK(stream.isWhole());
    const std::vector outcomes{Routing::AttemptOutcome::Silent, Routing::AttemptOutcome::Served};
    CHECK(stream.port.outcomes == outcomes);
    REQUIRE(stream.port.pollUntil(
        [&] { return LoopbackServer::isReadable(stream.first->native_handle()); }));
    CHECK(LoopbackServer::readRequest(*stream.first).empty());
}

TEST_CASE("a begun stream goes on at the other server if its own one ends", "[gateway][pause]")
{
    PausedStream stream(2);
    write(*stream.first, "id: 2\nda");
    stream.first->close();
    REQUIRE(stream.port.pollUntil([&] { return !stream.exchange->hasSilentAttempt(); }));
    stream.exchange->placed(stream.port.placement(2));
    Tcp::socket second = stream.port.acceptRequest(2);
    beginStream(second);
    stream.end(second);
    CHECK(stream.isWhole());
}

// Guards against a second server that works for a caller who has left.
TEST_CASE("both servers stop when the caller of a paused stream leaves", "[gateway][pause]")
{
    PausedStream stream(2);
    stream.exchange->placed(stream.port.placement(2));
    Tcp::socket second = stream.port.acceptRequest(2);
    stream.exchange->callerGone();
    for (Tcp::socket *socket : {&*stream.first, &second}) {
        REQUIRE(stream.port.pollUntil(
            [&] { return LoopbackServer::isReadable(socket->native_handle()); }));
        CHECK(LoopbackServer::readRequest(*socket).empty());
    }
    CHECK(stream.exchange->isFinished());
}

// Guards against answers that are thrown away although their server only paused.
TEST_CASE("a whole answer after a pause is passed on if no other server answers",
          "[gateway][pause]")
{
    FakeExchangePort port(2);
    RecordingSink sink;
    const std::shared_ptr<Exchange> exchange = port.exchange(sink, Routing::WorkKind::Idempotent);
    exchange->placed(port.placement(1));
    Tcp::socket first = port.acceptRequest(1);
    port.clockOffset += longSilence;
    exchange->checkTime(port.now());
    REQUIRE(port.submissions == 2);
    SECTION("since it is refused elsewhere")
    {
        exchange->rejected(rejection(port.submitted));
    }
    SECTION("since the other server fails")
    {
        exchange->placed(port.placement(2));
        Tcp::socket second = port.acceptRequest(2);
        LoopbackServer::answer(second, "r-1", "500 Internal Server Error", "");
        REQUIRE(port.pollUntil([&] { return port.outcomes.size() == 1; }));
    }
    CHECK(sink.statuses.empty());
    LoopbackServer::answer(first, "r-1");
    port.pollUntil([&] { return exchange->isFinished(); });
    CHECK(sink.statuses == std::vector<unsigned>{200});
}

// Guards against a slow caller for whose pause its server is blamed.
TEST_CASE("a server that this host does not read is not taken for silent", "[gateway][pause]")
{
    FakeExchangePort port(1);
    RecordingSink sink;
    const std::shared_ptr<Exchange> exchange =
        port.exchange(sink, Routing::WorkKind::ResumableStream);
    exchange->placed(port.placement(1));
    Tcp::socket first = port.acceptRequest(1);
    sink.isFull = true;
    beginStream(first);
    write(first, eventText(1));
    REQUIRE(port.pollUntil([&] { return !sink.text.empty(); }));
    // The caller has read a part of what is held back.
    sink.isFull = false;
    port.clockOffset += longSilence;
    exchange->checkTime(port.now());
    CHECK(port.submissions == 1);
    exchange->outputDrained();
    exchange->checkTime(port.now());
    CHECK(port.submissions == 1);
    write(first, eventText(2));
    first.close();
    port.pollUntil([&] { return exchange->isFinished(); });
    CHECK(sink.text == eventText(1) + eventText(2));
}
