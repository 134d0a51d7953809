#include "support/brokenanswers.h"
#include "untrusted/answerhead.h"
#include "untrusted/answerheadreader.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace Untrusted;

namespace {

const std::string okLine = "HTTP/1.1 200 OK\r\n";

/// A reader that has read all of \a lines.
AnswerHeadReader readerOf(const std::vector<std::string> &lines)
{
    AnswerHeadReader reader;
    for (const std::string &line : lines)
        CHECK(reader.read(line));
    return reader;
}

} // namespace

TEST_CASE("a head is read line by line")
{
    AnswerHeadReader reader;
    CHECK(reader.status() == 0);
    CHECK(reader.read("HTTP/1.1 103 Early Hints\r\n"));
    CHECK_FALSE(reader.isInFinalHead());
    CHECK(reader.read("X: a\r\n"));
    CHECK(reader.read("\r\n"));
    CHECK_FALSE(reader.isComplete());
    CHECK(reader.read("HTTP/1.0 404 Not \xc3\xa9\t\r\n"));
    CHECK(reader.status() == 404);
    CHECK(reader.isInFinalHead());
    CHECK(reader.read("Retry-After:\t 3 \t\r\n"));
    REQUIRE(reader.field());
    CHECK(reader.field()->name == "Retry-After");
    CHECK(reader.field()->value == "3");
    CHECK(reader.read("Empty:\r\n"));
    REQUIRE(reader.field());
    CHECK(reader.field()->value.empty());
    CHECK(reader.read("\r\n"));
    CHECK_FALSE(reader.field());
    CHECK(reader.isComplete());
    CHECK_FALSE(reader.isInFinalHead());
    CHECK(reader.read("X-Trailer: a\r\n"));
    CHECK(reader.status() == 404);
}

// Guards against answers of lines that a library takes although they are no HTTP.
TEST_CASE("a broken line is refused, in heads and in trailers")
{
    for (const std::string &line : brokenStatusLines()) {
        CAPTURE(line);
        CHECK_FALSE(AnswerHeadReader().read(line + "\r\n"));
        CHECK_FALSE(readerOf({"HTTP/1.1 100 Continue\r\n", "\r\n"}).read(line + "\r\n"));
        CHECK_FALSE(readerOf({okLine}).read(line + "\r\n"));
    }
    for (const std::string &line : brokenFieldLines()) {
        CAPTURE(line);
        CHECK_FALSE(readerOf({okLine}).read(line));
        CHECK_FALSE(readerOf({okLine, "\r\n"}).read(line));
        CHECK_FALSE(readerOf({"HTTP/1.1 103 Early Hints\r\n"}).read(line));
    }
    for (const char *line : {"X: a\n", "X: a", "\n", "", "X: a\x01\r\n", "X: a\x7f\r\n",
                             "X: a\rb\r\n", "X: a\nb\r\n", "HTTP/1.1 500 Broken\r\n"}) {
        CAPTURE(line);
        CHECK_FALSE(readerOf({okLine}).read(line));
        CHECK_FALSE(readerOf({okLine, "\r\n"}).read(line));
    }
}

TEST_CASE("a status is one of HTTP, and no change of the protocol")
{
    for (unsigned status = 0; status < 1100; ++status) {
        CAPTURE(status);
        CHECK(isAnswerStatus(status) == (status >= 100 && status < 600 && status != 101));
    }
}

TEST_CASE("any bytes are read or refused")
{
    rc::prop("arbitrary lines", [](const std::vector<std::string> &lines) {
        AnswerHeadReader reader;
        for (const std::string &line : lines) {
            if (!reader.read(line + "\r\n"))
                break;
        }
        RC_ASSERT(reader.status() == 0 || isAnswerStatus(reader.status()) || !reader.isComplete());
    });
}
