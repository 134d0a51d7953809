#include "gateway/httpclient.h"
#include "support/brokenanswers.h"
#include "upstreamrequest.h"

#include <catch2/catch.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

using namespace Gateway;

namespace {

const std::string interimAnswer = "HTTP/1.1 102 Processing\r\n\r\n";

/// What a client of the store or another host takes from a server that sends \a text.
std::optional<HttpAnswer> clientAnswer(const std::string &text)
{
    boost::asio::io_context io;
    LoopbackServer server(io);
    const auto client =
        std::make_shared<HttpClient>(io, *Settings::parseAddress(server.entry().address));
    bool isDone = false;
    std::optional<HttpAnswer> answer;
    client->call({"GET", "/x", {}}, std::chrono::seconds(60), bootTimeNow(),
                 [&](const std::optional<HttpAnswer> &it) {
                     isDone = true;
                     answer = it;
                 });
    const auto poll = [&] {
        io.restart();
        io.poll();
        usleep(200);
    };
    while (!server.isCalled())
        poll();
    Tcp::socket socket = server.accept();
    boost::asio::write(socket, boost::asio::buffer(text));
    socket.shutdown(Tcp::socket::shutdown_send);
    while (!isDone)
        poll();
    return answer;
}

/// A stream whose status line is \a line.
std::string streamWithLine(const std::string &line)
{
    return line + "\r\n" + ownFields + "Content-Type: text/event-stream\r\n\r\n"
           + "id: 1\ndata: hello\n\n";
}

/// Answers with the line \a field first and last in their head, in an interim answer and in their
/// trailers.
std::vector<std::string> answersWithField(const std::string &field)
{
    const std::string okLine = "HTTP/1.1 200 OK\r\n";
    return {okLine + field + ownFields + lengthOfHello + "\r\nhello",
            okLine + ownFields + lengthOfHello + field + "\r\nhello",
            "HTTP/1.1 102 Processing\r\n" + field + "\r\n" + answerWithLine("HTTP/1.1 200 OK"),
            okLine + ownFields + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n" + field
                + "\r\n"};
}

} // namespace

// Guards against callers that get an answer whose status is none.
TEST_CASE("an answer with a broken status line is no answer", "[gateway][broken]")
{
    for (const std::string &line : brokenStatusLines()) {
        for (const std::string &before : {std::string(), interimAnswer}) {
            CAPTURE(line, before);
            UpstreamRequest request(Routing::WorkKind::NotIdempotent);
            request.answer(before + answerWithLine(line));
            CHECK(request.isFinished());
            CHECK(request.isFailed());
            CHECK(request.isLogged("malformed"));
        }
        CAPTURE(line);
        CHECK_FALSE(clientAnswer(answerWithLine(line)));
    }
}

TEST_CASE("a stream with a broken status line is no answer", "[gateway][broken]")
{
    for (const std::string &line : brokenStatusLines()) {
        CAPTURE(line);
        UpstreamRequest request(Routing::WorkKind::Stream);
        request.answer(streamWithLine(line));
        CHECK(request.isFinished());
        CHECK(request.isFailed());
    }
}

// Guards against an answer to an older request that is skipped although it is none.
TEST_CASE("a late answer with a broken status line fails the attempt", "[gateway][broken]")
{
    UpstreamRequest request(Routing::WorkKind::NotIdempotent);
    request.answer("HTTP/1.1 000 OK\r\nRequest-Id: r-0\r\n" + lengthOfHello + "\r\nother"
                   + answerWithLine("HTTP/1.1 200 OK"));
    CHECK(request.isFinished());
    CHECK(request.isFailed());
}

// Guards against bytes of another protocol, which nobody asks for, that are taken for an answer.
TEST_CASE("a change of the protocol is no answer", "[gateway][broken]")
{
    const std::string change = "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n" + ownFields;
    for (const std::string &text : {change + "\r\nhello", change + lengthOfHello + "\r\nhello",
                                    change + "\r\n" + answerWithLine("HTTP/1.1 200 OK")}) {
        CAPTURE(text);
        UpstreamRequest request(Routing::WorkKind::NotIdempotent);
        request.answer(text);
        CHECK(request.isFinished());
        CHECK(request.isFailed());
        CHECK_FALSE(clientAnswer(text));
    }
}

// Guards against requests that fail although another server may answer them.
TEST_CASE("a repeatable request is sent elsewhere after a broken status line", "[gateway][broken]")
{
    UpstreamRequest request(Routing::WorkKind::Idempotent);
    request.answer(answerWithLine("HTTP/1.1 000 OK"));
    REQUIRE(request.port.pollUntil([&] { return request.port.submissions == 2; }));
    request.exchange->placed(request.port.placement(2));
    Tcp::socket second = request.port.acceptRequest(2);
    LoopbackServer::answer(second, "r-1");
    CHECK(request.isFinished());
    CHECK(request.sink.statuses == std::vector<unsigned>{200});
    CHECK(request.sink.text == "ok");
}

// Guards against sound answers that are refused for their status.
TEST_CASE("an answer with any status of HTTP is passed on", "[gateway][broken]")
{
    for (const unsigned status : {200, 226, 299, 302, 404, 418, 500, 599}) {
        CAPTURE(status);
        const std::string text =
            answerWithLine("HTTP/1.1 " + std::to_string(status) + " Some Reason");
        UpstreamRequest request(Routing::WorkKind::NotIdempotent);
        request.answer(text);
        CHECK(request.isFinished());
        CHECK(request.sink.statuses == std::vector<unsigned>{status});
        CHECK(request.sink.text == "hello");
        const std::optional<HttpAnswer> answer = clientAnswer(text);
        REQUIRE(answer);
        CHECK(answer->status == status);
    }
}

// Guards against fields that a caller reads in another way, and bodies that end elsewhere.
TEST_CASE("an answer with a broken name of a field is no answer", "[gateway][broken]")
{
    for (const std::string &field : brokenFieldLines()) {
        for (const std::string &text : answersWithField(field)) {
            CAPTURE(text);
            UpstreamRequest request(Routing::WorkKind::NotIdempotent);
            request.answer(text);
            CHECK(request.isFinished());
            CHECK(request.isFailed());
            CHECK(request.isLogged("malformed"));
            CHECK_FALSE(clientAnswer(text));
        }
    }
}
