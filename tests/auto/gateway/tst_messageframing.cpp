#include "gateway/httplistener.h"

#include <catch2/catch.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <unistd.h>

#include <algorithm>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

using namespace Gateway;

namespace {

/// Follows each form, so that it runs if a recipient takes the form to have ended before.
const std::string nextRequest = "GET /next HTTP/1.1\r\nHost: a\r\n\r\n";
const std::string helloInChunks = "5\r\nhello\r\n0\r\n\r\n";

/// A request as it is sent, and the status with which it has to be refused.
struct RefusedForm
{
    const char *name;
    std::string text;
    int status = 400;
};

/// A request as it is sent, and what it has to be taken for.
struct AcceptedForm
{
    const char *name;
    std::string text;
    std::string body = {};
    std::string host = "a";
    std::string target = "/asked";
};

std::string post(const std::string &fields, const std::string &body = {})
{
    return "POST /asked HTTP/1.1\r\nHost: a\r\n" + fields + "\r\n" + body;
}

std::string encoded(const std::string &value)
{
    return post("Transfer-Encoding: " + value + "\r\n");
}

std::string sized(const std::string &value)
{
    return post("Content-Length: " + value + "\r\n", "hello");
}

std::string chunked(const std::string &body)
{
    return post("Transfer-Encoding: chunked\r\n", body);
}

std::string get(const std::string &target)
{
    return "GET " + target + " HTTP/1.1\r\nHost: a\r\n\r\n";
}

/// Answers each request at once and records what it was taken for.
class RecordingHandler final : public RequestHandler
{
public:
    std::shared_ptr<ActiveRequest> handle(CallerRequest request, AnswerSink &sink) override
    {
        requests.push_back(std::move(request.message));
        ResponseHead head;
        head.result(200);
        sink.sendAnswer(head, {});
        return nullptr;
    }
    bool hasRun(const std::string &target) const
    {
        return std::any_of(requests.begin(), requests.end(),
                           [&](const Request &it) { return it.target() == target; });
    }

    std::vector<Request> requests;
};

/// One caller's connection to a listener on loopback, on the same thread.
class Connection
{
public:
    Connection()
        : m_caller(m_callers)
    {
        Tcp::acceptor probe(m_io, {boost::asio::ip::make_address_v4("127.0.0.1"), 0});
        const std::uint16_t port = probe.local_endpoint().port();
        probe.close();
        boost::leaf::try_handle_all(
            [&]() -> Base::Result<void> {
                BOOST_LEAF_ASSIGN(m_listener,
                                  HttpListener::create(m_io, {"127.0.0.1", port},
                                                       {handler, m_limits, m_buffer, m_share}));
                return {};
            },
            [] { FAIL("cannot listen"); });
        m_caller.connect({boost::asio::ip::make_address_v4("127.0.0.1"), port});
        m_caller.non_blocking(true);
    }

    /// Sends \a text in pieces of \a pieceSize bytes, until the listener closes the connection or
    /// has handled \a expected requests.
    void send(const std::string &text, std::size_t pieceSize, std::size_t expected)
    {
        for (std::size_t at = 0; at < text.size() && !m_isClosed; at += pieceSize) {
            boost::system::error_code ec;
            boost::asio::write(m_caller, boost::asio::buffer(text.substr(at, pieceSize)), ec);
            poll();
        }
        // The last bytes may be under way still.
        for (int i = 0; i < 200 && !m_isClosed && handler.requests.size() < expected; ++i) {
            usleep(1000);
            poll();
        }
    }
    bool isClosed() const { return m_isClosed; }
    const std::string &answers() const { return m_answers; }

private:
    void poll()
    {
        m_io.restart();
        m_io.poll();
        boost::system::error_code ec;
        boost::asio::read(m_caller, boost::asio::dynamic_buffer(m_answers), ec);
        m_isClosed = ec != boost::asio::error::would_block;
    }

public:
    RecordingHandler handler;

private:
    CallerShare m_share;
    boost::asio::io_context m_io;
    boost::asio::io_context m_callers;
    ConnectionLimits m_limits;
    std::string m_buffer = std::string(65536, '\0');
    std::unique_ptr<HttpListener> m_listener;
    Tcp::socket m_caller;
    std::string m_answers;
    bool m_isClosed = false;
};

void checkRefused(const std::vector<RefusedForm> &forms)
{
    int ran = 0;
    for (const RefusedForm &form : forms) {
        bool hasRun = false;
        for (const std::size_t pieceSize : {std::size_t(65536), std::size_t(1)}) {
            CAPTURE(form.name, pieceSize);
            Connection connection;
            connection.send(form.text + nextRequest, pieceSize, 3);
            CHECK(connection.handler.requests.empty());
            CHECK(connection.answers().starts_with("HTTP/1.1 " + std::to_string(form.status)));
            CHECK(connection.answers().find("Connection: close\r\n") != std::string::npos);
            CHECK(connection.isClosed());
            hasRun |= connection.handler.hasRun("/next");
        }
        ran += hasRun ? 1 : 0;
    }
    INFO("forms after which the bytes that follow ran, of " << forms.size());
    CHECK(ran == 0);
}

} // namespace

