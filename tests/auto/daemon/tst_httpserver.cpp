#include "scriptedserver.h"

#include "daemon/httpserver.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <map>

#include <sys/socket.h>
#include <unistd.h>

namespace {

using namespace Daemon;
using Json = nlohmann::json;

constexpr auto eventTimeout = std::chrono::seconds(20);

class FixedPage final : public MetricsPage
{
public:
    std::string text() override { return "metrics\n"; }
};

/// An HTTP server whose core is the test: the test takes the events and answers the callers.
class Fixture
{
public:
    explicit Fixture(std::size_t connections = 100, std::size_t bodyBytes = 1000,
                     std::size_t callerMemoryBytes = 1'000'000)
        : m_ring(256)
        , m_sessions(10000, m_ring)
    {
        m_state.isReady = true;
        HttpServerSettings settings;
        settings.address = "127.0.0.1:0";
        settings.connections = connections;
        settings.bodyBytes = bodyBytes;
        settings.callerMemoryBytes = callerMemoryBytes;
        settings.requestIdPrefix = "r1-1-x";
        auto created = HttpServer::create(settings, m_sessions, m_ring, m_state, m_page);
        REQUIRE(created);
        m_httpServer = std::move(*created);
    }

    std::uint16_t port() const { return m_httpServer->port(); }
    std::size_t openConnections() const { return m_httpServer->openConnections(); }
    CallerSessions &sessions() { return m_sessions; }
    ProcessState &state() { return m_state; }

    template <typename Event>
    Event expect()
    {
        const auto event = m_ring.popFor(eventTimeout);
        REQUIRE(event);
        REQUIRE(std::holds_alternative<Event>(*event));
        return std::get<Event>(*event);
    }

    /// Waits for an \a Event and skips all others.
    template <typename Event>
    Event waitFor()
    {
        while (true) {
            const auto event = m_ring.popFor(eventTimeout);
            REQUIRE(event);
            if (const auto *it = std::get_if<Event>(&*event))
                return *it;
        }
    }

    bool hasNoEvents() const { return m_ring.size() == 0; }

private:
    EventRing m_ring;
    CallerSessions m_sessions;
    ProcessState m_state;
    FixedPage m_page;
    std::unique_ptr<HttpServer> m_httpServer;
};

std::string get(const std::string &path)
{
    return "GET " + path + " HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
}

std::string post(const std::string &path, const std::string &body, const std::string &headers = {})
{
    return "POST " + path + " HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: "
           + std::to_string(body.size()) + "\r\n" + headers + "\r\n" + body;
}

std::string chat(bool isStreaming)
{
    return post("/v1/chat/completions", std::string(R"({"model":"m","messages":[],"stream":)")
                                            + (isStreaming ? "true}" : "false}"));
}

std::string bodyOf(const std::string &answer)
{
    const std::size_t end = answer.find("\r\n\r\n");
    return end == std::string::npos ? "" : answer.substr(end + 4);
}

int statusOf(const std::string &answer)
{
    return answer.size() > 12 ? std::stoi(answer.substr(9, 3)) : 0;
}

std::string typeOf(const std::string &answer)
{
    const Json json = Json::parse(bodyOf(answer), nullptr, false);
    return json.is_object() ? json["error"]["type"].get<std::string>() : "";
}

const Node::AnswerHead chatHead{"r1-1-1", 200, "text/event-stream", true};

Node::AnswerPart chunk(const std::string &content)
{
    return {R"({"id":"c","model":"m","choices":[{"index":0,"delta":{"content":")" + content
            + "\"}}]}"};
}

Node::Failure failure()
{
    Node::Failure it;
    it.type = Node::FailureType::BackendFailed;
    it.ran = Node::Ran::Unknown;
    it.retryAfter = Base::Milliseconds(1200);
    it.requestId = "r1-1-1";
    return it;
}

} // namespace

