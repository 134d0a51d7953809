#include "clientfixture.h"
#include "scriptedserver.h"

#include "support/oddbytes.h"

#include <catch2/catch.hpp>

namespace {

using namespace Daemon;
using Node::SendState;

const std::string chatHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                             "X-Stream-Name: s1\r\nConnection: close\r\n\r\n";
const std::string emptyAnswer = "HTTP/1.1 204 No Content\r\n\r\n";

std::string event(int index, const std::string &content)
{
    return "id: " + std::to_string(index) + "\ndata: {\"choices\":[{\"delta\":{\"content\":\""
           + content + "\"}}]}\n\n";
}

Node::BackendFailed failureAt(const std::string &address)
{
    ClientFixture fixture;
    fixture.client().send(requestTo(address));
    return fixture.expect<Node::BackendFailed>();
}

Node::BackendFailed failureWith(const ScriptedServer::Script &script)
{
    const ScriptedServer server(script);
    return failureAt(server.address());
}

Node::BackendFailed failureAnswered(const std::string &answer)
{
    return failureWith([&](ScriptedConnection &it) {
        it.readRequest();
        it.write(answer);
        it.waitForClose();
    });
}

} // namespace

TEST_CASE("A stream arrives part by part with its units, and is finished")
{
    std::string seen;
    const ScriptedServer server([&](ScriptedConnection &it) {
        seen = it.readRequest();
        it.write(chatHead + event(0, "a") + event(1, "b")
                 + "id: 2\ndata: {\"lagoonmast_tokens\":5,\"usage\":{\"prompt_tokens\":9}}\n\n"
                   "data: [DONE]\n\n");
    });
    ClientFixture fixture;
    Node::BackendRequest request = requestTo(server.address());
    request.idempotencyKey = "key";
    request.fence = 4;
    request.resumeStream = "old";
    request.resumeFrom = 0;
    fixture.client().send(request);
    CHECK(fixture.expect<Node::BackendHead>().streamName == "s1");
    CHECK(fixture.expect<Node::BackendPart>().units == 4);
    CHECK(fixture.expect<Node::BackendPart>().index == 1);
    CHECK(fixture.expect<Node::BackendPart>().units == 5 * 4 + 9);
    CHECK(fixture.expect<Node::BackendFinished>().parts == 3);
    for (const char *header : {"X-Request-Id: r1-7-3#1", "Idempotency-Key: key", "X-Fence: 4",
                               "X-Resume-Stream: old", "X-Resume-From: 0"})
        CHECK(seen.find(header) != std::string::npos);
}

// Guards against reporting work that ran as "not run", and against giving up a retry of work that
// was never sent. Both happen if a failure before the request leaves is mistaken for one during or
// after it, or the other way round.
TEST_CASE("Only a request that never left this process is reported as never sent")
{
    CHECK(failureAt(unusedAddress()).sent == SendState::NeverSent);
    CHECK(failureAt("not an address").sent == SendState::NeverSent);
    CHECK(failureWith([](ScriptedConnection &it) { it.readRequest(); }).sent
          == SendState::MaybeRan);
    CHECK(failureWith([](ScriptedConnection &it) {
              it.readRequest();
              it.reset();
          }).sent
          == SendState::MaybeRan);
    CHECK(failureWith([](ScriptedConnection &it) {
              it.readRequest();
              it.write("HTTP/1.1 200 OK\r\nContent-");
          }).sent
          == SendState::MaybeRan);
}

TEST_CASE("A failed attempt reports its status, X-Not-Run and Retry-After")
{
    const Node::BackendFailed refused = failureAnswered(
        fixedAnswer("HTTP/1.1 409 Conflict\r\nX-Not-Run: yes\r\nRetry-After: 3\r\n", "{}"));
    CHECK(refused.sent == SendState::Refused);
    CHECK(refused.status == 409);
    CHECK(refused.retryAfter == Base::Milliseconds(3000));
    const Node::BackendFailed broken =
        failureAnswered(fixedAnswer("HTTP/1.1 500 Broken\r\nRetry-After: soon\r\n", "x"));
    CHECK(broken.sent == SendState::MaybeRan);
    CHECK_FALSE(broken.retryAfter);
}