// Guards against bytes after a request that run as a request of their own, since the recipients on
// its way do not agree on where it ends.
TEST_CASE("requests with an unclear transfer coding are refused", "[framing]")
{
    const std::string chunkedField = "Transfer-Encoding: chunked\r\n";
    const std::string identityField = "Transfer-Encoding: identity\r\n";
    const std::string lengthField = "Content-Length: 5\r\n";
    checkRefused({
        {"identity", encoded("identity")},
        {"gzip", encoded("gzip")},
        {"an unknown coding that ends with the name", encoded("xchunked")},
        {"an unknown coding that begins with the name", encoded("chunkedx")},
        {"chunked, identity", encoded("chunked, identity")},
        {"chunked, gzip", encoded("chunked, gzip")},
        {"chunked twice", encoded("chunked, chunked")},
        {"quoted", encoded("\"chunked\"")},
        {"in single quotes", encoded("'chunked'")},
        {"empty", encoded("")},
        {"blank", encoded(" \t")},
        {"a comma", encoded(",")},
        {"an empty element before", encoded(", chunked")},
        {"an empty element after", encoded("chunked,")},
        {"a parameter", encoded("chunked;q=1")},
        {"an empty parameter", encoded("chunked;")},
        {"two words", encoded("chunked identity")},
        {"a word in front", encoded("x chunked")},
        {"a vertical tab in front", encoded("\vchunked")},
        {"a NUL after it", encoded(std::string("chunked\0", 8))},
        {"a byte above ASCII", encoded("chunked\xa0")},
        {"gzip, chunked", post("Transfer-Encoding: gzip, chunked\r\n", helloInChunks), 501},
        {"identity, chunked", post("Transfer-Encoding: identity, chunked\r\n", helloInChunks), 501},
        {"an unknown coding, chunked", post("Transfer-Encoding: x,chunked\r\n", helloInChunks),
         501},
        {"chunked in two fields", post(chunkedField + chunkedField)},
        {"chunked, then identity in another field", post(chunkedField + identityField)},
        {"identity, then chunked in another field",
         post(identityField + chunkedField, helloInChunks), 501},
        {"identity in two fields", post(identityField + identityField)},
        {"chunked and a length", post(chunkedField + lengthField, helloInChunks)},
        {"a length and chunked", post(lengthField + chunkedField, helloInChunks)},
        {"identity and a length", post(identityField + lengthField, "hello")},
        {"a length and identity", post(lengthField + identityField, "hello")},
        {"HTTP/1.0", "POST /asked HTTP/1.0\r\nHost: a\r\n" + chunkedField + "\r\n" + helloInChunks},
        {"HTTP/1.0 that keeps the connection",
         "POST /asked HTTP/1.0\r\nHost: a\r\nConnection: keep-alive\r\n" + chunkedField + "\r\n"
             + helloInChunks},
    });
}

// Guards against bytes that run as a request of their own after a length that can be read in
// several ways.
TEST_CASE("requests with an unclear length are refused", "[framing]")
{
    checkRefused({
        {"a list of equal numbers", sized("5, 5")},
        {"a list of different numbers", sized("5, 6")},
        {"an empty element before", sized(", 5")},
        {"an empty element after", sized("5,")},
        {"the same number in two fields", sized("5\r\nContent-Length: 5")},
        {"different numbers in two fields", sized("5\r\nContent-Length: 6")},
        {"a plus sign", sized("+5")},
        {"a minus sign", sized("-5")},
        {"two words", sized("5 5")},
        {"empty", sized("")},
        {"blank", sized(" ")},
        {"hexadecimal", sized("0x5")},
        {"a fraction", sized("5.0")},
        {"an exponent", sized("5e0")},
        {"quoted", sized("\"5\"")},
        {"a parameter", sized("5;a=b")},
        {"a number above 64 bits", sized("18446744073709551621")},
        {"a vertical tab in front", sized("\v5")},
    });
}

