#include "daemon/chatbody.h"
#include "daemon/requestparser.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace {

using namespace Daemon;

constexpr std::size_t maxBodyBytes = 4096;

struct Parsed
{
    std::optional<ParsedRequest> request;
    std::optional<RequestFault> fault;
};

Parsed parse(const HttpRequest &request)
{
    return boost::leaf::try_handle_all(
        [&]() -> Base::Result<Parsed> {
            BOOST_LEAF_AUTO(parsed, parseRequest(request, maxBodyBytes));
            return Parsed{parsed, std::nullopt};
        },
        [](const BadRequest &bad) {
            return Parsed{std::nullopt, bad.fault};
        },
        [] { return Parsed{}; });
}

HttpRequest chat()
{
    HttpRequest request;
    request.method = "POST";
    request.target = "/v1/chat/completions";
    request.fields.authorization = "Bearer abc";
    request.fields.workClass = "interactive";
    request.body = R"({"model":"m","messages":[{"role":"user","content":"hello"}],"stream":true})";
    return request;
}

HttpRequest targetWrite(const std::string &body)
{
    HttpRequest request;
    request.method = "PUT";
    request.target = "/v1/targets/interactive";
    request.fields.ifMatch = "\"7\"";
    request.body = body;
    return request;
}

Node::CallerRequest asked(const HttpRequest &request)
{
    const Parsed parsed = parse(request);
    REQUIRE(parsed.request);
    return std::get<Node::CallerRequest>(std::get<Node::Event>(*parsed.request));
}

std::string arbitraryText()
{
    return *rc::gen::oneOf(
        rc::gen::arbitrary<std::string>(),
        rc::gen::element<std::string>("", "no", "yes", "12", "-1", "Bearer x", "\"3\"", "a\r\nb"));
}

} // namespace

TEST_CASE("All fields of a chat request are parsed")
{
    HttpRequest request = chat();
    request.fields.repeatable = "no";
    request.fields.idempotencyKey = "k";
    request.fields.deadline = "1500";
    request.fields.traceparent = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";
    const Node::CallerRequest read = asked(request);
    CHECK(read.target == "m");
    CHECK(read.isStreaming);
    CHECK_FALSE(read.isRepeatable);
    CHECK(read.deadline == Base::Milliseconds(1500));
    CHECK(read.promptTokens == 1);
    CHECK(read.prefix != 0);
    CHECK(read.traceparent == request.fields.traceparent);
    // The expected digest is the output of "printf abc | sha256sum".
    CHECK(read.keyDigest == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

TEST_CASE("A model server is always asked for a stream")
{
    HttpRequest request = chat();
    request.body = R"({"model":"m","messages":[]})";
    CHECK_FALSE(asked(request).isStreaming);
    CHECK(asked(request).body == R"({"model":"m","messages":[],"stream":true})");
}

TEST_CASE("Prompts with the same start have the same prefix hash")
{
    const std::string common(2000, 'a');
    const auto prefix = [](const std::string &text) {
        HttpRequest request = chat();
        request.body = R"({"model":"m","messages":[{"role":"user","content":")" + text + "\"}]}";
        return asked(request).prefix;
    };
    CHECK(prefix(common + "b") == prefix(common + "c"));
    CHECK(prefix("b" + common) != prefix("c" + common));
}

TEST_CASE("Each fault of a request is reported as such")
{
    HttpRequest request = chat();
    request.target = "/v1/nothing";
    CHECK(parse(request).fault == RequestFault::UnknownPath);
    request = chat();
    request.method = "GET";
    CHECK(parse(request).fault == RequestFault::WrongMethod);
    request = chat();
    request.body = std::string(maxBodyBytes + 1, ' ');
    CHECK(parse(request).fault == RequestFault::TooLarge);
    request.body = "{";
    CHECK(parse(request).fault == RequestFault::MalformedBody);
    request.body = R"({"messages":[]})";
    CHECK(parse(request).fault == RequestFault::MissingModel);
    request = chat();
    request.fields.repeatable = "no";
    CHECK(parse(request).fault == RequestFault::MissingIdempotencyKey);
    request = chat();
    request.fields.idempotencyKey = "a\r\nX-Fence: 9";
    CHECK(parse(request).fault == RequestFault::MalformedHeader);
    for (const char *deadline : {"0", "-5", "soon", "1e3", "99999999999999999999"}) {
        request = chat();
        request.fields.deadline = deadline;
        CHECK(parse(request).fault == RequestFault::MalformedDeadline);
    }
    request = targetWrite(R"({"startWithinMs":500})");
    request.fields.ifMatch.clear();
    CHECK(parse(request).fault == RequestFault::MissingVersion);
    for (const char *body : {R"({"startWithinMs":0})", R"({"startWithinMs":5,"claim":1.5})",
                             R"({"startWithinMs":5,"weight":2})", R"({})"})
        CHECK(parse(targetWrite(body)).fault == RequestFault::MalformedTarget);
    CHECK(parse(targetWrite(R"({"startWithinMs":5,"claim":1})")).request);
}

TEST_CASE("Any request is parsed or refused with a fault")
{
    rc::prop("arbitrary requests", [] {
        HttpRequest request;
        request.method = *rc::gen::element<std::string>("GET", "POST", "PUT", "DELETE", "");
        request.target = *rc::gen::element<std::string>(
                             "/v1/chat/completions", "/v1/services/a/", "/v1/services/", "/v1/",
                             "/v1/targets/", "/v1/targets", "/v1/entry-hosts", "/healthz", "")
                         + *rc::gen::element<std::string>("", "x", "?zone=z", "?zone", "/y/z?&=");
        request.fields.authorization = arbitraryText();
        request.fields.workClass = arbitraryText();
        request.fields.repeatable = arbitraryText();
        request.fields.idempotencyKey = arbitraryText();
        request.fields.deadline = arbitraryText();
        request.fields.traceparent = arbitraryText();
        request.fields.ifMatch = arbitraryText();
        request.body = *rc::gen::oneOf(
            rc::gen::arbitrary<std::string>(),
            rc::gen::element<std::string>("{}", "[]", "null", R"({"model":1})",
                                          R"({"model":"m","messages":[1,{"content":[{}]},null]})",
                                          R"({"model":"m","messages":{},"stream":1})",
                                          R"({"startWithinMs":1e99,"claim":"x"})"));
        const Parsed parsed = parse(request);
        RC_ASSERT(parsed.request.has_value() != parsed.fault.has_value());
    });
}