// Guards against taking part of an answer for the whole. Some parts arrive, then the server dies or
// reports an error; the end of the connection is not the end of the answer.
TEST_CASE("A stream that is cut before its end fails")
{
    const auto failsAfterOne = [](const std::string &rest) {
        const ScriptedServer server([&](ScriptedConnection &it) {
            it.readRequest();
            it.write(chatHead + event(0, "a") + rest);
        });
        ClientFixture fixture;
        fixture.client().send(requestTo(server.address()));
        fixture.expect<Node::BackendHead>();
        fixture.expect<Node::BackendPart>();
        return fixture.expect<Node::BackendFailed>().sent == SendState::MaybeRan;
    };
    CHECK(failsAfterOne(""));
    CHECK(failsAfterOne("id: 1\ndata: {\"cho"));
    CHECK(failsAfterOne("event: error\ndata: {}\n\n"));
    CHECK(failsAfterOne("data: " + std::string(2000000, 'x')));
}

// Guards against a service's answer that is cut off and is passed on as whole.
TEST_CASE("A service's answer that is cut off fails, wherever it is cut")
{
    const std::string sized = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
                              "Content-Length: 5\r\n\r\nhello";
    // The library needs no LF after the last CR. No byte of the body can be missing then.
    const std::string chunked = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
                                "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r";
    const std::string interim = "HTTP/1.1 102 Processing\r\n\r\n";
    for (const std::string &whole : {sized, chunked, interim + sized, interim + chunked}) {
        for (std::size_t n = 0; n < whole.size(); ++n) {
            for (const bool isReset : {false, true}) {
                const std::string sent = whole.substr(0, n);
                CAPTURE(sent, isReset);
                const ScriptedServer server([&](ScriptedConnection &it) {
                    it.readRequest();
                    it.write(sent);
                    if (isReset)
                        it.reset();
                });
                ClientFixture fixture;
                Node::BackendRequest request = requestTo(server.address());
                request.kind = Node::WorkKind::ServiceCall;
                fixture.client().send(request);
                Node::Event last = fixture.next();
                while (std::holds_alternative<Node::BackendHead>(last)
                       || std::holds_alternative<Node::BackendPart>(last))
                    last = fixture.next();
                CHECK(std::holds_alternative<Node::BackendFailed>(last));
            }
        }
    }
}

// Guards against a repeat of work that ran, since a field elsewhere says that it did not run.
TEST_CASE("Only the whole head of the final answer says that a request did not run")
{
    for (const char *answer : {"HTTP/1.1 103 Early Hints\r\nX-Not-Run: yes\r\n\r\n"
                               "HTTP/1.1 500 Broken\r\nContent-Length: 1\r\n\r\nx",
                               "HTTP/1.1 500 Broken\r\nTransfer-Encoding: chunked\r\n\r\n"
                               "1\r\nx\r\n0\r\nX-Not-Run: yes\r\n\r\n",
                               "HTTP/1.1 409 Conflict\r\nX-Not-Run: yes\r\nContent-"}) {
        CAPTURE(answer);
        const Node::BackendFailed failed = failureWith([&](ScriptedConnection &it) {
            it.readRequest();
            it.write(answer);
        });
        CHECK(failed.sent == SendState::MaybeRan);
    }
}

