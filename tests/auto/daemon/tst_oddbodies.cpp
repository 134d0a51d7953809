#include "daemon/chatbody.h"
#include "daemon/chunkunits.h"
#include "daemon/completionassembler.h"
#include "daemon/platformcodec.h"
#include "daemon/requestparser.h"
#include "support/oddbytes.h"

#include <catch2/catch.hpp>

using namespace Daemon;

// Guards against a caller's body that ends the router.
TEST_CASE("callers' bodies with odd values are refused", "[daemon]")
{
    const std::string chat = R"({"model":"m","messages":[{"role":"user","content":"hello"}]})";
    REQUIRE(parseChatBody(chat));
    for (const std::string &odd : oddTexts(chat))
        CHECK_FALSE(parseChatBody(odd));
    CHECK_FALSE(
        parseChatBody(R"({"model":"m","messages":[{"content":)" + deepText(endlessLevels) + "}]}"));
    HttpRequest request;
    request.method = "PUT";
    request.target = "/v1/targets/interactive";
    request.fields.authorization = "Bearer abc";
    request.fields.ifMatch = "\"7\"";
    for (const std::string &odd : oddTexts(R"({"startWithinMs":500})")) {
        request.body = odd;
        const RequestFault fault = boost::leaf::try_handle_all(
            [&]() -> Base::Result<RequestFault> {
                BOOST_LEAF_CHECK(parseRequest(request, odd.size()));
                return RequestFault::MissingModel;
            },
            [](const BadRequest &bad) { return bad.fault; }, [] { return RequestFault(); });
        CHECK(fault == RequestFault::MalformedBody);
    }
}

// Guards against a chunk of a model server that ends the router.
TEST_CASE("chunks with odd values count as empty", "[daemon]")
{
    const std::string chunk =
        R"({"id":"1","choices":[{"index":0,"delta":{"content":"w"}}],"lagoonmast_tokens":3})";
    REQUIRE(chunkUnits(chunk) > 0);
    for (const std::string &odd : oddTexts(chunk)) {
        CHECK(chunkUnits(odd) == 0);
        CompletionAssembler assembler;
        assembler.add(odd);
        assembler.add(chunk);
        CompletionAssembler sound;
        sound.add(chunk);
        CHECK(assembler.completion() == sound.completion());
    }
}

// Guards against an answer of the store that ends the router.
TEST_CASE("answers of the store with odd values are malformed", "[daemon]")
{
    for (const std::string &odd : oddTexts(R"({"rows":[]})"))
        CHECK_FALSE(decodeRows(odd));
    for (const std::string &odd : oddTexts(R"({"hosts":[],"version":1})"))
        CHECK_FALSE(decodeListing(odd));
}
