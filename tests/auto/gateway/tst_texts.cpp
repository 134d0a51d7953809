#include "gateway/contentdigest.h"
#include "gateway/eventsplitter.h"
#include "gateway/failure.h"
#include "gateway/gatewaysettings.h"
#include "gateway/httptext.h"
#include "gateway/promptfields.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <boost/beast/http/parser.hpp>

using namespace Gateway;

namespace {

HeaderNames names()
{
    HeaderNames it;
    it.requestId = "Request-Id";
    it.timeLeft = "Time-Left";
    it.customer = "Customer";
    it.expectedServer = "Expected-Server";
    it.fetchFrom = "Fetch-From";
    it.promptParts = "Prompt-Parts";
    it.lastEventId = "Last-Event-Id";
    it.reserved = {"Reserve", "Fetch-From"};
    return it;
}

Request parsed(const std::string &text)
{
    Http::request_parser<Http::string_body> parser;
    parser.eager(true);
    boost::system::error_code ec;
    parser.put(boost::asio::buffer(text), ec);
    REQUIRE_FALSE(ec);
    return parser.release();
}

/// The head and the body as a server gets them.
std::string forwardedText(const Request &request, const ForwardedFields &added,
                          const HeaderNames &headerNames)
{
    return forwardedHead(request, request.body().size(), added, headerNames) + request.body();
}

} // namespace

TEST_CASE("fields that only the gateway may set are not taken from callers", "[gateway]")
{
    const Request request = parsed("POST /cars/?a=b HTTP/1.1\r\nHost: a\r\nRequest-Id: 1\r\n"
                                   "customer: somebody else\r\nReserve: x\r\nExpected-Server: y\r\n"
                                   "Time-Left: 9000\r\nAuthorization: Bearer k\r\nX-Own: z\r\n"
                                   "Connection: keep-alive, X-Hop\r\nX-Hop: 1\r\n"
                                   "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n");
    const std::string text = forwardedText(request, {1200, "dealer", "s-1", "", "", true}, names());
    CHECK(text
          == "POST /cars/?a=b HTTP/1.1\r\nHost: a\r\nRequest-Id: 1\r\nX-Own: z\r\n"
             "Time-Left: 1200\r\nExpected-Server: s-1\r\nCustomer: dealer\r\n"
             "Content-Length: 3\r\n\r\nabc");
}

TEST_CASE("the digest of a request's content is the same over the tries of its caller", "[gateway]")
{
    const auto digest = [](const std::string &head, const std::string &body) {
        return contentDigest(parsed("POST " + head + "\r\nContent-Length: "
                                    + std::to_string(body.size()) + "\r\n\r\n" + body),
                             body, names());
    };
    const std::string head = "/cars/1 HTTP/1.1\r\nHost: a\r\nPrompt-Parts: ab:5\r\n";
    const std::uint64_t first = digest(head + "Request-Id: 1\r\nTime-Left: 9000", "abc");
    CHECK(digest(head + "Request-Id: 2\r\nTime-Left: 400\r\nLast-Event-Id: 7", "abc") == first);
    CHECK(digest(head + "Request-Id: 1", "abd") != first);
    CHECK(digest("/cars/1 HTTP/1.1\r\nHost: a\r\nPrompt-Parts: ab:6", "abc") != first);
    CHECK(digest("/cars/2 HTTP/1.1\r\nHost: a\r\nPrompt-Parts: ab:5", "abc") != first);
    CHECK(digest("/cars/1 HTTP/1.1\r\nHost: b\r\nPrompt-Parts: ab:5", "abc") != first);
}

TEST_CASE("the body of a refusal has the documented form for any request id", "[gateway]")
{
    const Failure refusal{FailureType::HostOverloaded, false, Base::Milliseconds(400)};
    CHECK(failureBody(refusal, "a1")
          == R"({"error":{"type":"host_overloaded","message":"host_overloaded","ran":"no",)"
             R"("retryAfterMs":400},"requestId":"a1"})");
    const Failure lost{FailureType::ServerFailed, true, std::nullopt};
    CHECK(failureBody(lost, "\"\n\xff")
          == R"({"error":{"type":"backend_failed","message":"backend_failed","ran":"unknown"},)"
             R"("requestId":"\"\n\ufffd"})");
    CHECK(failureStatus(refusal) == 503);
    CHECK(failureStatus(lost) == 502);
}

TEST_CASE("only the gateway tells a server where to fetch the beginning of a prompt", "[gateway]")
{
    const Request request =
        parsed("GET /cars/ HTTP/1.1\r\nHost: a\r\nFetch-From: 10.0.0.9:1\r\n\r\n");
    const ForwardedFields reading{1, "", "s-1", "", "", false};
    CHECK(forwardedText(request, reading, names()).find("Fetch-From") == std::string::npos);
    const ForwardedFields fetching{1, "", "s-1", "10.1.0.2:80", "", false};
    const std::string text = forwardedText(request, fetching, names());
    CHECK(text.find("Fetch-From: 10.1.0.2:80\r\n") != std::string::npos);
    CHECK(text.find("10.0.0.9") == std::string::npos);
}

