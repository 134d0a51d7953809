#include "fakeexchangeport.h"
#include "gateway/httpclient.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <ctime>
#include <functional>
#include <memory>
#include <optional>
#include <string>

using namespace Gateway;

namespace {

constexpr std::size_t kibibyte = 1024;
constexpr std::size_t mebibyte = 1024 * kibibyte;
/// More than the largest answer that is passed on, and less than a test may take.
constexpr std::size_t longAnswerBytes = 80 * mebibyte;
/// What may be under way in the sockets beyond what the gateway has read.
constexpr std::size_t socketBytes = 12 * mebibyte;
const std::string okHead = "HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nSignature: s\r\n";
const std::string streamHead = okHead + "Content-Type: text/event-stream\r\n";
const std::string endlessField = "X-Field: " + std::string(100, 'x') + "\r\n";
const std::string firstEvent = "id: 1\ndata: x\n\n";

void write(Tcp::socket &socket, const std::string &text)
{
    boost::asio::write(socket, boost::asio::buffer(text));
}

/// Writes \a piece again and again, each time before a call of \a poll, until the other end closes
/// the connection, \a limit bytes are written or ten seconds have passed. Returns how many were
/// written.
std::size_t offer(Tcp::socket &socket, const std::string &piece, std::size_t limit,
                  const std::function<void()> &poll)
{
    socket.non_blocking(true);
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(10);
    std::size_t sum = 0;
    while (sum < limit && std::chrono::steady_clock::now() < end) {
        const std::size_t at = sum % piece.size();
        boost::system::error_code ec;
        const std::size_t n =
            socket.write_some(boost::asio::buffer(piece.data() + at, piece.size() - at), ec);
        poll();
        if (ec && ec != boost::asio::error::would_block)
            break;
        sum += n;
    }
    return sum;
}

/// A request that is under way at the first of two servers.
struct SentRequest
{
    explicit SentRequest(Routing::WorkKind kind)
        : exchange(port.exchange(sink, kind))
    {
        exchange->placed(port.placement(1));
        server.emplace(port.acceptRequest(1));
    }
    std::size_t offer(const std::string &piece, std::size_t limit)
    {
        return ::offer(*server, piece, limit, [this] { port.poll(); });
    }
    bool isClosed()
    {
        server->non_blocking(true);
        return port.pollUntil([this] {
            char byte = 0;
            boost::system::error_code ec;
            server->read_some(boost::asio::buffer(&byte, 1), ec);
            return ec && ec != boost::asio::error::would_block;
        });
    }
    /// Whether the log tells that the answer was given up because of \a fault.
    bool isLogged(const std::string &fault)
    {
        return port.logText().find("\"fault\":\"" + fault + "\"") != std::string::npos;
    }
    /// Whether the caller was told that the server failed, and nothing of the answer.
    bool isFailed() const
    {
        return sink.statuses == std::vector<unsigned>{502}
               && sink.text.find("backend_failed") != std::string::npos
               && sink.text.size() < kibibyte
               && port.outcomes == std::vector{Routing::AttemptOutcome::Broken};
    }

    RecordingSink sink;
    FakeExchangePort port{2};
    std::shared_ptr<Exchange> exchange;
    std::optional<Tcp::socket> server;
};

/// A call of a client to a server that answers without end.
struct ClientCall
{
    ClientCall()
        : client(std::make_shared<HttpClient>(io, *Settings::parseAddress(backend.entry().address)))
    {
        client->call({"GET", "/x", {}}, std::chrono::seconds(60), bootTimeNow(),
                     [this](const std::optional<HttpAnswer> &it) {
                         isDone = true;
                         answer = it;
                     });
        poll();
        server.emplace(backend.accept());
        poll();
    }
    void poll()
    {
        io.restart();
        io.poll();
    }
    std::size_t offer(const std::string &piece, std::size_t limit)
    {
        return ::offer(*server, piece, limit, [this] { poll(); });
    }

    boost::asio::io_context io;
    LoopbackServer backend{io};
    std::shared_ptr<HttpClient> client;
    std::optional<Tcp::socket> server;
    std::optional<HttpAnswer> answer;
    bool isDone = false;
};

} // namespace

namespace {

/// An answer that holds memory of the same budget.
class OtherAnswer final : public Base::MemoryHolder
{
public:
    OtherAnswer(Base::MemoryBudget &budget, std::size_t bytes, Base::Duration age)
        : reservation(budget, *this, bootTimeNow() - age)
    {
        CHECK(reservation.resize(bytes, bootTimeNow()));
    }
    bool giveWay() override
    {
        hasGivenWay = true;
        return true;
    }

