#include "clientfixture.h"
#include "scriptedserver.h"

#include "daemon/platformclient.h"
#include "support/brokenanswers.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

namespace {

using namespace Daemon;

const std::string okLine = "HTTP/1.1 200 OK\r\n";
const std::string interimAnswer = "HTTP/1.1 102 Processing\r\n\r\n";

/// Whether the platform's answer \a text is taken as the value of an object.
bool isObject(const std::string &text)
{
    const ScriptedServer server([&](ScriptedConnection &it) {
        it.readRequest();
        it.write(text);
        it.closeSending();
        it.waitForClose();
    });
    EventRing ring(16);
    auto client = PlatformClient::create(server.address(), ring);
    REQUIRE(client);
    (*client)->get(5, "k");
    const auto event = ring.popFor(std::chrono::seconds(20));
    REQUIRE(event);
    return std::get<Storage::ObjectOutcome>(*event).status != Storage::ObjectStatus::Unknown;
}

/// An answer behind \a before whose status line is \a line.
std::string answerWithLine(const std::string &before, const std::string &line)
{
    return before + fixedAnswer(line + "\r\n", "hello");
}

std::string statusLine(const std::string &status, const std::string &reason)
{
    return "HTTP/1.1 " + status + reason;
}

/// Answers with the line \a field first and last in their head, and in an interim answer.
std::vector<std::string> answersWithField(const std::string &field)
{
    return {fixedAnswer(okLine + field, "hello"),
            okLine + "Content-Length: 5\r\n" + field + "\r\nhello",
            "HTTP/1.1 102 Processing\r\n" + field + "\r\n" + fixedAnswer(okLine, "hello")};
}

std::string answerWithTrailer(const std::string &field)
{
    return okLine + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n" + field + "\r\n";
}

} // namespace

// Guards against callers that get an answer whose status is none.
TEST_CASE("An answer with a broken status line is no answer", "[broken]")
{
    for (const std::string &line : brokenStatusLines()) {
        for (const std::string &before : {std::string(), interimAnswer}) {
            CAPTURE(line, before);
            const std::string text = answerWithLine(before, line);
            const SeenAnswer seen = seenOfCall(text);
            CHECK(seen.isFailed());
            CHECK(seen.isEmpty());
            CHECK_FALSE(isObject(text));
        }
    }
}

// Guards against bytes of another protocol, which nobody asks for, that are taken for an answer.
TEST_CASE("A change of the protocol is no answer", "[broken]")
{
    const std::string change = "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n";
    for (const std::string &text : {change + "\r\nhello", fixedAnswer(change, "hello"),
                                    change + "\r\n" + fixedAnswer(okLine, "hello")}) {
        CAPTURE(text);
        const SeenAnswer seen = seenOfCall(text);
        CHECK(seen.isFailed());
        CHECK(seen.isEmpty());
    }
}

// Guards against sound answers that are refused for their status or its text.
TEST_CASE("An answer with any status of HTTP is passed on", "[broken]")
{
    for (const std::string status : {"200", "226", "302", "404", "418", "500", "599"}) {
        for (const std::string reason : {" Some Reason", " ", "", " R\xc3\xa9ussi"}) {
            CAPTURE(status, reason);
            const SeenAnswer seen = seenOfCall(answerWithLine({}, statusLine(status, reason)));
            CHECK(seen.isFinished);
            CHECK(seen.statuses == std::vector<int>{std::stoi(status)});
            CHECK(seen.text == "hello");
        }
    }
    CHECK(seenOfCall(fixedAnswer("HTTP/1.0 200 OK\r\n", "hello")).isFinished);
    CHECK(seenOfCall(okLine + "\r\nhello").isFinished);
    CHECK(seenOfCall(okLine + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nX: a\r\n\r\n")
              .isFinished);
}

// Guards against fields that a caller reads in another way, and bodies that end elsewhere.
TEST_CASE("An answer with a broken name of a field is no answer", "[broken]")
{
    for (const std::string &field : brokenFieldLines()) {
        for (const std::string &text : answersWithField(field)) {
            CAPTURE(text);
            const SeenAnswer seen = seenOfCall(text);
            CHECK(seen.isFailed());
            CHECK(seen.isEmpty());
            CHECK_FALSE(isObject(text));
        }
        CAPTURE(field);
        CHECK(seenOfCall(answerWithTrailer(field)).isFailed());
    }
}

// Guards against a field that a server sends in two lines, and that callers read in several ways.
TEST_CASE("An answer with a folded line or an end of a line without CR is no answer", "[broken]")
{
    for (const char *field : {"X: a\r\n b\r\n", "X: a\n", "X: a\rb\r\n", "X: a\x01\r\n"}) {
        CAPTURE(field);
        const SeenAnswer seen = seenOfCall(fixedAnswer(okLine + field, "hello"));
        CHECK(seen.isFailed());
        CHECK(seen.isEmpty());
    }
}