TEST_CASE("a request that resumes a stream has one Last-Event-Id field", "[gateway]")
{
    const Request request = parsed("GET /cars/ HTTP/1.1\r\nHost: a\r\nLast-Event-Id: 3\r\n\r\n");
    const std::string text = forwardedText(request, {1, "", "s-1", "", "17", false}, names());
    CHECK(text.find("Last-Event-Id: 3\r\n") == std::string::npos);
    CHECK(text.find("Last-Event-Id: 17\r\n") != std::string::npos);
    CHECK(text.find("Content-Length") == std::string::npos);
    const std::string first = forwardedText(request, {1, "", "s-1", "", "", false}, names());
    CHECK(first.find("Last-Event-Id: 3\r\n") != std::string::npos);
}

TEST_CASE("events come out complete and once, however their bytes are split", "[gateway]")
{
    rc::prop("the output has the events after the last one that the caller has received", [] {
        const int events = *rc::gen::inRange(0, 12);
        const int have = *rc::gen::inRange(0, 12);
        std::string text;
        std::string expected;
        for (int id = 1; id <= events; ++id) {
            const std::string event = "id: " + std::to_string(id) + "\ndata: "
                                      + std::string(static_cast<std::size_t>(id % 4), 'x')
                                      + (id % 3 == 0 ? "\r\n\r\n" : "\n\n");
            text += event;
            if (id > have)
                expected += event;
        }
        const std::string half = *rc::gen::element<std::string>("", "id: 99\ndata: ha", "\n");
        text += half;
        EventSplitter splitter(have);
        std::string got;
        std::size_t at = 0;
        while (at < text.size()) {
            const auto n = static_cast<std::size_t>(*rc::gen::inRange(1, 9));
            got += splitter.push(std::string_view(text).substr(at, n)).text;
            at += n;
        }
        RC_ASSERT(got == expected);
        RC_ASSERT(splitter.hasPartialEvent() == !half.empty());
        RC_ASSERT(splitter.lastId() == static_cast<std::uint64_t>(std::max(events, have)));
    });
}

TEST_CASE("an incomplete event of a crashed server is not joined with the next server's first",
          "[gateway]")
{
    // Guards against a mixed event such as "data: bright rdata: red", whose first half comes from a
    // server that crashed in the middle of it and whose second half from the server that resumed
    // the stream.
    EventSplitter splitter;
    CHECK(splitter.push("id: 1\ndata: a\n\nid: 2\ndata: bright r").count == 1);
    splitter.discardPartialEvent();
    const CompleteEvents next = splitter.push("id: 2\ndata: bright red\n\n");
    CHECK(next.text == "id: 2\ndata: bright red\n\n");
}

TEST_CASE("the answer does not deny that a request ran if it may have run", "[gateway]")
{
    for (const FailureType type :
         {FailureType::NotReady, FailureType::Rejection, FailureType::NoServer,
          FailureType::ServerFailed, FailureType::TimedOut, FailureType::ShuttingDown}) {
        CHECK(failureStatus({type, false, std::nullopt}) == 503);
        CHECK(failureStatus({type, true, std::nullopt})
              == (type == FailureType::TimedOut ? 504 : 502));
        CHECK(failureHead({type, true, Base::Milliseconds(100)}).count("Retry-After") == 0);
    }
    CHECK(failureHead({FailureType::Rejection, false, Base::Milliseconds(250)})["Retry-After"]
          == "0.250");
}

TEST_CASE("prompt fields with arbitrary bytes are parsed up to the first malformed part",
          "[gateway]")
{
    CHECK(parseTokenCounts("1460,80").prompt == 1460);
    CHECK(parseTokenCounts("1460,80").output == 80);
    CHECK(parseTokenCounts("1460").prompt == 0);
    CHECK(parsePromptParts("5c1e07a2:800,91bd3f06:410")
          == std::vector<Routing::PromptPart>{{0x5c1e07a2, 800}, {0x91bd3f06, 410}});
    CHECK(parsePromptParts("5c:8,zz:1,7:7") == std::vector<Routing::PromptPart>{{0x5c, 8}});
    rc::prop("any bytes", [](const std::string &text) {
        parseTokenCounts(text);
        RC_ASSERT(parsePromptParts(text).size() <= 64);
    });
}

TEST_CASE("every fault of a gateway's settings is reported", "[gateway]")
{
    const std::string good = R"({"host":"edge-1","zone":"z","region":"r",
        "callerAddress":"10.1.0.1:8000","readinessAddress":"10.1.0.1:8001",
        "discoveryAddress":"10.1.0.1:8002","peerAddress":"10.1.0.1:8003",
        "storeAddress":"10.1.0.9:80","seeds":["10.1.0.2:8003"],
        "bounds":{"shutdownGraceS":8,"keyRevocationMs":5000,"retryRatio":0.2,"retrySlack":52,
        "retryWindowS":10}})";
    CHECK(GatewaySettings::isGatewayText(good));
    CHECK_FALSE(GatewaySettings::isGatewayText("{}"));
    const auto settings = GatewaySettings::parse(good);
    REQUIRE(settings);
    CHECK(settings->seeds == std::vector<std::string>{"10.1.0.2"});
    CHECK(settings->shutdownGrace == std::chrono::seconds(8));
    const std::string bad = R"({"host":"","storeAddress":"x","seeds":[3],
        "bounds":{"retryRatio":7,"unknown":1}})";
    const std::size_t faults = boost::leaf::try_handle_all(
        [&]() -> Base::Result<std::size_t> {
            BOOST_LEAF_CHECK(GatewaySettings::parse(bad));
            return 0;
        },
        [](const Settings::SettingsFaults &it) { return it.faults.size(); },
        [] { return std::size_t(0); });
    CHECK(faults == 11);
}
