#include "gateway/servernotice.h"

#include <catch2/catch.hpp>

#include <string>

using namespace Gateway;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

HeaderNames names()
{
    HeaderNames it;
    it.retryAfter = "Retry-After";
    it.leaving = "Leaving";
    it.serverLoad = "Load";
    return it;
}

ResponseHead head(unsigned status, const std::string &name, const std::string &value)
{
    ResponseHead it;
    it.result(status);
    it.set(name, value);
    return it;
}

Base::Duration backoff(const std::string &value, unsigned status = 503)
{
    return serverNotice(head(status, "Retry-After", value), names()).backoff;
}

} // namespace

TEST_CASE("the time for which a server wants no requests is read from a refusal", "[gateway]")
{
    CHECK(backoff("3") == seconds(3));
    CHECK(backoff("0.25") == milliseconds(250));
    CHECK(backoff("3", 429) == seconds(3));
    CHECK(backoff("3600") == maxBackoff);
    CHECK(backoff("3601") == maxBackoff);
    CHECK(backoff("99999999999999999999") == maxBackoff);
    for (const char *text : {"0", "-3", "", "soon", "3s", "3 4", "inf", "nan", "1e3", "0x3",
                             "Wed, 21 Oct 2026 07:28:00 GMT"}) {
        INFO(text);
        CHECK(backoff(text) == Base::Duration::zero());
    }
    // These answers turn no request away, or come from another server.
    for (const unsigned status : {200U, 301U, 421U, 500U})
        CHECK(backoff("3", status) == Base::Duration::zero());
}

TEST_CASE("a server that shares its machine is told by the fourth figure of its load", "[gateway]")
{
    CHECK(serverNotice(head(200, "Load", "3,0,8,250"), names()).tellsMachineLoad);
    for (const char *text : {"", "3", "3,0,8"})
        CHECK(serverNotice(head(200, "Load", text), names()).isEmpty());
    CHECK_FALSE(serverNotice(head(200, "Load", "3,0,8,250"), names()).asksForLess());
    CHECK(serverNotice(head(200, "Load", "3,0,8,250"), HeaderNames()).isEmpty());
}

TEST_CASE("any answer of a server may announce that it leaves", "[gateway]")
{
    for (const unsigned status : {200U, 500U, 503U})
        CHECK(serverNotice(head(status, "Leaving", "1"), names()).isLeaving);
    for (const char *text : {"0", "", "true", "11"})
        CHECK_FALSE(serverNotice(head(200, "Leaving", text), names()).isLeaving);
    CHECK_FALSE(serverNotice(head(421, "Leaving", "1"), names()).isLeaving);
    CHECK(serverNotice(head(200, "Other", "1"), names()).isEmpty());
    // A deployment without these fields.
    CHECK(serverNotice(head(503, "Retry-After", "3"), HeaderNames()).isEmpty());
}
