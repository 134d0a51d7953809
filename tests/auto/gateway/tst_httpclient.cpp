#include "gateway/boottime.h"
#include "gateway/httpclient.h"
#include "loopbackserver.h"

#include <catch2/catch.hpp>

#include <asm/ioctls.h>
#include <sys/ioctl.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

using namespace Gateway;

namespace {

const std::string okLine = "HTTP/1.1 200 OK\r\n";
const std::string interim = "HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n";
const std::string chunkedField = "Transfer-Encoding: chunked\r\n";
const std::string listInChunks = "2\r\n[]\r\n0\r\n\r\n";

std::string sized(const std::string &body)
{
    return okLine + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// A client, and the server that it calls.
class CalledServer
{
public:
    /// Lets the client call.
    void call()
    {
        m_isDone = false;
        m_answer.reset();
        m_client->call({"GET", "/x", {}}, std::chrono::seconds(60), bootTimeNow(),
                       [this](const std::optional<HttpAnswer> &it) {
                           m_isDone = true;
                           m_answer = it;
                       });
    }
    /// Accepts the client's connection and reads the request on it.
    Tcp::socket accept()
    {
        REQUIRE(pollUntil([this] { return m_server.isCalled(); }));
        Tcp::socket socket = m_server.accept();
        REQUIRE(pollUntil([&] { return LoopbackServer::isReadable(socket.native_handle()); }));
        CHECK_FALSE(LoopbackServer::readRequest(socket).empty());
        return socket;
    }
    /// The answer's body; "none" if the call has brought no answer.
    std::string body()
    {
        REQUIRE(pollUntil([this] { return m_isDone; }));
        return m_answer ? m_answer->body : "none";
    }
    unsigned status() const { return m_answer ? m_answer->status : 0; }
    AnswerFault fault() const { return m_client->fault(); }
    bool pollUntil(const std::function<bool()> &isDone)
    {
        for (int i = 0; i < 1000 && !isDone(); ++i) {
            m_io.restart();
            if (m_io.poll() == 0)
                usleep(1000);
        }
        return isDone();
    }
    bool isConnectionPending() { return m_server.isCalled(); }

private:
    boost::asio::io_context m_io;
    LoopbackServer m_server{m_io};
    std::shared_ptr<HttpClient> m_client =
        std::make_shared<HttpClient>(m_io, *Settings::parseAddress(m_server.entry().address));
    std::optional<HttpAnswer> m_answer;
    bool m_isDone = false;
};

void write(Tcp::socket &socket, const std::string &text)
{
    boost::asio::write(socket, boost::asio::buffer(text));
}

/// The body that a client takes from a server that sends \a text and then ends the connection.
std::string bodyOf(const std::string &text, bool isReset = false)
{
    CalledServer server;
    server.call();
    Tcp::socket socket = server.accept();
    write(socket, text);
    if (isReset)
        socket.set_option(boost::asio::socket_base::linger(true, 0));
    socket.close();
    return server.body();
}

} // namespace

// Guards against a list that was cut off and is taken for an empty or short one.
TEST_CASE("an answer to the client that is cut off is none, wherever it is cut",
          "[gateway][client]")
{
    const std::string chunked = okLine + chunkedField + "\r\n" + listInChunks;
    for (const std::string &whole : {sized("[]"), chunked, interim + sized("[]")}) {
        CHECK(bodyOf(whole) == "[]");
        for (std::size_t n = 0; n < whole.size(); ++n) {
            for (const bool isReset : {false, true}) {
                CAPTURE(whole.substr(0, n), isReset);
                CHECK(bodyOf(whole.substr(0, n), isReset) == "none");
            }
        }
    }
    CHECK(bodyOf(okLine + "\r\n[]") == "none");
}

// Guards against an answer whose end is unclear, which may be cut off or another one's.
TEST_CASE("an answer to the client whose end is unclear is none", "[gateway][client]")
{
    const std::string lengthField = "Content-Length: 2\r\n";
    const std::vector<std::string> forms = {
        okLine + chunkedField + lengthField + "\r\n" + listInChunks,
        okLine + lengthField + chunkedField + "\r\n" + listInChunks,
        okLine + lengthField + lengthField + "\r\n[]",
        okLine + lengthField + "Transfer-Encoding: gzip\r\n\r\n[]",
        okLine + "Content-Length:\r\n 2\r\n\r\n[]",
        okLine + lengthField + "X: a\r\n b\r\n\r\n[]",
        okLine + "Content-Length: 2, 2\r\n\r\n[]",
        okLine + chunkedField + "\r\n2;a=\"\n\"\r\n[]\r\n0\r\n\r\n"};
    for (const std::string &text : forms) {
        CAPTURE(text);
        CHECK(bodyOf(text) == "none");
    }
}

// Guards against a 1xx answer that is taken for the final one.
TEST_CASE("the client passes 1xx answers over", "[gateway][client]")
{
    CalledServer server;
    server.call();
    Tcp::socket socket = server.accept();
    SECTION("in one piece")
    {
        write(socket, interim + interim + sized("[1]"));
    }
    SECTION("byte by byte")
    {
        for (const char it : interim + sized("[1]")) {
            write(socket, std::string(1, it));
            server.pollUntil([&] {
                int unsent = 0;
                return ::ioctl(socket.native_handle(), TIOCOUTQ, &unsent) == 0 && unsent == 0;
            });
        }
    }
    CHECK(server.body() == "[1]");
    CHECK(server.status() == 200);
}

// Guards against a call that waits behind 1xx answers without end.
TEST_CASE("the client gives up after many 1xx answers", "[gateway][client]")
{
    CalledServer server;
    server.call();
    Tcp::socket socket = server.accept();
    std::string text;
    for (int i = 0; i <= maxInterimAnswers; ++i)
        text += interim;
    write(socket, text + sized("[1]"));
    CHECK(server.body() == "none");
    CHECK(server.fault() == AnswerFault::ManyInterimAnswers);
}

// Guards against a second answer to an older call that is taken for the answer to the next one.
TEST_CASE("the client takes no answer that came before its call", "[gateway][client]")
{
    CalledServer server;
    server.call();
    Tcp::socket first = server.accept();
    write(first, sized("[1]"));
    REQUIRE(server.body() == "[1]");
    // The bytes are in the client's socket once they are acknowledged, and it does not look yet.
    write(first, sized("[1]"));
    for (int unsent = 1; unsent > 0;)
        REQUIRE(::ioctl(first.native_handle(), TIOCOUTQ, &unsent) == 0);
    server.call();
    Tcp::socket second = server.accept();
    write(second, sized("[2]"));
    CHECK(server.body() == "[2]");
}

// Guards against calls that each open a connection of their own.
TEST_CASE("the client calls again on its connection", "[gateway][client]")
{
    CalledServer server;
    server.call();
    Tcp::socket socket = server.accept();
    write(socket, sized("[1]"));
    REQUIRE(server.body() == "[1]");
    server.call();
    REQUIRE(server.pollUntil([&] { return LoopbackServer::isReadable(socket.native_handle()); }));
    CHECK_FALSE(LoopbackServer::readRequest(socket).empty());
    write(socket, sized("[2]"));
    CHECK(server.body() == "[2]");
    CHECK_FALSE(server.isConnectionPending());
}
