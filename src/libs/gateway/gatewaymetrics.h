#pragma once

#include "base/result.h"
#include "base/time.h"
#include "metrics/textregistry.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace Gateway {

/// A request that got its final answer, or whose caller left.
struct EndedRequest
{
    std::string route;
    std::string customer;
    std::string outcome;
    /// From the first byte read to the first event or the whole answer; empty if there was none.
    std::optional<Base::Duration> first;
    Base::Duration whole{};
};

/// How the gateway stands at a moment.
struct GatewayState
{
    std::size_t openRequests = 0;
    std::size_t waitingWork = 0;
    std::size_t liveHosts = 1;
    std::size_t servers = 0;
    std::uint64_t configurationVersion = 0;
    std::optional<Base::Duration> proofAge;
    bool isReady = false;
    bool isStoreReader = false;
    std::uint64_t droppedLogLines = 0;
    /// Entries of servers in the store that this host could not read at its last reading.
    std::size_t unreadableEntries = 0;
    double costFactor = 1;
    /// Since the start, with work left to do.
    Base::Duration busyTime{};
};

/// Counters, histograms and gauges of one gateway. docs/OPERATIONS.md lists them.
class GatewayMetrics
{
public:
    /// Fails as the registry does.
    static Base::Result<std::unique_ptr<GatewayMetrics>> create();

    void requestEnded(const EndedRequest &request);
    void attemptFailed(const std::string &outcome);
    void retryRequested(bool isGranted);
    void storeCallFinished(const std::string &call, bool isGood);
    void updateGauges(const GatewayState &state);
    /// In Prometheus's text exposition format.
    std::string text() { return m_registry.text(); }

private:
    GatewayMetrics() = default;
    Base::Result<void> registerAll();
    Base::Result<Metrics::Gauge *> gauge(const char *name, const char *help);

    Metrics::TextRegistry m_registry;
    Metrics::Family<Metrics::Counter> *m_requests = nullptr;
    Metrics::Family<Metrics::Counter> *m_customerRequests = nullptr;
    Metrics::Family<Metrics::Counter> *m_failedAttempts = nullptr;
    Metrics::Family<Metrics::Counter> *m_repeats = nullptr;
    Metrics::Family<Metrics::Counter> *m_storeCalls = nullptr;
    Metrics::Family<Metrics::Histogram> *m_first = nullptr;
    Metrics::Family<Metrics::Histogram> *m_whole = nullptr;
    Metrics::Gauge *m_openRequests = nullptr;
    Metrics::Gauge *m_waitingWork = nullptr;
    Metrics::Gauge *m_liveHosts = nullptr;
    Metrics::Gauge *m_servers = nullptr;
    Metrics::Gauge *m_version = nullptr;
    Metrics::Gauge *m_proofAge = nullptr;
    Metrics::Gauge *m_ready = nullptr;
    Metrics::Gauge *m_reader = nullptr;
    Metrics::Gauge *m_droppedLines = nullptr;
    Metrics::Gauge *m_unreadableEntries = nullptr;
    Metrics::Gauge *m_costFactor = nullptr;
    Metrics::Family<Metrics::Counter> *m_busySeconds = nullptr;
};

} // namespace Gateway