// Guards against fields that one recipient takes for the length or the coding and another one for
// something else.
TEST_CASE("requests with unclear lines or hosts are refused", "[framing]")
{
    checkRefused({
        {"a folded line", post("X: a\r\n b\r\n")},
        {"a line folded with a tab", post("X: a\r\n\tb\r\n")},
        {"a folded coding", post("X: a\r\n Transfer-Encoding: chunked\r\n")},
        {"a coding after a fold", post("Transfer-Encoding:\r\n chunked\r\n", helloInChunks)},
        {"a length after a fold", post("Content-Length:\r\n 5\r\n", "hello")},
        {"a folded host", "GET /asked HTTP/1.1\r\nHost: a\r\n b\r\n\r\n"},
        {"an empty line with a blank", post("X: a\r\n \r\nContent-Length: 5\r\n", "hello")},
        {"a blank before the first field", "GET /asked HTTP/1.1\r\n X: a\r\nHost: a\r\n\r\n"},
        {"CR in a value", post("X: a\rb\r\n")},
        {"CR before the end of a line", post("X: a\r\r\n")},
        {"CR in place of a line's end", post("X: a\rContent-Length: 5\r\n", "hello")},
        {"LF in place of a line's end", post("X: a\nContent-Length: 5\r\n", "hello")},
        {"LF at the end of the request line", "GET /asked HTTP/1.1\nHost: a\r\n\r\n"},
        {"LF at the end of all lines", "GET /asked HTTP/1.1\nHost: a\n\n"},
        {"LF in place of the empty line", "GET /asked HTTP/1.1\r\nHost: a\r\n\n"},
        {"CR in the target", get("/asked\rx")},
        {"NUL in a value", post(std::string("X: a\0b\r\n", 8))},
        {"a blank before the colon of a length", post("Content-Length : 5\r\n", "hello")},
        {"a tab before the colon of a length", post("Content-Length\t: 5\r\n", "hello")},
        {"a blank before the colon of a coding",
         post("Transfer-Encoding : chunked\r\n", helloInChunks)},
        {"a blank before the colon of a host", "GET /asked HTTP/1.1\r\nHost : a\r\n\r\n"},
        {"a blank in a name", post("X Content-Length: 5\r\n", "hello")},
        {"no name", post(": a\r\n")},
        {"no colon", post("X\r\n")},
        {"two hosts", post("Host: b\r\n")},
        {"the same host twice", post("Host: a\r\n")},
        {"a target with a user", get("http://u@b/asked")},
        {"a target without a host", get("http:///asked")},
    });
}

// Guards against bytes that run as a request of their own after a chunk that can be read in
// several ways.
TEST_CASE("requests with unclear chunks are refused", "[framing]")
{
    checkRefused({
        {"no number", chunked("g\r\nhello\r\n0\r\n\r\n")},
        {"an empty number", chunked("\r\nhello\r\n0\r\n\r\n")},
        {"a plus sign", chunked("+5\r\nhello\r\n0\r\n\r\n")},
        {"a minus sign", chunked("-5\r\nhello\r\n0\r\n\r\n")},
        {"0x in front", chunked("0x5\r\nhello\r\n0\r\n\r\n")},
        {"a blank in front", chunked(" 5\r\nhello\r\n0\r\n\r\n")},
        {"a blank behind", chunked("5 \r\nhello\r\n0\r\n\r\n")},
        {"a number above 64 bits", chunked("10000000000000005\r\nhello\r\n0\r\n\r\n")},
        {"LF after the number", chunked("5\nhello\r\n0\r\n\r\n")},
        {"CR after the number", chunked("5\rhello\r\n0\r\n\r\n")},
        {"LF in an extension", chunked("5;a\nb\r\nhello\r\n0\r\n\r\n")},
        {"CR in an extension", chunked("5;a\rb\r\nhello\r\n0\r\n\r\n")},
        {"LF in a quoted extension", chunked("5;a=\"\n\"\r\nhello\r\n0\r\n\r\n")},
        {"an extension without a name", chunked("5;\r\nhello\r\n0\r\n\r\n")},
        {"a quote over two lines", chunked("5;a=\"b\r\nhello\"\r\n0\r\n\r\n")},
        {"more data than told", chunked("5\r\nhellooo\r\n0\r\n\r\n")},
        {"LF after the data", chunked("5\r\nhello\n0\r\n\r\n")},
        {"LF after the last number", chunked("5\r\nhello\r\n0\n\r\n")},
        {"LF in place of the empty line", chunked("5\r\nhello\r\n0\r\n\n")},
        {"a length in the trailers", chunked("0\r\nContent-Length: 5\r\n\r\n")},
        {"a coding in the trailers", chunked("0\r\nTransfer-Encoding: chunked\r\n\r\n")},
        {"a blank before the colon of a trailer", chunked("0\r\nX : a\r\n\r\n")},
        {"LF in a trailer", chunked("0\r\nX: a\nY: b\r\n\r\n")},
    });
}

