#include "coordination/orderrows.h"
#include "support/oddbytes.h"

#include <catch2/catch.hpp>

using namespace Coordination;

// Guards against a row of another writer that ends the router.
TEST_CASE("orders with odd values are malformed", "[coordination]")
{
    const std::string desired = encodeDesired({1, {}});
    REQUIRE(decodeDesired(desired));
    for (const std::string &odd : oddTexts(desired))
        CHECK_FALSE(decodeDesired(odd));
    const std::string lease = encodeOrderLease({"a", 1, 1, 1, false});
    REQUIRE(decodeOrderLease(lease));
    for (const std::string &odd : oddTexts(lease))
        CHECK_FALSE(decodeOrderLease(odd));
}
