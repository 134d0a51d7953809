#include "serve.h"

#include "daemon/address.h"
#include "daemon/daemon.h"
#include "daemon/daemonconstants.h"
#include "daemon/requestlog.h"
#include "reports.h"
#include "tracing/linesink.h"

#include <csignal>
#include <cstdio>
#include <memory>
#include <random>

#include <curl/curl.h>
#include <log4cplus/initializer.h>

namespace {

/// Ids of spans must differ between processes.
std::uint64_t traceSeed()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32) | device();
}

/// Blocked in every thread, and taken by the thread that calls sigtimedwait().
sigset_t blockedSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

/// Waits for signals and the end of the shutdown; polls the host list meanwhile.
void runUntilFinished(Daemon::Daemon &daemon, const sigset_t &signals)
{
    const timespec interval{
        std::chrono::floor<std::chrono::seconds>(Daemon::hostListInterval).count(), 0};
    while (!daemon.isFinished(Base::Clock::now())) {
        const int signal = sigtimedwait(&signals, nullptr, &interval);
        if (signal > 0)
            daemon.beginShutdown(Base::Clock::now());
        else
            daemon.pollHosts();
    }
}

} // namespace

int serve(const Daemon::DaemonSettings &settings)
{
    const sigset_t signals = blockedSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    const log4cplus::Initializer logging;
    Daemon::startLogging(settings.logLevel);
    curl_global_init(CURL_GLOBAL_DEFAULT);
    return boost::leaf::try_handle_all(
        [&]() -> Base::Result<int> {
            BOOST_LEAF_AUTO(reports, App::Reports::create(settings.traceFile, traceSeed()));
            BOOST_LEAF_AUTO(daemon, Daemon::Daemon::create(settings, reports->daemonReports()));
            BOOST_LEAF_CHECK(reports->watchTraffic(*daemon));
            runUntilFinished(*daemon, signals);
            return 0;
        },
        [](const Daemon::CannotListen &it) {
            std::fprintf(stderr, "lagoonmast: cannot listen at %s\n", it.address.c_str());
            return 1;
        },
        [](const Tracing::CannotOpenTraceFile &it) {
            std::fprintf(stderr, "lagoonmast: cannot write traces to %s\n", it.file.c_str());
            return 1;
        },
        [](const Daemon::MalformedAddress &it) {
            std::fprintf(stderr, "lagoonmast: not an IP:PORT: %s\n", it.text.c_str());
            return 1;
        },
        [] {
            std::fputs("lagoonmast: cannot start\n", stderr);
            return 1;
        });
}
