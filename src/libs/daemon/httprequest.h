#pragma once

#include <optional>
#include <string>

namespace Daemon {

/// The header fields of a request that the router uses. A field is empty if it is absent.
struct RequestFields
{
    std::string authorization;
    std::string contentType;
    std::string workClass;
    std::string repeatable;
    std::string idempotencyKey;
    std::string deadline;
    std::string traceparent;
    std::string ifMatch;
};

/// One HTTP request as received.
struct HttpRequest
{
    std::string method;
    /// The target of the request line, including the query.
    std::string target;
    RequestFields fields;
    std::string body;
};

/// Returns the path of a request's target, without the query.
std::string pathOf(const std::string &target);
/// Returns the value of \a name in the query of a request's target, without decoding it; empty if
/// there is none.
std::string queryValue(const std::string &target, const std::string &name);

} // namespace Daemon
