#include "fakeexchangeport.h"

#include <catch2/catch.hpp>

#include <memory>
#include <string>
#include <vector>

using namespace Gateway;
using std::chrono::milliseconds;

namespace {

constexpr auto stream = Routing::WorkKind::ResumableStream;

void listVersion(FakeExchangePort &port, const std::string &version)
{
    port.memory().streamOrigins().recordVersion({"app", version}, port.now(), port.now());
}

} // namespace

// Guards against streams that go on at another version than the one that began them, taken up at a
// host that has not heard of it yet.
TEST_CASE("a stream of unknown origin waits for a proof that was asked for after it came",
          "[gateway]")
{
    FakeExchangePort port;
    RecordingSink sink;
    listVersion(port, "v1");
    port.memory().streamOrigins().setVersionsProvedAt(port.now() - milliseconds(1));
    const std::shared_ptr<Exchange> exchange = port.exchange(sink, stream, "s-1");
    CHECK(exchange->waitsForProof());
    CHECK(port.submissions == 0);
    REQUIRE(port.proofWantedFor.has_value());
    CHECK(*port.proofWantedFor == exchange->readAt());
    exchange->checkTime(port.now());
    CHECK(port.submissions == 0);
    SECTION("it goes on if no other version has joined")
    {
        port.memory().streamOrigins().setVersionsProvedAt(port.now());
        exchange->checkTakeUp();
        CHECK(port.submissions == 1);
        CHECK(sink.statuses.empty());
    }
    SECTION("it is refused, and has not run, if another version has joined")
    {
        listVersion(port, "v2");
        port.memory().streamOrigins().setVersionsProvedAt(port.now());
        exchange->checkTakeUp();
        CHECK(port.submissions == 0);
        CHECK(sink.statuses == std::vector<unsigned>{503});
        CHECK(exchange->isFinished());
    }
    SECTION("it is refused if there is no proof in time")
    {
        port.clockOffset += milliseconds(1100);
        exchange->checkTime(port.now());
        CHECK(port.submissions == 0);
        CHECK(sink.statuses == std::vector<unsigned>{503});
        CHECK(port.ended == std::vector<std::string>{"stream_unknown"});
    }
    SECTION("its caller may leave meanwhile")
    {
        exchange->callerGone();
        CHECK(port.ended == std::vector<std::string>{"caller_gone"});
        CHECK(sink.statuses.empty());
        port.memory().streamOrigins().setVersionsProvedAt(port.now());
        exchange->checkTakeUp();
        CHECK(port.submissions == 0);
    }
    SECTION("the process may stop meanwhile")
    {
        exchange->endForShutdown(Base::Milliseconds(50));
        CHECK(sink.statuses == std::vector<unsigned>{503});
        CHECK(exchange->isFinished());
    }
}

TEST_CASE("a stream of known origin goes on at once", "[gateway]")
{
    FakeExchangePort port;
    RecordingSink sink;
    listVersion(port, "v1");
    port.memory().recordStreamBegun(Routing::streamId({}, "s-1"), {"app", "v1"}, port.now());
    const std::shared_ptr<Exchange> exchange = port.exchange(sink, stream, "s-1");
    CHECK(port.submissions == 1);
    CHECK_FALSE(port.proofWantedFor.has_value());
}
