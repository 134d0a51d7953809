#include "fakeexchangeport.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace Gateway;

namespace {

const std::string helloInChunks = "5\r\nhello\r\n0\r\n\r\n";
const std::string chunkedField = "Transfer-Encoding: chunked\r\n";
const std::string lengthField = "Content-Length: 5\r\n";

/// An answer as a server sends it before it closes its side of the connection.
struct Form
{
    const char *name;
    std::string text;
};

std::string answer(const std::string &fields, const std::string &body = "hello",
                   const std::string &version = "1.1")
{
    return "HTTP/" + version + " 200 OK\r\nRequest-Id: r-1\r\nSignature: s\r\n" + fields + "\r\n"
           + body;
}

std::string encoded(const std::string &value)
{
    return answer("Transfer-Encoding: " + value + "\r\n", helloInChunks);
}

std::string sized(const std::string &value)
{
    return answer("Content-Length: " + value + "\r\n");
}

std::string chunked(const std::string &body)
{
    return answer(chunkedField, body);
}

/// A request that is under way at a server, which answers with \a text.
struct AnsweredRequest
{
    explicit AnsweredRequest(const std::string &text)
        : exchange(port.exchange(sink, Routing::WorkKind::NotIdempotent))
    {
        exchange->placed(port.placement(1));
        Tcp::socket server = port.acceptRequest(1);
        boost::asio::write(server, boost::asio::buffer(text));
        server.shutdown(Tcp::socket::shutdown_send);
        port.pollUntil([this] { return exchange->isFinished(); });
    }
    bool isMalformed()
    {
        return port.logText().find("\"fault\":\"malformed\"") != std::string::npos;
    }

    RecordingSink sink;
    FakeExchangePort port{1};
    std::shared_ptr<Exchange> exchange;
};

} // namespace

// Guards against callers that get as an answer what a server may have meant for another one.
TEST_CASE("an answer whose end is unclear is no answer", "[framing]")
{
    const std::string identityField = "Transfer-Encoding: identity\r\n";
    const std::vector<Form> forms = {
        {"identity", encoded("identity")},
        {"gzip", encoded("gzip")},
        {"an unknown coding that ends with the name", encoded("xchunked")},
        {"chunked, identity", encoded("chunked, identity")},
        {"chunked twice", encoded("chunked, chunked")},
        {"a quoted coding", encoded("\"chunked\"")},
        {"an empty coding", encoded("")},
        {"a comma", encoded(",")},
        {"an empty element", encoded("chunked,")},
        {"a parameter", encoded("chunked;q=1")},
        {"gzip, chunked", encoded("gzip, chunked")},
        {"chunked in two fields", answer(chunkedField + chunkedField, helloInChunks)},
        {"identity, then chunked", answer(identityField + chunkedField, helloInChunks)},
        {"chunked, then identity", answer(chunkedField + identityField, helloInChunks)},
        {"chunked and a length", answer(chunkedField + lengthField, helloInChunks)},
        {"a length and chunked", answer(lengthField + chunkedField, helloInChunks)},
        {"identity and a length", answer(identityField + lengthField)},
        {"chunked in HTTP/1.0", answer(chunkedField, helloInChunks, "1.0")},
        {"a list of equal numbers", sized("5, 5")},
        {"a list of different numbers", sized("5, 6")},
        {"the same number twice", answer(lengthField + lengthField)},
        {"a plus sign", sized("+5")},
        {"an empty length", sized("")},
        {"two words", sized("5 5")},
        {"a number above 64 bits", sized("18446744073709551621")},
        {"a folded line", answer(lengthField + "X: a\r\n b\r\n")},
        {"a length after a fold", answer("Content-Length:\r\n 5\r\n")},
        {"CR in a value", answer(lengthField + "X: a\rb\r\n")},
        {"LF in place of a line's end", answer("X: a\n" + lengthField)},
        {"a blank before a colon", answer("Content-Length : 5\r\n")},
        {"a blank before the first field",
         "HTTP/1.1 200 OK\r\n Request-Id: r-1\r\n" + lengthField + "\r\nhello"},
        {"the size of a chunk with a sign", chunked("+5\r\nhello\r\n0\r\n\r\n")},
        {"LF after the size of a chunk", chunked("5\nhello\r\n0\r\n\r\n")},
        {"LF in a quoted extension", chunked("5;a=\"\n\"\r\nhello\r\n0\r\n\r\n")},
        {"more data than told", chunked("5\r\nhellooo\r\n0\r\n\r\n")},
        {"a length in the trailers", chunked("5\r\nhello\r\n0\r\nContent-Length: 5\r\n\r\n")},
    };
    for (const Form &form : forms) {
        CAPTURE(form.name);
        AnsweredRequest request(form.text);
        CHECK(request.sink.statuses == std::vector<unsigned>{502});
        CHECK(request.sink.text.find("hello") == std::string::npos);
        CHECK(request.port.outcomes == std::vector{Routing::AttemptOutcome::Broken});
        CHECK(request.isMalformed());
    }
}

// Guards against an answer to another request that is taken for the answer to this one.
TEST_CASE("an answer with two ids or two signatures is no answer", "[framing]")
{
    for (const char *second : {"Request-Id: r-2\r\n", "Request-Id: r-1\r\n", "Signature: t\r\n"}) {
        CAPTURE(second);
        AnsweredRequest request(answer(second + lengthField));
        CHECK(request.sink.statuses == std::vector<unsigned>{502});
        CHECK(request.isMalformed());
    }
}

// Guards against sound answers that are refused since they look like unsound ones.
TEST_CASE("answers whose end is clear are passed on", "[framing]")
{
    const std::vector<Form> forms = {
        {"a length", sized("5")},
        {"blanks around a length", sized(" \t5 ")},
        {"chunks", chunked(helloInChunks)},
        {"a coding in capitals", encoded("Chunked")},
        {"extensions", chunked("5;a=b;c=\"d\"\r\nhello\r\n0;e\r\n\r\n")},
        {"a trailer", chunked("5\r\nhello\r\n0\r\nX: a\r\n\r\n")},
        {"no length", answer({})},
        {"HTTP/1.0", answer({}, "hello", "1.0")},
        {"an answer to an older request before it",
         "HTTP/1.1 200 OK\r\nRequest-Id: r-0\r\n" + lengthField + "\r\nother" + sized("5")},
        {"a 1xx answer before it", "HTTP/1.1 102 Processing\r\n\r\n" + sized("5")},
    };
    for (const Form &form : forms) {
        CAPTURE(form.name);
        AnsweredRequest request(form.text);
        CHECK(request.sink.statuses == std::vector<unsigned>{200});
        CHECK(request.sink.text == "hello");
    }
}
