#pragma once

#include <optional>
#include <string>

namespace Daemon {

/// The header fields of a request that mean something here; empty when absent.
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

/// One HTTP request as it came.
struct HttpRequest
{
    std::string method;
    /// As in the request line, with the query.
    std::string target;
    RequestFields fields;
    std::string body;
};

/// The path of a request's target, without the query.
std::string pathOf(const std::string &target);
/// The value of \a name in a request's query; empty if there is none.
std::string queryValue(const std::string &target, const std::string &name);

} // namespace Daemon