TEST_CASE("A stream is sent as events and ends with the done marker")
{
    Fixture fixture;
    const int socket = connectTo(fixture.port());
    writeTo(socket, chat(true));
    const auto asked = fixture.expect<Node::CallerRequest>();
    CHECK(asked.target == "m");
    fixture.sessions().startAnswer(asked.caller, chatHead);
    fixture.sessions().appendAnswer(asked.caller, chunk("a"));
    const std::string begin = readFrom(socket, "}]}");
    CHECK(begin.find("X-Request-Id: r1-1-1") != std::string::npos);
    CHECK(begin.find("[DONE]") == std::string::npos);
    fixture.sessions().appendAnswer(asked.caller, chunk("b"));
    fixture.sessions().finishAnswer(asked.caller);
    CHECK(readFrom(socket).find("data: [DONE]\n\n") != std::string::npos);
    ::close(socket);
    CHECK(fixture.hasNoEvents());
}

TEST_CASE("A caller that did not ask for a stream gets one completion")
{
    Fixture fixture;
    const int socket = connectTo(fixture.port());
    writeTo(socket, chat(false));
    const auto asked = fixture.expect<Node::CallerRequest>();
    fixture.sessions().startAnswer(asked.caller, chatHead);
    fixture.sessions().appendAnswer(asked.caller, chunk("a"));
    fixture.sessions().appendAnswer(asked.caller, chunk("b"));
    fixture.sessions().appendAnswer(asked.caller,
                                    {R"({"choices":[],"usage":{"prompt_tokens":3}})"});
    fixture.sessions().finishAnswer(asked.caller);
    const Json json = Json::parse(bodyOf(readFrom(socket)), nullptr, false);
    ::close(socket);
    REQUIRE(json.is_object());
    CHECK(json["object"] == "chat.completion");
    CHECK(json["choices"][0]["message"]["content"] == "ab");
    CHECK(json["usage"]["prompt_tokens"] == 3);
}

// Guards against memory that a stream without end takes whose caller wants one completion.
TEST_CASE("A completion without end is given up")
{
    Fixture fixture;
    const int socket = connectTo(fixture.port());
    writeTo(socket, chat(false));
    const auto asked = fixture.expect<Node::CallerRequest>();
    fixture.sessions().startAnswer(asked.caller, chatHead);
    for (int i = 0; i < 64; ++i)
        fixture.sessions().appendAnswer(asked.caller, chunk(std::string(1U << 20, 'x')));
    const std::string answer = readFrom(socket, "\"error\"");
    ::close(socket);
    CHECK(statusOf(answer) == 502);
    CHECK(fixture.waitFor<Node::CallerDisconnected>().caller == asked.caller);
}

// Guards against another status than that of the server, where its answer has no body.
TEST_CASE("An answer that never has a body keeps its status")
{
    for (const int status : {204, 304}) {
        CAPTURE(status);
        Fixture fixture;
        const int socket = connectTo(fixture.port());
        writeTo(socket, post("/v1/services/deposits/hold?a=b", "x"));
        const auto asked = fixture.expect<Node::CallerRequest>();
        fixture.sessions().startAnswer(asked.caller, {"id", status, "", false});
        fixture.sessions().finishAnswer(asked.caller);
        const std::string answer = readFrom(socket);
        ::close(socket);
        CHECK(statusOf(answer) == status);
    }
}

TEST_CASE("A failure is reported before and after the answer has begun")
{
    Fixture fixture;
    const auto answerOf = [&](bool isStreaming, bool isBegun) {
        const int socket = connectTo(fixture.port());
        writeTo(socket, chat(isStreaming));
        const auto asked = fixture.expect<Node::CallerRequest>();
        if (isBegun)
            fixture.sessions().startAnswer(asked.caller, chatHead);
        fixture.sessions().fail(asked.caller, failure());
        std::string answer = readFrom(socket);
        ::close(socket);
        return answer;
    };
    for (const std::string &answer :
         {answerOf(true, false), answerOf(false, false), answerOf(false, true)}) {
        CHECK(statusOf(answer) == 502);
        CHECK(typeOf(answer) == "backend_failed");
        CHECK(answer.find("Retry-After: 2\r\n") != std::string::npos);
        CHECK(answer.find("\"ran\":\"unknown\"") != std::string::npos);
    }
    const std::string begun = answerOf(true, true);
    CHECK(statusOf(begun) == 200);
    CHECK(begun.find("event: error\ndata: {\"error\"") != std::string::npos);
    CHECK(begun.find("[DONE]") == std::string::npos);
}

