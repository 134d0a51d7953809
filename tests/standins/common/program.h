#pragma once

#include "common/httpserver.h"
#include "common/options.h"

#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace StandIn {

HttpResponse jsonResponse(int status, const nlohmann::json &json);
HttpResponse errorResponse(int status, const std::string &message);
/// Empty if \a key is missing or no string.
std::string textOf(const nlohmann::json &json, const char *key);
/// 0 if \a key is missing or no whole number from 0 on.
std::uint64_t numberOf(const nlohmann::json &json, const char *key);

/// A stand-in: answers requests until the process ends.
class Service
{
public:
    virtual ~Service() = default;
    virtual HttpResponse handle(const HttpRequest &request) = 0;
};

using ServiceFactory = std::function<Base::Result<std::unique_ptr<Service>>(const Options &)>;

/// The main function of every stand-in: prints "ready" once it listens, ends at SIGTERM.
/// Returns the exit code: 0 good, 1 failed, 2 usage.
int runProgram(int argc, char **argv, std::vector<OptionSpec> specs, const ServiceFactory &factory);

} // namespace StandIn
