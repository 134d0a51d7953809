#include "claims/claimrow.h"
#include "support/oddbytes.h"

#include <catch2/catch.hpp>

// Guards against a row of another writer that ends the router.
TEST_CASE("claims with odd values are malformed", "[claims]")
{
    const std::string row = Claims::encodeClaim({});
    REQUIRE(Claims::decodeClaim(row));
    for (const std::string &odd : oddTexts(row))
        CHECK_FALSE(Claims::decodeClaim(odd));
}
