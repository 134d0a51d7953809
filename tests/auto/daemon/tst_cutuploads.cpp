#include "clientfixture.h"
#include "scriptedserver.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <string>
#include <thread>

using namespace Daemon;

namespace {

constexpr std::size_t mebibyte = 1U << 20;
const std::string okLine = "HTTP/1.1 200 OK\r\n";

} // namespace

// Guards against part of an answer that a caller gets as a whole one, since its server stopped
// while the request was still being written.
TEST_CASE("An answer without a length is cut off if it ends before its request", "[cutupload]")
{
    // A socket that is closed with unread input resets its connection as well.
    const bool isReset = GENERATE(false, true);
    const std::size_t bytes = GENERATE(mebibyte / 2, mebibyte, 4 * mebibyte);
    CAPTURE(isReset, bytes);
    const ScriptedServer server([&](ScriptedConnection &it) {
        it.readBegin();
        it.write(okLine + "\r\nhello");
        it.closeSending();
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
        if (isReset)
            it.reset();
    });
    CHECK(seenOf(callTo(server, std::string(bytes, 'u'))).isFailed());
}

// Guards against answers that end with their head, or a length, and are taken for cut ones.
TEST_CASE("An answer that tells its end may end before its request", "[cutupload]")
{
    for (const std::string &answer :
         {std::string("HTTP/1.1 204 No Content\r\n\r\n"), fixedAnswer(okLine, "hello")}) {
        CAPTURE(answer);
        const ScriptedServer server([&](ScriptedConnection &it) {
            it.readBegin();
            it.write(answer);
            it.closeSending();
            it.waitForClose();
        });
        CHECK(seenOf(callTo(server, std::string(4 * mebibyte, 'u'))).isFinished);
    }
}

// Guards against sound answers that are taken for cut ones.
TEST_CASE("An answer without a length is whole once its request has arrived", "[cutupload]")
{
    for (const std::size_t bytes : {std::size_t(1), mebibyte, 4 * mebibyte}) {
        CAPTURE(bytes);
        const ScriptedServer server([&](ScriptedConnection &it) {
            it.readRequest();
            it.write(okLine + "\r\nhello");
        });
        const SeenAnswer seen = seenOf(callTo(server, std::string(bytes, 'u')));
        CHECK(seen.isFinished);
        CHECK(seen.text == "hello");
    }
}
