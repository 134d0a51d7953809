#include "fakeexchangeport.h"

#include <catch2/catch.hpp>

#include <memory>
#include <string>
#include <vector>

using namespace Gateway;

// Guards against servers that work for callers who left before their request was read.
TEST_CASE("a request whose caller has left is not sent", "[gateway]")
{
    FakeExchangePort port;
    RecordingSink sink;
    const std::shared_ptr<Exchange> exchange = port.exchange(sink, Routing::WorkKind::Idempotent);
    REQUIRE(port.submissions == 1);
    sink.isGone = true;
    exchange->placed(port.placement());
    port.poll();
    CHECK_FALSE(port.backend().isCalled());
    CHECK(exchange->isFinished());
    CHECK(port.ended == std::vector<std::string>{"caller_gone"});
    // The server's slot is free again, and the server is not blamed.
    CHECK(port.outcomes == std::vector{Routing::AttemptOutcome::Withdrawn});
}

TEST_CASE("a request whose caller waits is sent to its server", "[gateway]")
{
    FakeExchangePort port;
    RecordingSink sink;
    const std::shared_ptr<Exchange> exchange = port.exchange(sink, Routing::WorkKind::Idempotent);
    exchange->placed(port.placement());
    Tcp::socket socket = port.acceptRequest();
    LoopbackServer::answer(socket, "r-1");
    port.pollUntil([&] { return !sink.statuses.empty(); });
    CHECK(sink.statuses == std::vector<unsigned>{200});
    CHECK(port.outcomes == std::vector{Routing::AttemptOutcome::Served});
}

// Guards against the use of connections that are gone, by requests that run on without a caller.
TEST_CASE("a request that fails on a busy host leaves the connection of a lost caller alone",
          "[gateway]")
{
    FakeExchangePort port;
    port.isHostBusy = true;
    RecordingSink sink;
    const std::shared_ptr<Exchange> exchange =
        port.exchange(sink, Routing::WorkKind::NotIdempotent);
    exchange->placed(port.placement());
    Tcp::socket socket = port.acceptRequest();
    exchange->callerGone();
    REQUIRE_FALSE(exchange->isFinished());
    LoopbackServer::answer(socket, "r-1", "503 Service Unavailable", "Not-Run: full\r\n");
    CHECK(port.pollUntil([&] { return exchange->isFinished(); }));
    CHECK_FALSE(sink.isClosedAfterAnswer);
    CHECK(sink.statuses.empty());
}

// Guards against a promise that a request has not run, which its server runs: the second copy of a
// refusal passes for the answer to the next sending.
TEST_CASE("a request that was refused and then runs is not answered by the refusal's copy",
          "[gateway]")
{
    const bool isRepeatable = GENERATE(false, true);
    FakeExchangePort port;
    RecordingSink sink;
    const std::shared_ptr<Exchange> exchange = port.exchange(
        sink, isRepeatable ? Routing::WorkKind::Idempotent : Routing::WorkKind::NotIdempotent);
    exchange->placed(port.placement());
    Tcp::socket first = port.acceptRequest();
    const auto refuse = [&] {
        LoopbackServer::answer(first, "r-1", "503 Service Unavailable", "Not-Run: full\r\n");
    };
    refuse();
    REQUIRE(port.pollUntil([&] { return port.submissions == 2; }));
    exchange->placed(port.placement());
    Tcp::socket second = port.acceptRequest();
    refuse();
    port.poll();
    CHECK_FALSE(exchange->isFinished());
    LoopbackServer::answer(second, "r-1");
    REQUIRE(port.pollUntil([&] { return exchange->isFinished(); }));
    CHECK(sink.statuses == std::vector<unsigned>{200});
    CHECK(port.submissions == 2);
}

// Guards against requests that end without an answer since the process stops.
TEST_CASE("an open request gets a final answer that tells whether it may have run", "[gateway]")
{
    FakeExchangePort port;
    RecordingSink sink;
    const std::shared_ptr<Exchange> exchange =
        port.exchange(sink, Routing::WorkKind::NotIdempotent);
    SECTION("it was not sent yet")
    {
        exchange->endForShutdown(Base::Milliseconds(50));
        CHECK(sink.statuses == std::vector<unsigned>{503});
        CHECK(sink.text.find(R"("ran":"no")") != std::string::npos);
    }
    SECTION("it was sent")
    {
        exchange->placed(port.placement());
        const Tcp::socket socket = port.acceptRequest();
        exchange->endForShutdown(Base::Milliseconds(50));
        CHECK(sink.statuses == std::vector<unsigned>{502});
        CHECK(sink.text.find(R"("ran":"unknown")") != std::string::npos);
        CHECK(port.outcomes == std::vector{Routing::AttemptOutcome::Withdrawn});
    }
    CHECK(exchange->isFinished());
    CHECK_FALSE(sink.isCutOff);
    exchange->endForShutdown(Base::Milliseconds(50));
    CHECK(sink.statuses.size() == 1);
}
