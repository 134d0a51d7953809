#include "scriptedserver.h"

#include "daemon/platformclient.h"
#include "daemon/platformcodec.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace {

using namespace Daemon;
using Storage::TableStatus;

std::string httpAnswer(const std::string &status, const std::string &body)
{
    return "HTTP/1.1 " + status + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n"
           + body;
}

/// Returns the status of a write to the platform at \a address.
TableStatus writeAt(const std::string &address)
{
    EventRing ring(16);
    auto client = PlatformClient::create(address, ring);
    REQUIRE(client);
    (*client)->transact(5, {{"k", "v", Storage::absentRow}});
    const auto event = ring.popFor(std::chrono::seconds(20));
    REQUIRE(event);
    const auto outcome = std::get<Storage::TableOutcome>(*event);
    CHECK(outcome.operation == 5);
    return outcome.status;
}

TableStatus writeWith(const ScriptedServer::Script &script)
{
    const ScriptedServer server(script);
    return writeAt(server.address());
}

TableStatus writeAnswered(const std::string &status, const std::string &body)
{
    return writeWith([&](ScriptedConnection &it) {
        it.readRequest();
        it.write(httpAnswer(status, body));
        it.waitForClose();
    });
}

} // namespace

// Guards against reporting work that ran as "not run". A claim is written, the table commits it and
// its answer is cut; a lost answer must not count as a write that was never sent.
TEST_CASE("A write whose answer is lost is unknown, and one that was never sent is not done")
{
    CHECK(writeAt(unusedAddress()) == TableStatus::NotDone);
    CHECK(writeWith([](ScriptedConnection &it) { it.readRequest(); }) == TableStatus::Unknown);
    CHECK(writeWith([](ScriptedConnection &it) {
              it.readRequest();
              it.write("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{\"rows\"");
          })
          == TableStatus::Unknown);
    CHECK(writeAnswered("200 OK", R"({"rows":[{"key":"k","value":"v","version":3}]})")
          == TableStatus::Done);
    CHECK(writeAnswered("200 OK", "not json") == TableStatus::Unknown);
    CHECK(writeAnswered("409 Conflict", "{}") == TableStatus::Conflict);
    CHECK(writeAnswered("429 Too Many", "{}") == TableStatus::NotDone);
    CHECK(writeAnswered("503 Down", "{}") == TableStatus::NotDone);
    CHECK(writeAnswered("500 Broken", "{}") == TableStatus::Unknown);
}

// Guards against a list that is cut off and is taken for an empty or short one.
TEST_CASE("An answer of the platform that is cut off brings nothing, wherever it is cut")
{
    const std::string body = R"({"rows":[]})";
    // The library needs no LF after the last CR. No byte of the body can be missing then.
    const std::string chunked =
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nb\r\n" + body + "\r\n0\r\n\r";
    for (const std::string &whole : {httpAnswer("200 OK", body), chunked}) {
        for (std::size_t n = 0; n < whole.size(); ++n) {
            CAPTURE(whole.substr(0, n));
            const ScriptedServer server([&](ScriptedConnection &it) {
                it.readRequest();
                it.write(whole.substr(0, n));
            });
            EventRing ring(16);
            auto client = PlatformClient::create(server.address(), ring);
            REQUIRE(client);
            (*client)->get(5, "k");
            const auto event = ring.popFor(std::chrono::seconds(20));
            REQUIRE(event);
            CHECK(std::get<Storage::ObjectOutcome>(*event).status
                  == Storage::ObjectStatus::Unknown);
        }
    }
}

// Guards against an object that is cut off where nothing tells its length, and is taken for whole.
TEST_CASE("An object without a length or chunks is unknown")
{
    const auto statusOf = [](const std::string &answer) {
        const ScriptedServer server([&](ScriptedConnection &it) {
            it.readRequest();
            it.write(answer);
        });
        EventRing ring(16);
        auto client = PlatformClient::create(server.address(), ring);
        REQUIRE(client);
        (*client)->get(5, "k");
        const auto event = ring.popFor(std::chrono::seconds(20));
        REQUIRE(event);
        return std::get<Storage::ObjectOutcome>(*event).status;
    };
    const std::string head = "HTTP/1.1 200 OK\r\n";
    CHECK(statusOf(head + "\r\nval") == Storage::ObjectStatus::Unknown);
    CHECK(statusOf(head + "\r\n") == Storage::ObjectStatus::Unknown);
    CHECK(statusOf(head + "Content-Length: 0\r\n\r\n") == Storage::ObjectStatus::Done);
    CHECK(statusOf(head + "Transfer-Encoding: Chunked\r\n\r\n1\r\nv\r\n0\r\n\r\n")
          == Storage::ObjectStatus::Done);
    CHECK(statusOf("HTTP/1.1 204 No Content\r\n\r\n") == Storage::ObjectStatus::Done);
}

TEST_CASE("Any answer of the platform is decoded or refused")
{
    rc::prop("arbitrary bytes", [](const std::string &bytes) {
        boost::leaf::try_handle_all(
            [&]() -> Base::Result<void> {
                BOOST_LEAF_AUTO(rows, decodeRows(bytes));
                (void)rows;
                BOOST_LEAF_AUTO(listing, decodeListing(bytes));
                (void)listing;
                return {};
            },
            [](const MalformedPlatformAnswer &) {}, [] { RC_FAIL("another error"); });
    });
    for (const char *text : {R"({"rows":1})", R"({"rows":[1]})", R"({"rows":[{}]})"})
        CHECK_FALSE(decodeRows(text));
    CHECK_FALSE(decodeListing(R"({"hosts":[3]})"));
    CHECK(decodeListing(R"({"version":"x","hosts":[{"role":"router","name":1,"pools":{}}]})"));
}
