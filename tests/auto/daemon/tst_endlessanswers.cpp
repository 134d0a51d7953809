#include "clientfixture.h"
#include "scriptedserver.h"

#include <catch2/catch.hpp>

#include <string>
#include <variant>

using namespace Daemon;

namespace {

const std::string okLine = "HTTP/1.1 200 OK\r\n";

/// Whether an attempt ends in time whose server sends \a head and then \a piece without end.
bool endsDespite(Node::WorkKind kind, const std::string &head, const std::string &piece)
{
    const ScriptedServer server([&](ScriptedConnection &it) {
        it.readRequest();
        it.write(head);
        for (int i = 0; i < 200'000 && it.write(piece); ++i) {}
        it.waitForClose();
    });
    Node::BackendRequest request = requestTo(server.address());
    request.kind = kind;
    ClientFixture fixture;
    fixture.client().send(request);
    return std::holds_alternative<Node::BackendFailed>(fixture.next());
}

} // namespace

// Guards against memory and time that a server takes which sends a head without end.
TEST_CASE("An attempt fails whose answer has no end in its heads", "[endless]")
{
    using Node::WorkKind;
    const std::string field = "X-Field: " + std::string(100, 'x') + "\r\n";
    CHECK(endsDespite(WorkKind::ServiceCall, okLine, field));
    CHECK(endsDespite(WorkKind::ServiceCall, okLine + "X: ", std::string(1000, 'x')));
    CHECK(endsDespite(WorkKind::ServiceCall, {}, "HTTP/1.1 102 Processing\r\n\r\n"));
    CHECK(endsDespite(WorkKind::ChatCompletion,
                      "HTTP/1.1 500 Broken\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", field));
}

// Guards against a request that waits behind the body of an error that has no end.
TEST_CASE("An attempt fails whose error has a body without end", "[endless]")
{
    using Node::WorkKind;
    const std::string piece(65536, 'x');
    CHECK(endsDespite(WorkKind::ChatCompletion, "HTTP/1.1 500 Broken\r\n\r\n", piece));
    CHECK(endsDespite(WorkKind::ServiceCall, "HTTP/1.1 409 No\r\nX-Not-Run: yes\r\n\r\n", piece));
}
