#include "routing/routetable.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <map>

using namespace Routing;

namespace {

Route route(const std::string &name, const std::string &host, const std::string &prefix)
{
    Route it;
    it.name = name;
    it.host = host;
    it.prefix = prefix;
    it.services = {{"app", 1}};
    return it;
}

RoutingConfiguration twoHosts()
{
    RoutingConfiguration configuration;
    configuration.version = 3;
    configuration.routes = {route("wide", "a.example", "/cars/"),
                            route("narrow", "a.example", "/cars/red/"),
                            route("other", "b.example", "/")};
    configuration.customers = {{Base::CustomerId("dealer"), {"key-1", "key-2"}, {}}};
    return configuration;
}

} // namespace

TEST_CASE("the route with the longest prefix of the path is used", "[routing]")
{
    const auto table = RouteTable::create(twoHosts());
    CHECK(table->find("a.example", "/cars/1")->name == "wide");
    CHECK(table->find("a.example", "/cars/red/1?x=/cars/")->name == "narrow");
    CHECK(table->find("A.Example:80", "/cars/red/")->name == "narrow");
    CHECK(table->find("a.example", "/cars") == nullptr);
    CHECK(table->find("a.example", "/carsred/") == nullptr);
    CHECK(table->find("a.example", "/boats/?next=/cars/") == nullptr);
    CHECK(table->find("b.example", "/anything")->name == "other");
    CHECK(table->find("c.example", "/") == nullptr);
}

TEST_CASE("each of a customer's keys identifies it, and nothing else does", "[routing]")
{
    const auto table = RouteTable::create(twoHosts());
    CHECK(table->customerByKey("key-2")->id.value() == "dealer");
    CHECK(table->customerByKey("") == nullptr);
    CHECK(table->customerByKey("key-") == nullptr);
    Route anonymous = route("open", "a.example", "/open/");
    CHECK(table->needsKey(anonymous));
    anonymous.isAnonymous = true;
    CHECK_FALSE(table->needsKey(anonymous));
}

TEST_CASE("a split route spreads requests by weight", "[routing]")
{
    rc::prop("each service gets requests in proportion to its weight", [] {
        Route it = route("split", "a.example", "/");
        it.services = {{"x", *rc::gen::inRange(0U, 5U)}, {"y", *rc::gen::inRange(1U, 5U)}};
        std::map<std::string, std::uint64_t> counts;
        const std::uint64_t sum = it.services[0].weight + it.services[1].weight;
        for (std::uint64_t draw = 0; draw < 10 * sum; ++draw)
            ++counts[RouteTable::chooseService(it, draw)];
        RC_ASSERT(counts["x"] == 10 * it.services[0].weight);
        RC_ASSERT(counts["y"] == 10 * it.services[1].weight);
    });
    CHECK(RouteTable::chooseService(Route(), 7).empty());
}