// Guards against taking part of a document for the whole. A service's answer has begun when its
// server dies; a body that ended properly then would look complete.
TEST_CASE("A service's answer that fails midway has no final chunk")
{
    Fixture fixture;
    const auto answerOf = [&](bool isComplete) {
        const int socket = connectTo(fixture.port());
        writeTo(socket, post("/v1/services/deposits/hold?a=b", "x"));
        const auto asked = fixture.expect<Node::CallerRequest>();
        CHECK(asked.target == "deposits");
        CHECK(asked.path == "/hold?a=b");
        fixture.sessions().startAnswer(asked.caller, {"id", 201, "text/plain", false});
        fixture.sessions().appendAnswer(asked.caller, {"half"});
        if (isComplete)
            fixture.sessions().finishAnswer(asked.caller);
        else
            fixture.sessions().fail(asked.caller, failure());
        std::string answer = readFrom(socket);
        ::close(socket);
        return answer;
    };
    const std::string lastChunk = "\r\n0\r\n";
    CHECK(answerOf(true).find(lastChunk) != std::string::npos);
    CHECK(answerOf(false).find(lastChunk) == std::string::npos);
}

// Guards against running the work of callers that gave up while others wait. A caller hangs up
// while it waits in the queue or while its stream is sent, and no thread looks at its connection.
TEST_CASE("A caller that hangs up is noticed while it waits and while it is served")
{
    Fixture fixture;
    const bool isStreaming = GENERATE(true, false);
    const bool isBegun = GENERATE(true, false);
    const int socket = connectTo(fixture.port());
    writeTo(socket, chat(isStreaming));
    const auto asked = fixture.expect<Node::CallerRequest>();
    if (isBegun) {
        fixture.sessions().startAnswer(asked.caller, chatHead);
        fixture.sessions().appendAnswer(asked.caller, chunk("a"));
    }
    ::close(socket);
    CHECK(fixture.expect<Node::CallerDisconnected>().caller == asked.caller);
}

// Guards against an answer that looks whole, though the caller's exchange was given up.
TEST_CASE("An exchange that is given up has no whole answer")
{
    Fixture fixture;
    const bool isStreaming = GENERATE(true, false);
    const bool isBegun = GENERATE(true, false);
    const bool isHalfClosed = GENERATE(true, false);
    const int socket = connectTo(fixture.port());
    writeTo(socket, chat(isStreaming));
    const auto asked = fixture.expect<Node::CallerRequest>();
    if (isBegun) {
        fixture.sessions().startAnswer(asked.caller, chatHead);
        fixture.sessions().appendAnswer(asked.caller, chunk("a"));
    }
    const bool isPartSent = isStreaming && isBegun;
    std::string answer = isPartSent ? readFrom(socket, "}]}") : "";
    if (isHalfClosed)
        ::shutdown(socket, SHUT_WR);
    else
        fixture.sessions().hangUpAll();
    answer += readFrom(socket);
    ::close(socket);
    CAPTURE(isStreaming, isBegun, isHalfClosed, answer);
    if (isPartSent) {
        CHECK(statusOf(answer) == 200);
        CHECK(answer.find("\r\n0\r\n") == std::string::npos);
        CHECK(answer.find("[DONE]") == std::string::npos);
        return;
    }
    CHECK(statusOf(answer) == 503);
    CHECK(typeOf(answer) == "shutting_down");
    CHECK(answer.find("\"ran\":\"unknown\"") != std::string::npos);
    CHECK(answer.find("X-Request-Id: r1-1-x") != std::string::npos);
}

