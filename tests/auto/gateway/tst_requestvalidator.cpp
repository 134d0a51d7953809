#include "gateway/requestvalidator.h"

#include <catch2/catch.hpp>

#include <set>
#include <string>

using namespace Gateway;

// Guards against streams of which one service writes the beginning and another one the rest.
TEST_CASE("a stream that its caller takes up stays with the service that began it", "[gateway]")
{
    HeaderNames names;
    names.requestId = "Request-Id";
    names.resumedRequestId = "Resumes";
    Routing::RoutingConfiguration configuration;
    Routing::Route route;
    route.kind = Routing::WorkKind::ResumableStream;
    route.host = "a";
    route.prefix = "/";
    route.services = {{"one", 1}, {"other", 1}};
    configuration.routes = {route};
    const auto table = Routing::RouteTable::create(configuration);
    const RequestValidator validator(names);
    const auto serviceOf = [&](const std::string &id, const std::string &resumed) {
        AcceptedRequest accepted;
        accepted.requestId = id;
        accepted.request.message.target("/x");
        accepted.request.message.set("Host", "a");
        if (!resumed.empty())
            accepted.request.message.set("Resumes", resumed);
        REQUIRE_FALSE(validator.validate(accepted, {table, true, true, false}));
        return accepted.service;
    };
    std::set<std::string> used;
    for (int i = 0; i < 40; ++i) {
        const std::string id = "s-" + std::to_string(i);
        used.insert(serviceOf(id, {}));
        CHECK(serviceOf("again-" + std::to_string(i), id) == serviceOf(id, {}));
    }
    CHECK(used.size() == 2);
}