// Guards against sound requests that are refused since they look like unsound ones, and against
// trailers that replace or add fields of the head.
TEST_CASE("requests whose framing is clear are taken as they are", "[framing]")
{
    const std::vector<AcceptedForm> forms = {
        {"no body", get("/asked")},
        {"a length", sized("5"), "hello"},
        {"a length with zeros in front", sized("005"), "hello"},
        {"blanks around a length", sized(" \t5 \t"), "hello"},
        {"a length of zero", post("Content-Length: 0\r\n")},
        {"chunks", chunked(helloInChunks), "hello"},
        {"a coding in capitals", post("TRANSFER-ENCODING: Chunked\r\n", helloInChunks), "hello"},
        {"blanks around a coding", post("Transfer-Encoding:\t chunked \r\n", helloInChunks),
         "hello"},
        {"several chunks", chunked("2\r\nhe\r\n03\r\nllo\r\n00\r\n\r\n"), "hello"},
        {"capital digits", chunked("A\r\n0123456789\r\n0\r\n\r\n"), "0123456789"},
        {"extensions", chunked("5;a=b;c=\"d;e\"\r\nhello\r\n0;f\r\n\r\n"), "hello"},
        {"blanks in extensions", chunked("5 ; a = b\r\nhello\r\n0\r\n\r\n"), "hello"},
        {"a trailer", chunked("5\r\nhello\r\n0\r\nX: a\r\n\r\n"), "hello"},
        {"a host in the trailers", chunked("5\r\nhello\r\n0\r\nHost: b\r\n\r\n"), "hello"},
        {"an absolute target", get("http://b/asked"), {}, "b"},
        {"an absolute target in capitals", get("HTTP://b:80/asked"), {}, "b:80"},
        {"an absolute target without a path", get("http://b"), {}, "b", "/"},
        {"an absolute target with only a query", get("http://b?c"), {}, "b", "/?c"},
        {"an absolute target with its host twice",
         "GET http://b/asked HTTP/1.1\r\nhost: a\r\nX: c\r\n\r\n",
         {},
         "b"},
        {"HTTP/1.0 with a length",
         "POST /asked HTTP/1.0\r\nHost: a\r\nConnection: keep-alive\r\nContent-Length: 5\r\n\r\n"
         "hello",
         "hello"},
    };
    for (const AcceptedForm &form : forms) {
        for (const std::size_t pieceSize : {std::size_t(65536), std::size_t(1)}) {
            CAPTURE(form.name, pieceSize);
            Connection connection;
            connection.send(form.text + nextRequest, pieceSize, 2);
            const std::vector<Request> &requests = connection.handler.requests;
            CHECK_FALSE(connection.isClosed());
            CHECK(requests.size() == 2);
            if (requests.size() != 2)
                continue;
            CHECK(requests[0].target() == form.target);
            CHECK(requests[0].body() == form.body);
            CHECK(requests[0].count(Http::field::host) == 1);
            CHECK(requests[0][Http::field::host] == form.host);
            CHECK(requests[1].target() == "/next");
        }
    }
}

// Guards against trailers that identify another customer or another request than the head.
TEST_CASE("trailers are not taken for fields of the head", "[framing]")
{
    Connection connection;
    connection.send(post("Transfer-Encoding: chunked\r\nX: head\r\n",
                         "5\r\nhello\r\n0\r\nAuthorization: Bearer k\r\nX: trailer\r\n\r\n"),
                    65536, 1);
    REQUIRE(connection.handler.requests.size() == 1);
    const Request &request = connection.handler.requests[0];
    CHECK(request.count("Authorization") == 0);
    CHECK(request.count("X") == 1);
    CHECK(request["X"] == "head");
    CHECK(request.body() == "hello");
}