// Guards against running a call twice, such as holding a deposit twice. A call goes out on an idle
// connection that the library has kept, and the server reads it and dies before it answers. The
// library then takes the connection for one that was already dead, and sends the call again on a
// new connection by itself.
TEST_CASE("A request is never sent a second time by the library")
{
    std::atomic<int> calls = 0;
    const ScriptedServer server([&](ScriptedConnection &it) {
        while (true) {
            const std::string request = it.readRequest();
            if (request.empty())
                return;
            if (request.rfind("GET /load", 0) == 0) {
                it.write(fixedAnswer("HTTP/1.1 200 OK\r\n", "{\"running\":1}"));
                continue;
            }
            ++calls;
            return;
        }
    });
    ClientFixture fixture;
    fixture.client().pollLoad(Base::ServerId("m1"), server.address());
    CHECK(fixture.expect<Node::BackendLoad>().report.running == 1);
    fixture.client().send(requestTo(server.address()));
    CHECK(fixture.expect<Node::BackendFailed>().sent == SendState::MaybeRan);
    CHECK(calls == 1);
}

// Guards against a second answer to an older request that is taken for the answer to the next one.
TEST_CASE("An answer that came before its request is not taken for its answer", "[early]")
{
    Base::BoundedRing<int> repeated(4);
    std::atomic<int> connections = 0;
    const ScriptedServer server([&](ScriptedConnection &it) {
        const bool isFirst = connections++ == 0;
        const std::string body = isFirst ? "old" : "new";
        while (!it.readRequest().empty()) {
            it.write(fixedAnswer("HTTP/1.1 200 OK\r\n", body));
            if (!isFirst)
                continue;
            it.write(fixedAnswer("HTTP/1.1 200 OK\r\n", body));
            it.waitUntilReceived();
            repeated.push(1);
        }
    });
    ClientFixture fixture;
    for (const char *body : {"old", "new"}) {
        Node::BackendRequest request = requestTo(server.address());
        request.kind = Node::WorkKind::ServiceCall;
        fixture.client().send(request);
        fixture.expect<Node::BackendHead>();
        CHECK(fixture.expect<Node::BackendPart>().payload == body);
        fixture.expect<Node::BackendFinished>();
        if (body == std::string("old"))
            REQUIRE(repeated.popFor(std::chrono::seconds(20)));
    }
}

TEST_CASE("Work that is not repeatable gets a connection of its own")
{
    const ScriptedServer server([&](ScriptedConnection &it) {
        while (!it.readRequest().empty())
            it.write(fixedAnswer("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n", "ok"));
    });
    ClientFixture fixture;
    fixture.client().pollLoad(Base::ServerId("m1"), server.address());
    fixture.expect<Node::BackendLoad>();
    Node::BackendRequest request = requestTo(server.address());
    request.kind = Node::WorkKind::ServiceCall;
    request.idempotencyKey = "key";
    fixture.client().send(request);
    CHECK(fixture.expect<Node::BackendHead>().contentType == "text/plain");
    CHECK(fixture.expect<Node::BackendPart>().payload == "ok");
    CHECK(fixture.expect<Node::BackendFinished>().parts == 1);
    CHECK(server.connections() == 2);
}

TEST_CASE("A service's error is its answer, unless it says that it did not run")
{
    ClientFixture fixture;
    const auto callAt = [&](const ScriptedServer &server) {
        Node::BackendRequest request = requestTo(server.address());
        request.kind = Node::WorkKind::ServiceCall;
        fixture.client().send(request);
    };
    const ScriptedServer failing([](ScriptedConnection &it) {
        it.readRequest();
        it.write(fixedAnswer("HTTP/1.1 422 No\r\n", "why"));
    });
    callAt(failing);
    CHECK(fixture.expect<Node::BackendHead>().status == 422);
    CHECK(fixture.expect<Node::BackendPart>().payload == "why");
    fixture.expect<Node::BackendFinished>();
    const ScriptedServer refusing([](ScriptedConnection &it) {
        it.readRequest();
        it.write(fixedAnswer("HTTP/1.1 409 No\r\nX-Not-Run: yes\r\n", "old fence"));
    });
    callAt(refusing);
    CHECK(fixture.expect<Node::BackendFailed>().sent == SendState::Refused);
}