// Guards against a caller that makes the process grow or blocks other callers. It opens a stream
// and reads nothing while its answer arrives; an unbounded buffer, or one thread for all callers,
// would cause either.
TEST_CASE("A caller that does not read blocks only its own stream")
{
    Fixture fixture;
    const int slow = connectTo(fixture.port());
    writeTo(slow, chat(true));
    const auto asked = fixture.expect<Node::CallerRequest>();
    fixture.sessions().startAnswer(asked.caller, chatHead);
    std::vector<Node::Event> ownEvents;
    std::size_t sent = 0;
    // The system's own buffers accept several megabytes first.
    constexpr std::size_t maxSentBytes = 100000000;
    while (ownEvents.empty() && sent < maxSentBytes) {
        fixture.sessions().appendAnswer(asked.caller, chunk(std::string(1000, 'x')));
        sent += 1000;
        ownEvents = fixture.sessions().takeEvents();
    }
    REQUIRE(ownEvents.size() == 1);
    CHECK(std::get<Node::CallerBlocked>(ownEvents.front()).caller == asked.caller);

    CHECK(statusOf(exchange(fixture.port(), get("/healthz"))) == 200);
    fixture.sessions().finishAnswer(asked.caller);
    CHECK(readFrom(slow).find("[DONE]") != std::string::npos);
    ::close(slow);
    CHECK(fixture.expect<Node::CallerUnblocked>().caller == asked.caller);
}

// Guards against closed connections that look as if the process had died. More callers connect than
// the process is sized for, and the HTTP library closes the connections beyond its own limit.
TEST_CASE("Each caller beyond the connection limit is told to retry")
{
    constexpr std::size_t limit = 5;
    Fixture fixture(limit);
    std::map<Node::CallerId, int> open;
    for (std::size_t i = 0; i < limit; ++i) {
        const int socket = connectTo(fixture.port());
        writeTo(socket, chat(true));
        open[fixture.expect<Node::CallerRequest>().caller] = socket;
    }
    for (int i = 0; i < 200; ++i) {
        const std::string answer = exchange(fixture.port(), chat(true));
        REQUIRE(statusOf(answer) == 503);
        REQUIRE(typeOf(answer) == "no_capacity");
        REQUIRE(answer.find("Retry-After: 1\r\n") != std::string::npos);
    }
    CHECK(statusOf(exchange(fixture.port(), get("/healthz"))) == 200);
    for (const auto &[caller, socket] : open) {
        fixture.sessions().startAnswer(caller, chatHead);
        fixture.sessions().finishAnswer(caller);
        CHECK(readFrom(socket).find("[DONE]") != std::string::npos);
        ::close(socket);
    }
}

TEST_CASE("A caller takes the place of the connection that has been idle for longest")
{
    // Guards against silent connections that keep everybody else out until their idle timeout.
    Fixture fixture(2);
    const int silent = connectTo(fixture.port());
    while (fixture.openConnections() < 1)
        usleep(1000);
    const int younger = connectTo(fixture.port());
    while (fixture.openConnections() < 2)
        usleep(1000);
    const int caller = connectTo(fixture.port());
    CHECK(readFrom(silent).empty());
    while (fixture.openConnections() > 2)
        usleep(1000);
    for (const int it : {younger, caller}) {
        writeTo(it, get("/healthz"));
        CHECK(statusOf(readFrom(it)) == 200);
    }
    for (const int it : {silent, younger, caller})
        ::close(it);
}

TEST_CASE("Incomplete bodies together stay within the memory for callers")
{
    // Guards against a crowd whose bodies are each within their limit and end the process together.
    constexpr std::size_t bodyBytes = 200'000;
    Fixture fixture(100, bodyBytes, 1'200'000);
    std::vector<int> crowd;
    for (int i = 0; i < 20; ++i) {
        crowd.push_back(connectTo(fixture.port()));
        const std::string whole = post("/v1/chat/completions", std::string(bodyBytes, 'x'));
        writeTo(crowd.back(), whole.substr(0, whole.size() - 1));
    }
    // The oldest ones have given way.
    CHECK(readFrom(crowd.front()).empty());
    const int caller = connectTo(fixture.port());
    writeTo(caller, post("/v1/chat/completions", std::string(bodyBytes, 'x')));
    CHECK(statusOf(readFrom(caller)) == 400);
    for (const int it : crowd)
        ::close(it);
    ::close(caller);
}

