#include "scriptedserver.h"

#include "daemon/httpfront.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <map>

#include <unistd.h>

namespace {

using namespace Daemon;
using Json = nlohmann::json;

constexpr auto longest = std::chrono::seconds(20);

class FixedPage final : public MetricsPage
{
public:
    std::string text() override { return "metrics\n"; }
};

/// An HTTP front whose core is the test: it takes the events and says what comes of them.
class Bench
{
public:
    explicit Bench(std::size_t connections = 100)
        : m_ring(256)
        , m_sessions(10000, m_ring)
    {
        m_state.isReady = true;
        HttpServerSettings settings;
        settings.address = "127.0.0.1:0";
        settings.connections = connections;
        settings.bodyBytes = 1000;
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
        const auto event = m_ring.popFor(longest);
        REQUIRE(event);
        REQUIRE(std::holds_alternative<Event>(*event));
        return std::get<Event>(*event);
    }

    bool isQuiet() const { return m_ring.size() == 0; }

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

TEST_CASE("A stream goes out as events and ends with its mark")
{
    Bench bench;
    const int socket = connectTo(bench.port());
    writeTo(socket, chat(true));
    const auto asked = bench.expect<Node::CallerRequest>();
    CHECK(asked.target == "m");
    bench.sessions().startAnswer(asked.caller, chatHead);
    bench.sessions().appendAnswer(asked.caller, chunk("a"));
    const std::string begin = readFrom(socket, "}]}");
    CHECK(begin.find("X-Request-Id: r1-1-1") != std::string::npos);
    CHECK(begin.find("[DONE]") == std::string::npos);
    bench.sessions().appendAnswer(asked.caller, chunk("b"));
    bench.sessions().finishAnswer(asked.caller);
    CHECK(readFrom(socket).find("data: [DONE]\n\n") != std::string::npos);
    ::close(socket);
    CHECK(bench.isQuiet());
}

TEST_CASE("A caller that wants no stream gets one completion")
{
    Bench bench;
    const int socket = connectTo(bench.port());
    writeTo(socket, chat(false));
    const auto asked = bench.expect<Node::CallerRequest>();
    bench.sessions().startAnswer(asked.caller, chatHead);
    bench.sessions().appendAnswer(asked.caller, chunk("a"));
    bench.sessions().appendAnswer(asked.caller, chunk("b"));
    bench.sessions().appendAnswer(asked.caller, {R"({"choices":[],"usage":{"prompt_tokens":3}})"});
    bench.sessions().finishAnswer(asked.caller);
    const Json json = Json::parse(bodyOf(readFrom(socket)), nullptr, false);
    ::close(socket);
    REQUIRE(json.is_object());
    CHECK(json["object"] == "chat.completion");
    CHECK(json["choices"][0]["message"]["content"] == "ab");
    CHECK(json["usage"]["prompt_tokens"] == 3);
}

TEST_CASE("A failure shows, before and after the answer has begun")
{
    Bench bench;
    const auto answerOf = [&](bool isStreaming, bool isBegun) {
        const int socket = connectTo(bench.port());
        writeTo(socket, chat(isStreaming));
        const auto asked = bench.expect<Node::CallerRequest>();
        if (isBegun)
            bench.sessions().startAnswer(asked.caller, chatHead);
        bench.sessions().fail(asked.caller, failure());
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

// What a user would see: half a document taken for the whole. Order: a service's answer has
// begun, its server dies. Cause: a body that just ends looks complete.
TEST_CASE("A service's answer that is cut has no proper end")
{
    Bench bench;
    const auto answerOf = [&](bool isWhole) {
        const int socket = connectTo(bench.port());
        writeTo(socket, post("/v1/services/deposits/hold?a=b", "x"));
        const auto asked = bench.expect<Node::CallerRequest>();
        CHECK(asked.target == "deposits");
        CHECK(asked.path == "/hold?a=b");
        bench.sessions().startAnswer(asked.caller, {"id", 201, "text/plain", false});
        bench.sessions().appendAnswer(asked.caller, {"half"});
        if (isWhole)
            bench.sessions().finishAnswer(asked.caller);
        else
            bench.sessions().fail(asked.caller, failure());
        std::string answer = readFrom(socket);
        ::close(socket);
        return answer;
    };
    const std::string lastChunk = "\r\n0\r\n";
    CHECK(answerOf(true).find(lastChunk) != std::string::npos);
    CHECK(answerOf(false).find(lastChunk) == std::string::npos);
}

// What a user would see: work of callers who gave up is run while others wait. Order: a caller
// waits in the queue or in its stream, and hangs up. Cause: nobody looks at its connection.
TEST_CASE("A caller that hangs up is noticed while it waits and while it is served")
{
    Bench bench;
    const bool isStreaming = GENERATE(true, false);
    const bool isBegun = GENERATE(true, false);
    const int socket = connectTo(bench.port());
    writeTo(socket, chat(isStreaming));
    const auto asked = bench.expect<Node::CallerRequest>();
    if (isBegun) {
        bench.sessions().startAnswer(asked.caller, chatHead);
        bench.sessions().appendAnswer(asked.caller, chunk("a"));
    }
    ::close(socket);
    CHECK(bench.expect<Node::CallerGone>().caller == asked.caller);
}

// What a user would see: one caller that does not read makes the process grow, or stops others.
// Order: it opens a stream and reads nothing while its answer comes. Cause: no bound, or one
// thread for all.
TEST_CASE("A caller that does not read is held back alone")
{
    Bench bench;
    const int slow = connectTo(bench.port());
    writeTo(slow, chat(true));
    const auto asked = bench.expect<Node::CallerRequest>();
    bench.sessions().startAnswer(asked.caller, chatHead);
    std::vector<Node::Event> own;
    std::size_t sent = 0;
    // The system's own buffers take some megabytes first.
    constexpr std::size_t plenty = 100000000;
    while (own.empty() && sent < plenty) {
        bench.sessions().appendAnswer(asked.caller, chunk(std::string(1000, 'x')));
        sent += 1000;
        own = bench.sessions().takeEvents();
    }
    REQUIRE(own.size() == 1);
    CHECK(std::get<Node::CallerBlocked>(own.front()).caller == asked.caller);

    CHECK(statusOf(exchange(bench.port(), get("/healthz"))) == 200);
    bench.sessions().finishAnswer(asked.caller);
    CHECK(readFrom(slow).find("[DONE]") != std::string::npos);
    ::close(slow);
    CHECK(bench.expect<Node::CallerReady>().caller == asked.caller);
}

// What a user would see: a closed connection, as if the process had died. Order: more callers
// connect than the process is sized for. Cause: the library closes what is past its limit.
TEST_CASE("Past the limit each caller is told to come back")
{
    constexpr std::size_t limit = 5;
    Bench bench(limit);
    std::map<Node::CallerId, int> open;
    for (std::size_t i = 0; i < limit; ++i) {
        const int socket = connectTo(bench.port());
        writeTo(socket, chat(true));
        open[bench.expect<Node::CallerRequest>().caller] = socket;
    }
    for (int i = 0; i < 200; ++i) {
        const std::string answer = exchange(bench.port(), chat(true));
        REQUIRE(statusOf(answer) == 503);
        REQUIRE(typeOf(answer) == "no_capacity");
        REQUIRE(answer.find("Retry-After: 1\r\n") != std::string::npos);
    }
    CHECK(statusOf(exchange(bench.port(), get("/healthz"))) == 200);
    for (const auto &[caller, socket] : open) {
        bench.sessions().startAnswer(caller, chatHead);
        bench.sessions().finishAnswer(caller);
        CHECK(readFrom(socket).find("[DONE]") != std::string::npos);
        ::close(socket);
    }
}

TEST_CASE("Bad requests get a typed answer and never reach the node")
{
    Bench bench;
    const auto answer = [&](const std::string &request) { return exchange(bench.port(), request); };
    CHECK(typeOf(answer(post("/v1/chat/completions", "{"))) == "bad_request");
    const std::string large = answer(post("/v1/chat/completions", std::string(1001, ' ')));
    CHECK(statusOf(large) == 413);
    CHECK(typeOf(large) == "too_large");
    CHECK(statusOf(answer(get("/nothing"))) == 404);
    CHECK(statusOf(answer(get("/v1/chat/completions"))) == 405);
    CHECK(statusOf(answer(post("/v1/chat/completions", "{}", "Idempotency-Key: a\x01\r\n")))
          == 400);
    CHECK(answer(get("/nothing")).find("X-Request-Id: r1-1-x") != std::string::npos);
    CHECK(bench.isQuiet());
}

TEST_CASE("Operators' pages")
{
    Bench bench;
    CHECK(bodyOf(exchange(bench.port(), get("/metrics"))) == "metrics\n");
    CHECK(statusOf(exchange(bench.port(), get("/readyz"))) == 200);
    bench.state().isLeaving = true;
    CHECK(statusOf(exchange(bench.port(), get("/readyz"))) == 503);
    CHECK(statusOf(exchange(bench.port(), get("/healthz"))) == 200);

    const auto answerTo = [&](const std::string &request, const auto &respond) {
        const int socket = connectTo(bench.port());
        writeTo(socket, request);
        respond();
        std::string answer = readFrom(socket);
        ::close(socket);
        return answer;
    };
    const std::string hosts = answerTo(get("/v1/entry-hosts?zone=langley"), [&] {
        const auto asked = bench.expect<Node::EntryHostsAsked>();
        CHECK(asked.zone == Base::ZoneId("langley"));
        const Base::ZoneId zone("langley");
        bench.sessions().sendEntryHosts(
            asked.caller, {{{"127.0.0.1:1", zone}, {"", zone}}, std::chrono::seconds(10)});
    });
    CHECK(hosts.find("Cache-Control: max-age=10") != std::string::npos);
    CHECK(bodyOf(hosts)
          == R"({"hosts":[{"address":"127.0.0.1:1","zone":"langley"}],"maxAgeSeconds":10})");

    const std::string write = "PUT /v1/targets/batch HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
                              "If-Match: 3\r\nContent-Length: 23\r\n\r\n{\"startWithinMs\":70000}";
    const std::string lost = answerTo(write, [&] {
        const auto asked = bench.expect<Node::TargetWriteAsked>();
        CHECK(asked.seen == 3);
        Node::Failure it;
        it.type = Node::FailureType::LostRace;
        it.currentVersion = 9;
        bench.sessions().fail(asked.caller, it);
    });
    CHECK(statusOf(lost) == 412);
    CHECK(lost.find("\"currentVersion\":9") != std::string::npos);
}
