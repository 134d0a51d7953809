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

/// Returns a seed that differs between processes, so that their span ids differ.
std::uint64_t traceSeed()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32) | device();
}

/// Returns the signals that end the router. They are blocked in every thread and received by
/// sigtimedwait().
sigset_t blockedSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

/// Waits for a signal and then for the end of the shutdown; polls the list of hosts meanwhile.
void runUntilFinished(Daemon::Daemon &daemon, const sigset_t &signals)
{
    const timespec interval{
        std::chrono::floor<std::chrono::seconds>(Daemon::hostListInterval).count(), 0};
    while (!daemon.advanceShutdown(Base::Clock::now())) {
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
            BOOST_LEAF_CHECK(reports->addTrafficMetrics(*daemon));
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
            std::fprintf(stderr, "lagoonmast: malformed address, expected IP:PORT: %s\n",
                         it.text.c_str());
            return 1;
        },
        [] {
            std::fputs("lagoonmast: cannot start\n", stderr);
            return 1;
        });
}
