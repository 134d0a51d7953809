#pragma once

#include "common/httpserver.h"
#include "common/options.h"

#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace StandIn {

/// An answer with \a json as its body.
HttpResponse jsonResponse(int status, const nlohmann::json &json);
/// An answer with the body {"error":\a message}.
HttpResponse errorResponse(int status, const std::string &message);
/// Value of \a key; empty if it is missing or not a string.
std::string textOf(const nlohmann::json &json, const char *key);
/// Value of \a key; 0 if it is missing or not a non-negative integer.
std::uint64_t numberOf(const nlohmann::json &json, const char *key);

/// The requests that one kind of stand-in answers. handle() is called from several threads at once.
class Service
{
public:
    virtual ~Service() = default;
    virtual HttpResponse handle(const HttpRequest &request) = 0;
};

/// Creates the service of a stand-in from its options. Fails with WrongUsage or another error.
using ServiceFactory = std::function<Base::Result<std::unique_ptr<Service>>(const Options &)>;

/// The main function of every stand-in. Prints "ready" once it listens, and exits on SIGTERM or
/// SIGINT. Returns the exit status: 0 on success, 1 on failure, 2 on wrong usage.
int runProgram(int argc, char **argv, std::vector<OptionSpec> specs, const ServiceFactory &factory);

} // namespace StandIn