TEST_CASE("A whole request for whose copies there is no memory is told to retry")
{
    constexpr std::size_t bodyBytes = 200'000;
    Fixture fixture(100, bodyBytes, 600'000);
    const int socket = connectTo(fixture.port());
    writeTo(socket, post("/v1/chat/completions", std::string(bodyBytes, 'x')));
    const std::string answer = readFrom(socket);
    CHECK(statusOf(answer) == 503);
    CHECK(typeOf(answer) == "no_capacity");
    CHECK(answer.find("Retry-After: 1") != std::string::npos);
    ::close(socket);
    CHECK(fixture.hasNoEvents());
}

TEST_CASE("Bad requests get a typed answer and never reach the node")
{
    Fixture fixture;
    const auto answer = [&](const std::string &request) {
        return exchange(fixture.port(), request);
    };
    CHECK(typeOf(answer(post("/v1/chat/completions", "{"))) == "bad_request");
    const std::string large = answer(post("/v1/chat/completions", std::string(1001, ' ')));
    CHECK(statusOf(large) == 413);
    CHECK(typeOf(large) == "too_large");
    CHECK(statusOf(answer(get("/nothing"))) == 404);
    CHECK(statusOf(answer(get("/v1/chat/completions"))) == 405);
    CHECK(statusOf(answer(post("/v1/chat/completions", "{}", "Idempotency-Key: a\x01\r\n")))
          == 400);
    CHECK(answer(get("/nothing")).find("X-Request-Id: r1-1-x") != std::string::npos);
    CHECK(fixture.hasNoEvents());
}

TEST_CASE("The pages and lists for operators and callers are served")
{
    Fixture fixture;
    CHECK(bodyOf(exchange(fixture.port(), get("/metrics"))) == "metrics\n");
    CHECK(statusOf(exchange(fixture.port(), get("/readyz"))) == 200);
    fixture.state().isLeaving = true;
    CHECK(statusOf(exchange(fixture.port(), get("/readyz"))) == 503);
    CHECK(statusOf(exchange(fixture.port(), get("/healthz"))) == 200);

    const auto answerTo = [&](const std::string &request, const auto &respond) {
        const int socket = connectTo(fixture.port());
        writeTo(socket, request);
        respond();
        std::string answer = readFrom(socket);
        ::close(socket);
        return answer;
    };
    const std::string hosts = answerTo(get("/v1/entry-hosts?zone=langley"), [&] {
        const auto asked = fixture.expect<Node::EntryHostsRequested>();
        CHECK(asked.zone == Base::ZoneId("langley"));
        const Base::ZoneId zone("langley");
        fixture.sessions().sendEntryHosts(
            asked.caller, {{{"127.0.0.1:1", zone}, {"", zone}}, std::chrono::seconds(10)});
    });
    CHECK(hosts.find("Cache-Control: max-age=10") != std::string::npos);
    CHECK(bodyOf(hosts)
          == R"({"hosts":[{"address":"127.0.0.1:1","zone":"langley"}],"maxAgeSeconds":10})");

    const std::string write = "PUT /v1/targets/batch HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
                              "If-Match: 3\r\nContent-Length: 23\r\n\r\n{\"startWithinMs\":70000}";
    const std::string lost = answerTo(write, [&] {
        const auto asked = fixture.expect<Node::TargetWriteRequested>();
        CHECK(asked.seen == 3);
        Node::Failure it;
        it.type = Node::FailureType::LostRace;
        it.currentVersion = 9;
        fixture.sessions().fail(asked.caller, it);
    });
    CHECK(statusOf(lost) == 412);
    CHECK(lost.find("\"currentVersion\":9") != std::string::npos);
}
