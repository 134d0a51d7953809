#include "gateway/requestvalidator.h"

#include <catch2/catch.hpp>

#include <optional>
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
        REQUIRE_FALSE(validator.validate(accepted, {table, true, true}));
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

// Guards against a request that the gateway takes for one customer's or one attempt's, and its
// server for another one's.
TEST_CASE("a field that identifies the customer or the request may be given once", "[framing]")
{
    HeaderNames names;
    names.requestId = "Request-Id";
    names.resumedRequestId = "Resumes";
    names.lastEventId = "Last-Event";
    names.customer = "Customer";
    Routing::RoutingConfiguration configuration;
    Routing::Route route;
    route.host = "a";
    route.prefix = "/";
    route.services = {{"one", 1}};
    configuration.routes = {route};
    const auto table = Routing::RouteTable::create(configuration);
    const RequestValidator validator(names);
    const auto failureOf = [&](const std::string &name, const std::string &second) {
        AcceptedRequest accepted;
        accepted.request.message.target("/x");
        accepted.request.message.set("Host", "a");
        accepted.request.message.insert(name, "1");
        if (!second.empty())
            accepted.request.message.insert(second, "1");
        return validator.validate(accepted, {table, true, true});
    };
    for (const std::string name : {"Authorization", "Request-Id", "Resumes", "Last-Event"}) {
        CAPTURE(name);
        CHECK_FALSE(failureOf(name, {}));
        const std::optional<Failure> failure = failureOf(name, name);
        CHECK(failure);
        CHECK((failure && failureStatus(*failure) == 400));
    }
    // The case of a name does not tell fields apart, and what the gateway sets itself is removed.
    CHECK(failureOf("Request-Id", "request-id"));
    CHECK_FALSE(failureOf("Customer", "Customer"));
    CHECK_FALSE(failureOf("X", "X"));
}