TEST_CASE("Cancelling a stream closes it, sends DELETE and causes no further event")
{
    Base::BoundedRing<std::string> observed(4);
    const ScriptedServer server([&](ScriptedConnection &it) {
        const std::string request = it.readRequest();
        if (request.rfind("DELETE", 0) == 0) {
            observed.push(request.substr(0, request.find("\r\n")));
            it.write(emptyAnswer);
            return;
        }
        it.write(chatHead + event(0, "a"));
        it.waitForClose();
        observed.push("closed");
    });
    ClientFixture fixture;
    const Node::BackendRequest request = requestTo(server.address());
    fixture.client().send(request);
    fixture.expect<Node::BackendHead>();
    fixture.expect<Node::BackendPart>();
    fixture.client().cancel(request.attempt);
    std::set<std::string> seen;
    for (int i = 0; i < 2; ++i)
        seen.insert(observed.popFor(std::chrono::seconds(20)).value_or("none"));
    CHECK(seen == std::set<std::string>{"DELETE /v1/streams/s1 HTTP/1.1", "closed"});
    CHECK(fixture.ring().size() == 0);
}

// Guards against memory that grows until the process dies. A caller stops reading while its server
// continues, so an answer that nobody takes must not be read from the server.
TEST_CASE("A paused stream is not read, and resumes where it stopped")
{
    constexpr int events = 4000;
    const std::string filler(8000, 'x');
    const ScriptedServer server([&](ScriptedConnection &it) {
        it.readRequest();
        it.write(chatHead);
        for (int i = 0; i < events; ++i)
            it.write(event(i, filler));
        it.write("data: [DONE]\n\n");
    });
    // Only the pause can stop the client: the ring has room for all events.
    constexpr std::size_t ringCapacity = 16000;
    ClientFixture fixture(ringCapacity);
    const Node::BackendRequest request = requestTo(server.address());
    fixture.client().send(request);
    fixture.expect<Node::BackendHead>();
    fixture.expect<Node::BackendPart>();
    fixture.client().pause(request.attempt);
    // The loop runs its tasks in order, so the stream is paused once the poll is answered. Parts
    // that were under way arrive before the answer to the poll.
    fixture.client().pollLoad(Base::ServerId("m2"), unusedAddress());
    int parts = 1;
    while (std::holds_alternative<Node::BackendPart>(fixture.next()))
        ++parts;
    REQUIRE(parts < events);
    // Meanwhile another stream of the same length arrives completely, and no part of the paused
    // one.
    Node::BackendRequest other = request;
    other.attempt.number = 2;
    fixture.client().send(other);
    for (bool isComplete = false; !isComplete;) {
        const Node::Event event = fixture.next();
        if (const auto *part = std::get_if<Node::BackendPart>(&event))
            REQUIRE(part->attempt == other.attempt);
        isComplete = std::holds_alternative<Node::BackendFinished>(event);
    }
    fixture.client().resume(request.attempt);
    for (; parts < events; ++parts)
        CHECK(fixture.expect<Node::BackendPart>().index == static_cast<std::uint64_t>(parts));
    CHECK(fixture.expect<Node::BackendFinished>().parts == events);
}

// Guards against a server's load with odd values that is used, or ends the router.
TEST_CASE("A load with too many levels or too large a number counts as unreachable")
{
    for (const std::string &odd : {deepText(manyLevels), std::string("1e999")}) {
        const ScriptedServer server([&](ScriptedConnection &it) {
            while (!it.readRequest().empty())
                it.write(fixedAnswer("HTTP/1.1 200 OK\r\n", withMember(R"({"running":1})", odd)));
        });
        ClientFixture fixture;
        fixture.client().pollLoad(Base::ServerId("m1"), server.address());
        CHECK_FALSE(fixture.expect<Node::BackendLoad>().isReachable);
    }
}

TEST_CASE("A load poll reports an unreachable server")
{
    ClientFixture fixture;
    fixture.client().pollLoad(Base::ServerId("m1"), unusedAddress());
    CHECK_FALSE(fixture.expect<Node::BackendLoad>().isReachable);
}
