#include "upstreamrequest.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace Gateway;

namespace {

constexpr std::size_t kibibyte = 1024;
constexpr std::size_t mebibyte = 1024 * kibibyte;
const std::string endsWithConnection = "HTTP/1.1 200 OK\r\n" + ownFields + "\r\nhello";

} // namespace

// Guards against part of an answer that a caller gets as a whole one, since its server stopped
// while the request was still being written.
TEST_CASE("an answer without a length is cut off if it ends before its request",
          "[gateway][cutupload]")
{
    const std::size_t bytes = GENERATE(512 * kibibyte, mebibyte, 4 * mebibyte);
    CAPTURE(bytes);
    SECTION("in order")
    {
        UpstreamRequest request(Routing::WorkKind::NotIdempotent, bytes);
        request.answer(endsWithConnection);
        CHECK(request.isFinished());
        CHECK(request.isFailed());
    }
    SECTION("by a reset that follows")
    {
        UpstreamRequest request(Routing::WorkKind::NotIdempotent, bytes);
        request.answer(endsWithConnection);
        request.port.poll();
        request.reset();
        CHECK(request.isFinished());
        CHECK(request.isFailed());
    }
    SECTION("by a reset before its end is read")
    {
        UpstreamRequest request(Routing::WorkKind::NotIdempotent, bytes);
        request.answer(endsWithConnection);
        request.reset();
        CHECK(request.isFinished());
        CHECK(request.isFailed());
    }
    SECTION("by a reset alone")
    {
        UpstreamRequest request(Routing::WorkKind::NotIdempotent, bytes);
        boost::asio::write(*request.server, boost::asio::buffer(endsWithConnection));
        request.port.poll();
        request.reset();
        CHECK(request.isFinished());
        CHECK(request.isFailed());
    }
}

// Guards against the same where the whole request fits into the system's buffers.
TEST_CASE("an answer without a length is cut off if a reset follows its end",
          "[gateway][cutupload]")
{
    for (const std::size_t bytes : {kibibyte, 20 * kibibyte, 64 * kibibyte}) {
        CAPTURE(bytes);
        UpstreamRequest request(Routing::WorkKind::NotIdempotent, bytes);
        request.answer(endsWithConnection);
        request.reset();
        CHECK(request.isFinished());
        CHECK(request.isFailed());
    }
}

TEST_CASE("a stream without a length is cut off if it ends before its request",
          "[gateway][cutupload]")
{
    UpstreamRequest request(Routing::WorkKind::Stream, mebibyte);
    request.answer("HTTP/1.1 200 OK\r\n" + ownFields
                   + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: x\n\n");
    CHECK(request.isFinished());
    CHECK(request.sink.isCutOff);
    CHECK_FALSE(request.sink.isEnded);
}

// Guards against sound answers that are taken for cut ones.
TEST_CASE("an answer without a length is whole once its request has arrived",
          "[gateway][cutupload]")
{
    for (const std::size_t bytes : {kibibyte, mebibyte, 4 * mebibyte}) {
        CAPTURE(bytes);
        UpstreamRequest request(Routing::WorkKind::NotIdempotent, bytes);
        request.readUpload();
        request.answer(endsWithConnection);
        CHECK(request.isFinished());
        CHECK(request.sink.statuses == std::vector<unsigned>{200});
        CHECK(request.sink.text == "hello");
    }
}

// Guards against a refusal that does not reach its caller, since its server does not read what it
// refuses.
TEST_CASE("a refusal without a length may end before its request", "[gateway][cutupload]")
{
    UpstreamRequest request(Routing::WorkKind::NotIdempotent, 4 * mebibyte);
    request.answer("HTTP/1.1 413 Too Large\r\n" + ownFields + "\r\ntoo large");
    CHECK(request.isFinished());
    CHECK(request.sink.statuses == std::vector<unsigned>{413});
    CHECK(request.sink.text == "too large");
}

// Guards against whole answers that fail since their server does not read the rest of a request.
TEST_CASE("an answer with a length may end before its request", "[gateway][cutupload]")
{
    UpstreamRequest request(Routing::WorkKind::NotIdempotent, 4 * mebibyte);
    request.answer(answerWithLine("HTTP/1.1 200 OK"));
    CHECK(request.isFinished());
    CHECK(request.sink.statuses == std::vector<unsigned>{200});
    CHECK(request.sink.text == "hello");
}
