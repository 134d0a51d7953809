#include "common/program.h"

#include <nlohmann/json.hpp>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <iostream>
#include <utility>

namespace StandIn {

namespace {

Base::Result<int> serve(int argc, char **argv, std::vector<OptionSpec> specs,
                        const ServiceFactory &factory)
{
    BOOST_LEAF_AUTO(options, Options::parse(argc, argv, std::move(specs)));
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);

    BOOST_LEAF_AUTO(service, factory(options));
    BOOST_LEAF_AUTO(server,
                    HttpServer::start(options.text("address"), [&](const HttpRequest &request) {
                        return service->handle(request);
                    }));
    std::puts("ready");
    std::fflush(stdout);
    int received = 0;
    sigwait(&signals, &received);
    // Exits without cleanup: handlers may block, and a stand-in has no state to save.
    std::_Exit(0);
}

} // namespace

HttpResponse jsonResponse(int status, const nlohmann::json &json)
{
    HttpResponse response;
    response.status = status;
    response.headers["Content-Type"] = "application/json";
    response.body = json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return response;
}

HttpResponse errorResponse(int status, const std::string &message)
{
    return jsonResponse(status, {{"error", message}});
}

std::string textOf(const nlohmann::json &json, const char *key)
{
    const auto it = json.find(key);
    return it != json.end() && it->is_string() ? it->get<std::string>() : std::string();
}

std::uint64_t numberOf(const nlohmann::json &json, const char *key)
{
    const auto it = json.find(key);
    return it != json.end() && it->is_number_unsigned() ? it->get<std::uint64_t>() : 0;
}

int runProgram(int argc, char **argv, std::vector<OptionSpec> specs, const ServiceFactory &factory)
{
    return boost::leaf::try_handle_all(
        [&]() -> Base::Result<int> { return serve(argc, argv, std::move(specs), factory); },
        [](const WrongUsage &wrong) {
            std::cerr << wrong.text << '\n';
            return 2;
        },
        [](const ListenFailed &failed) {
            std::cerr << "cannot listen on " << failed.address << '\n';
            return 1;
        },
        [] { return 1; });
}

} // namespace StandIn
