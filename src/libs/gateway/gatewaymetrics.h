#pragma once

#include "base/result.h"
#include "base/time.h"
#include "metrics/textregistry.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace Gateway {

/// A request that got its final answer, or whose caller closed the connection.
struct EndedRequest
{
    std::string route;
    std::string customer;
    std::string outcome;
    /// Time from the first byte read to the first event or the complete answer; empty if there was
    /// none.
    std::optional<Base::Duration> first;
    /// Time from the first byte read to the end of the request.
    Base::Duration whole{};
    /// The caller's connection was closed before its answer was complete.
    bool isCutOff = false;
    /// A server's answer was passed on as a whole.
    bool isAnswered = false;
};

/// Values of the gateway's gauges at one moment.
struct GatewayState
{
    std::size_t openRequests = 0;
    /// Requests that wait for a server.
    std::size_t waitingWork = 0;
    std::size_t liveHosts = 1;
    std::size_t servers = 0;
    std::uint64_t configurationVersion = 0;
    /// Time since the configuration was confirmed to be current; empty if it never was.
    std::optional<Base::Duration> proofAge;
    bool isReady = false;
    /// Whether this host reads the store for its availability zone.
    bool isStoreReader = false;
    std::uint64_t droppedLogLines = 0;
    /// Entries of servers in the store that this host could not parse at its last reading.
    std::size_t unreadableEntries = 0;
    /// Factor by which this host's work takes longer than estimated.
    double costFactor = 1;
    double slowestPace = 1;
    /// Requests that are not sent any more because servers have ended under them.
    std::size_t blockedRequests = 0;
    /// Parts of prompts with which requests are not sent any more.
    std::size_t blockedParts = 0;
    /// Time since the start of the process during which work was left to do.
    Base::Duration busyTime{};
    /// Memory that is reserved for callers' requests, in bytes.
    std::size_t callerMemory = 0;
    /// Requests for which there was no memory, and incomplete ones that gave way to others, since
    /// the start.
    std::uint64_t memoryRefusals = 0;
    std::uint64_t memoryYields = 0;
    std::size_t callerConnections = 0;
    /// Idle connections closed since the start because descriptors were short.
    std::uint64_t closedIdleConnections = 0;
};

/// Counters, histograms and gauges of one gateway process.
class GatewayMetrics
{
public:
    /// Registers all metrics. Fails with the registry's errors.
    static Base::Result<std::unique_ptr<GatewayMetrics>> create();

    void requestEnded(const EndedRequest &request);
    void attemptFailed(const std::string &outcome);
    void retryRequested(bool isGranted);
    /// Counts an answer with a notice of its server; \a notice is the kind: "backoff" or "leaving".
    void serverNoticed(const char *notice);
    /// Counts a request that was written to a server which had announced that it wants none.
    void unwantedRequestWritten(const char *notice);
    /// Counts a stream that goes on; \a where is the name of a Routing::Continuation::Kind.
    void streamResumed(bool isByCaller, const char *where);
    /// Counts the bytes of reports to hosts of this region or of another one.
    void reportSent(bool isToOtherRegion, std::size_t bytes);
    /// Counts a request that was sent to a server of \a version during a roll-out.
    void rolloutRequestSent(const std::string &service, const std::string &version);
    void rolloutPhaseChanged(const std::string &service, const char *phase);
    /// Counts requests that ran at old servers when a roll-out was complete.
    void rolloutAnswersCut(const std::string &service, std::uint64_t count);
    void storeCallFinished(const std::string &call, bool isGood);
    /// Sets the gauges to the values of \a state.
    void updateGauges(const GatewayState &state);
    /// Returns all metrics in Prometheus's text exposition format.
    std::string text() { return m_registry.text(); }

private:
    GatewayMetrics() = default;
    Base::Result<void> registerAll();
    Base::Result<Metrics::Gauge *> gauge(const char *name, const char *help);

    Metrics::TextRegistry m_registry;
    Metrics::Family<Metrics::Counter> *m_requests = nullptr;
    Metrics::Family<Metrics::Counter> *m_customerRequests = nullptr;
    Metrics::Family<Metrics::Counter> *m_cutAnswers = nullptr;
    Metrics::Family<Metrics::Counter> *m_failedAttempts = nullptr;
    Metrics::Family<Metrics::Counter> *m_retries = nullptr;
    Metrics::Family<Metrics::Counter> *m_serverNotices = nullptr;
    Metrics::Family<Metrics::Counter> *m_unwantedRequests = nullptr;
    Metrics::Family<Metrics::Counter> *m_resumedStreams = nullptr;
    Metrics::Family<Metrics::Counter> *m_storeCalls = nullptr;
    Metrics::Family<Metrics::Counter> *m_reportBytes = nullptr;
    Metrics::Family<Metrics::Counter> *m_rolloutRequests = nullptr;
    Metrics::Family<Metrics::Counter> *m_rolloutPhases = nullptr;
    Metrics::Family<Metrics::Counter> *m_rolloutCuts = nullptr;
    Metrics::Family<Metrics::Histogram> *m_firstEventTime = nullptr;
    Metrics::Family<Metrics::Histogram> *m_answerTime = nullptr;
    Metrics::Gauge *m_openRequests = nullptr;
    Metrics::Gauge *m_waitingWork = nullptr;
    Metrics::Gauge *m_liveHosts = nullptr;
    Metrics::Gauge *m_servers = nullptr;
    Metrics::Gauge *m_configurationVersion = nullptr;
    Metrics::Gauge *m_configurationAge = nullptr;
    Metrics::Gauge *m_ready = nullptr;
    Metrics::Gauge *m_storeReader = nullptr;
    Metrics::Gauge *m_droppedLines = nullptr;
    Metrics::Gauge *m_unreadableEntries = nullptr;
    Metrics::Gauge *m_costFactor = nullptr;
    Metrics::Gauge *m_slowestPace = nullptr;
    Metrics::Gauge *m_blockedRequests = nullptr;
    Metrics::Gauge *m_blockedParts = nullptr;
    Metrics::Family<Metrics::Counter> *m_busySeconds = nullptr;
    Metrics::Gauge *m_callerMemory = nullptr;
    Metrics::Gauge *m_callerConnections = nullptr;
    Metrics::Family<Metrics::Counter> *m_memoryRefusals = nullptr;
    Metrics::Family<Metrics::Counter> *m_closedIdle = nullptr;
};

} // namespace Gateway