    bool hasGivenWay = false;
    Base::MemoryBudget::Reservation reservation;
};

} // namespace

// Guards against answers that are each within their limit and end the process together.
TEST_CASE("an answer beyond the memory for answers fails its attempt", "[gateway][endless]")
{
    SentRequest request(Routing::WorkKind::NotIdempotent);
    request.port.answers.setBytes(8 * mebibyte);
    write(*request.server, okHead + "\r\n");
    CHECK(request.offer(std::string(kibibyte, 'x'), longAnswerBytes) < 8 * mebibyte + socketBytes);
    CHECK(request.isClosed());
    CHECK(request.isFailed());
    CHECK(request.isLogged("no_memory"));
    CHECK(request.port.answers.usedBytes() == 0);
}

TEST_CASE("the answer that has occupied most memory gives way", "[gateway][endless]")
{
    SentRequest request(Routing::WorkKind::NotIdempotent);
    request.port.answers.setBytes(8 * mebibyte);
    const std::string body(4 * mebibyte, 'x');
    SECTION("another one")
    {
        OtherAnswer other(request.port.answers, 6 * mebibyte, std::chrono::hours(1));
        write(*request.server,
              okHead + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n");
        request.offer(body, body.size());
        CHECK(request.port.pollUntil([&] { return !request.sink.statuses.empty(); }));
        CHECK(other.hasGivenWay);
        CHECK(request.sink.statuses == std::vector<unsigned>{200});
        CHECK(request.sink.text == body);
    }
    SECTION("this one, which then ends")
    {
        write(*request.server,
              okHead + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n");
        request.offer(body.substr(1), body.size() - 1);
        request.port.pollUntil([&] { return request.port.answers.usedBytes() > 3 * mebibyte; });
        OtherAnswer other(request.port.answers, 1, std::chrono::seconds(0));
        other.reservation.keep();
        CHECK(other.reservation.resize(6 * mebibyte, bootTimeNow()));
        write(*request.server, "x");
        CHECK(request.port.pollUntil([&] { return !request.sink.statuses.empty(); }));
        CHECK(request.isFailed());
    }
}

// Guards against memory that a head without end takes, whichever pieces it comes in.
TEST_CASE("a head without end fails the attempt", "[gateway][endless]")
{
    SentRequest request(Routing::WorkKind::NotIdempotent);
    write(*request.server, "HTTP/1.1 200 OK\r\n");
    std::string piece = endlessField;
    SECTION("in whole fields") {}
    SECTION("each piece with the first byte of the next field")
    {
        write(*request.server, "X");
        piece = endlessField.substr(1) + "X";
    }
    CHECK(request.offer(piece, mebibyte) < mebibyte);
    CHECK(request.isClosed());
    CHECK(request.isFailed());
    CHECK(request.isLogged("head_too_long"));
}

// Guards against a request that waits for its answer behind 1xx answers without end.
TEST_CASE("1xx answers without end fail the attempt", "[gateway][endless]")
{
    SentRequest request(Routing::WorkKind::NotIdempotent);
    CHECK(request.offer("HTTP/1.1 102 Processing\r\n\r\n", mebibyte) < mebibyte);
    CHECK(request.isClosed());
    CHECK(request.isFailed());
    CHECK(request.isLogged("too_many_interim_answers"));
}

// Guards against sound answers that are refused since 1xx answers come before them.
TEST_CASE("an answer after some 1xx answers is passed on", "[gateway][endless]")
{
    SentRequest request(Routing::WorkKind::NotIdempotent);
    for (int i = 0; i < 8; ++i)
        write(*request.server, "HTTP/1.1 102 Processing\r\n\r\n");
    LoopbackServer::answer(*request.server, "r-1");
    request.port.pollUntil([&] { return request.exchange->isFinished(); });
    CHECK(request.sink.statuses == std::vector<unsigned>{200});
}

// Guards against memory that a body without end takes.
TEST_CASE("a body without end fails the attempt", "[gateway][endless]")
{
    SentRequest request(Routing::WorkKind::NotIdempotent);
    std::string piece(64 * kibibyte, 'x');
    SECTION("without a length")
    {
        write(*request.server, okHead + "\r\n");
    }
    SECTION("with a length that is too large")
    {
        write(*request.server, okHead + "Content-Length: 1073741824\r\n\r\n");
    }
    SECTION("in chunks")
    {
        write(*request.server, okHead + "Transfer-Encoding: chunked\r\n\r\n");
        piece = "10000\r\n" + piece + "\r\n";
    }
    CHECK(request.offer(piece, longAnswerBytes) < 64 * mebibyte + socketBytes);
    CHECK(request.isClosed());
    CHECK(request.isFailed());
    CHECK(request.isLogged("body_too_long"));
}

// Guards against an end of the process, since the parser reserves as many bytes as the head tells.
TEST_CASE("a length that no memory holds fails the attempt", "[gateway][endless]")
{
    SentRequest request(Routing::WorkKind::NotIdempotent);
    write(*request.server, okHead + "Content-Length: 4611686018427387904\r\n\r\nx");
    CHECK(request.isClosed());
    CHECK(request.isFailed());
    CHECK(request.isLogged("body_too_long"));
}

// Guards against requests that fail although another server may answer them.
TEST_CASE("a repeatable request is sent elsewhere after a body without end", "[gateway][endless]")
{
    SentRequest request(Routing::WorkKind::Idempotent);
    write(*request.server, okHead + "\r\n");
    request.offer(std::string(64 * kibibyte, 'x'), longAnswerBytes);
    REQUIRE(request.port.pollUntil([&] { return request.port.submissions == 2; }));
    request.exchange->placed(request.port.placement(2));
    Tcp::socket second = request.port.acceptRequest(2);
    LoopbackServer::answer(second, "r-1");
    request.port.pollUntil([&] { return request.exchange->isFinished(); });
    CHECK(request.sink.statuses == std::vector<unsigned>{200});
    CHECK(request.sink.text == "ok");
}

// Guards against large answers that are refused although they end.
TEST_CASE("an answer of many megabytes is passed on whole", "[gateway][endless]")
{
    SentRequest request(Routing::WorkKind::NotIdempotent);
    constexpr std::size_t size = 48 * mebibyte;
    write(*request.server, okHead + "Content-Length: " + std::to_string(size) + "\r\n\r\n");
    CHECK(request.offer(std::string(64 * kibibyte, 'x'), size) == size);
    REQUIRE(request.port.pollUntil([&] { return request.exchange->isFinished(); }));
    CHECK(request.sink.statuses == std::vector<unsigned>{200});
    CHECK(request.sink.text.size() == size);
}

// Guards against memory that an event without end takes, and a cut stream that looks whole.
TEST_CASE("an event without end cuts its stream off", "[gateway][endless]")
{
    SentRequest request(Routing::WorkKind::Stream);
    write(*request.server, streamHead + "\r\n" + firstEvent + "id: 2\ndata: ");
    CHECK(request.offer(std::string(4 * kibibyte, 'x'), 32 * mebibyte) < mebibyte + socketBytes);
    CHECK(request.isClosed());
    CHECK(request.sink.isCutOff);
    CHECK_FALSE(request.sink.isEnded);
    CHECK(request.sink.text == firstEvent);
    CHECK(request.isLogged("event_too_long"));
}

// Guards against streams that are cut off although another server may go on with them.
TEST_CASE("a resumable stream goes on elsewhere after an event without end", "[gateway][endless]")
{
    SentRequest request(Routing::WorkKind::ResumableStream);
    write(*request.server, streamHead + "\r\n" + firstEvent + "id: 2\ndata: ");
    request.offer(std::string(4 * kibibyte, 'x'), 32 * mebibyte);
    REQUIRE(request.port.pollUntil([&] { return request.port.submissions == 2; }));
    request.exchange->placed(request.port.placement(2));
    Tcp::socket second = request.port.acceptRequest(2);
    const std::string secondEvent = "id: 2\ndata: y\n\n";
    write(second, streamHead + "\r\n" + secondEvent);
    second.close();
    request.port.pollUntil([&] { return request.exchange->isFinished(); });
    CHECK(request.sink.isEnded);
    CHECK_FALSE(request.sink.isCutOff);
    CHECK(request.sink.text == firstEvent + secondEvent);
}

// Guards against long streams that are cut off although each of their events is short.
TEST_CASE("a stream may be longer than the largest plain answer", "[gateway][endless]")
{
    SentRequest request(Routing::WorkKind::Stream);
    const std::string event = "data: " + std::string(64 * kibibyte, 'x') + "\n\n";
    const std::size_t count = longAnswerBytes / event.size();
    write(*request.server, streamHead + "\r\n");
    CHECK(request.offer(event, count * event.size()) == count * event.size());
    request.server->close();
    REQUIRE(request.port.pollUntil([&] { return request.exchange->isFinished(); }));
    CHECK(request.sink.isEnded);
    CHECK(request.sink.text.size() == count * event.size());
}

// Guards against the time that a long event in many pieces takes if each is searched from its
// start.
TEST_CASE("a long event in small pieces takes time in proportion to its length",
          "[gateway][endless]")
{
    EventSplitter splitter;
    const std::clock_t begun = std::clock();
    for (int i = 0; i < 120000; ++i)
        splitter.push("12345678");
    const CompleteEvents whole = splitter.push("\n\n");
    CHECK(whole.count == 1);
    CHECK(whole.text.size() == 960002);
    CHECK(static_cast<double>(std::clock() - begun) / CLOCKS_PER_SEC < 1.0);
}

// Guards against events that are dropped although the one that is too long comes after them.
TEST_CASE("events before one that is too long are returned", "[gateway][endless]")
{
    const std::string event = "data: x\n\n";
    const std::string largest = "data: " + std::string(mebibyte - 8, 'x') + "\n\n";
    EventSplitter splitter;
    CHECK(splitter.push(event + largest).count == 2);
    CHECK_FALSE(splitter.isEventTooLong());
    CHECK(splitter.push(event + "x" + largest + event).count == 1);
    CHECK(splitter.isEventTooLong());
    CHECK(splitter.push(event).count == 0);
}

// Guards against ends of events that are not seen since they come in two pieces.
TEST_CASE("an event ends where its end comes in pieces", "[gateway][endless]")
{
    for (const std::string end : {"\n\n", "\r\n\r\n"}) {
        const std::string event = "data: x" + end;
        for (std::size_t i = 1; i < event.size(); ++i) {
            EventSplitter splitter;
            CHECK(splitter.push(event.substr(0, i)).count == 0);
            CHECK(splitter.push(event.substr(i) + event).text == event + event);
            CHECK_FALSE(splitter.hasPartialEvent());
        }
    }
}

// Guards against a request that waits for its answer behind a late answer without end.
TEST_CASE("a late answer without end fails the attempt", "[gateway][endless]")
{
    SentRequest request(Routing::WorkKind::NotIdempotent);
    write(*request.server, "HTTP/1.1 200 OK\r\nRequest-Id: r-0\r\n\r\n");
    const std::size_t accepted = request.offer(std::string(64 * kibibyte, 'x'), longAnswerBytes);
    CHECK(accepted >= 60 * mebibyte);
    CHECK(accepted < 64 * mebibyte + socketBytes);
    CHECK(request.isClosed());
    CHECK(request.isFailed());
    CHECK(request.isLogged("late_answers_too_long"));
}

// Guards against memory that the text between chunks takes if it has no end.
TEST_CASE("chunk extensions and trailers without end fail the attempt", "[gateway][endless]")
{
    SentRequest request(Routing::WorkKind::NotIdempotent);
    write(*request.server, okHead + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n");
    std::string piece = "aaaaaaaa";
    SECTION("an extension")
    {
        write(*request.server, "2;");
    }
    SECTION("trailers")
    {
        write(*request.server, "0\r\n");
        piece = endlessField;
    }
    CHECK(request.offer(piece, mebibyte) < mebibyte);
    CHECK(request.isClosed());
    CHECK(request.isFailed());
    CHECK(request.isLogged("chunk_framing_too_long"));
}

// Guards against memory that answers without end of the store or another host take.
TEST_CASE("a call fails whose answer has no end", "[gateway][endless]")
{
    ClientCall call;
    std::string piece(64 * kibibyte, 'x');
    std::size_t limit = 64 * mebibyte + socketBytes;
    AnswerFault fault = AnswerFault::LongBody;
    SECTION("in its body")
    {
        write(*call.server, "HTTP/1.1 200 OK\r\n\r\n");
    }
    SECTION("in its chunks")
    {
        write(*call.server, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        piece = "10000\r\n" + piece + "\r\n";
    }
    SECTION("by its length")
    {
        write(*call.server, "HTTP/1.1 200 OK\r\nContent-Length: 4611686018427387904\r\n\r\n");
        limit = mebibyte;
    }
    SECTION("in its trailers")
    {
        write(*call.server, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n");
        piece = endlessField;
        limit = mebibyte;
        fault = AnswerFault::LongChunkFraming;
    }
    SECTION("in its head")
    {
        write(*call.server, "HTTP/1.1 200 OK\r\nX");
        piece = endlessField.substr(1) + "X";
        limit = mebibyte;
        fault = AnswerFault::LongHead;
    }
    const std::size_t offered = limit == mebibyte ? mebibyte : longAnswerBytes;
    CHECK(call.offer(piece, offered) < limit);
    call.poll();
    CHECK(call.isDone);
    CHECK_FALSE(call.answer);
    CHECK(call.client->fault() == fault);
}
