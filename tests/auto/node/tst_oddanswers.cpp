#include "node/storedanswer.h"
#include "support/oddbytes.h"

#include <catch2/catch.hpp>

// Guards against a stored answer that ends the router.
TEST_CASE("stored answers with odd values are malformed", "[node]")
{
    const std::string answer = Node::encodeAnswer({});
    REQUIRE(Node::decodeAnswer(answer));
    for (const std::string &odd : oddTexts(answer))
        CHECK_FALSE(Node::decodeAnswer(odd));
}
