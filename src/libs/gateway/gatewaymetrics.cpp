#include "gateway/gatewaymetrics.h"

#include <vector>

namespace Gateway {

namespace {

/// Upper bounds of the histograms' buckets. They cover the start targets of routes, 0.15 to 2 s,
/// and their timeouts, 0.8 to 15 s.
const std::vector<double> timeBucketsInSeconds{0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.5, 0.8,
                                               1.2,  1.5,   2,    3,   5,    8,    12,  15};

double seconds(Base::Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

Base::Result<std::unique_ptr<GatewayMetrics>> GatewayMetrics::create()
{
    std::unique_ptr<GatewayMetrics> metrics(new GatewayMetrics);
    BOOST_LEAF_CHECK(metrics->registerAll());
    return metrics;
}

Base::Result<void> GatewayMetrics::registerAll()
{
    BOOST_LEAF_ASSIGN(m_requests, m_registry.counters({"lagoonmast_gateway_requests_total",
                                                       "Requests that ended, by route and outcome",
                                                       {"route", "outcome"}}));
    BOOST_LEAF_ASSIGN(m_customerRequests,
                      m_registry.counters({"lagoonmast_gateway_customer_requests_total",
                                           "Requests that ended, by customer and outcome",
                                           {"customer", "outcome"}}));
    BOOST_LEAF_ASSIGN(m_cutAnswers,
                      m_registry.counters({"lagoonmast_gateway_cut_answers_total",
                                           "Requests whose connection was closed before their "
                                           "answer was complete, by route and outcome",
                                           {"route", "outcome"}}));
    BOOST_LEAF_ASSIGN(m_failedAttempts,
                      m_registry.counters({"lagoonmast_gateway_failed_attempts_total",
                                           "Attempts at backend servers that failed",
                                           {"outcome"}}));
    BOOST_LEAF_ASSIGN(m_retries, m_registry.counters({"lagoonmast_gateway_repeats_total",
                                                      "Repeats asked of the retry share",
                                                      {"granted"}}));
    BOOST_LEAF_ASSIGN(m_serverNotices,
                      m_registry.counters({"lagoonmast_gateway_server_notices_total",
                                           "Answers in which a backend server backed this host "
                                           "off, or announced that it leaves",
                                           {"notice"}}));
    BOOST_LEAF_ASSIGN(m_unwantedRequests,
                      m_registry.counters({"lagoonmast_gateway_unwanted_requests_total",
                                           "Requests written to servers after such a notice",
                                           {"notice"}}));
    BOOST_LEAF_ASSIGN(m_resumedStreams,
                      m_registry.counters({"lagoonmast_gateway_resumed_streams_total",
                                           "Streams taken up by their caller, or resumed by this "
                                           "host, and the servers at which they may go on",
                                           {"by", "where"}}));
    BOOST_LEAF_ASSIGN(m_storeCalls, m_registry.counters({"lagoonmast_gateway_store_calls_total",
                                                         "Calls of the platform's store",
                                                         {"call", "result"}}));
    BOOST_LEAF_ASSIGN(m_reportBytes, m_registry.counters({"lagoonmast_gateway_report_bytes_total",
                                                          "Bytes of reports sent to other hosts, "
                                                          "by the region of their receivers",
                                                          {"region"}}));
    BOOST_LEAF_ASSIGN(m_rolloutRequests,
                      m_registry.counters({"lagoonmast_gateway_rollout_requests_total",
                                           "Requests sent during a roll-out, by software version",
                                           {"service", "version"}}));
    BOOST_LEAF_ASSIGN(m_rolloutPhases,
                      m_registry.counters({"lagoonmast_gateway_rollout_phases_total",
                                           "Phases of roll-outs that this host learned of",
                                           {"service", "phase"}}));
    BOOST_LEAF_ASSIGN(m_rolloutCuts,
                      m_registry.counters({"lagoonmast_gateway_rollout_cut_requests_total",
                                           "Requests that ran at old servers when a roll-out was "
                                           "complete",
                                           {"service"}}));
    BOOST_LEAF_ASSIGN(m_firstEventTime,
                      m_registry.histograms({"lagoonmast_gateway_first_seconds",
                                             "To the first event, or to a whole answer",
                                             {"route"}},
                                            timeBucketsInSeconds));
    BOOST_LEAF_ASSIGN(m_answerTime, m_registry.histograms({"lagoonmast_gateway_whole_seconds",
                                                           "To the end of the answer",
                                                           {"route"}},
                                                          timeBucketsInSeconds));
    BOOST_LEAF_ASSIGN(m_openRequests, gauge("lagoonmast_gateway_open_requests", "Open requests"));
    BOOST_LEAF_ASSIGN(m_waitingWork,
                      gauge("lagoonmast_gateway_waiting", "Requests that wait for a server"));
    BOOST_LEAF_ASSIGN(m_liveHosts, gauge("lagoonmast_gateway_live_hosts", "Live gateway hosts"));
    BOOST_LEAF_ASSIGN(m_servers, gauge("lagoonmast_gateway_servers", "Usable backend servers"));
    BOOST_LEAF_ASSIGN(m_configurationVersion, gauge("lagoonmast_gateway_configuration_version",
                                                    "Version of the configuration in force"));
    BOOST_LEAF_ASSIGN(m_configurationAge,
                      gauge("lagoonmast_gateway_configuration_age_seconds",
                            "Since the configuration was proved current; -1 if it never was"));
    BOOST_LEAF_ASSIGN(m_ready, gauge("lagoonmast_gateway_ready", "1 if this host takes requests"));
    BOOST_LEAF_ASSIGN(m_storeReader, gauge("lagoonmast_gateway_store_reader",
                                           "1 if this host reads the store for others"));
    BOOST_LEAF_ASSIGN(m_droppedLines, gauge("lagoonmast_gateway_log_lines_dropped",
                                            "Log lines dropped since the start"));
    BOOST_LEAF_ASSIGN(m_unreadableEntries, gauge("lagoonmast_gateway_unreadable_entries",
                                                 "Entries of servers that could not be read"));
    BOOST_LEAF_ASSIGN(m_slowestPace,
                      gauge("lagoonmast_gateway_slowest_server_pace",
                            "Ratio of the slowest server's time to that of a usual one"));
    BOOST_LEAF_ASSIGN(m_blockedRequests,
                      gauge("lagoonmast_gateway_blocked_requests",
                            "Requests that are not sent because servers have ended under them"));
    BOOST_LEAF_ASSIGN(m_blockedParts,
                      gauge("lagoonmast_gateway_blocked_prompt_parts",
                            "Parts of prompts that are not sent because servers end under them"));
    BOOST_LEAF_ASSIGN(m_costFactor, gauge("lagoonmast_gateway_cost_factor",
                                          "How many times longer than reckoned its work takes"));
    BOOST_LEAF_ASSIGN(m_busySeconds, m_registry.counters({"lagoonmast_gateway_busy_seconds_total",
                                                          "Time with work left to do, in seconds",
                                                          {}}));
    BOOST_LEAF_ASSIGN(m_callerMemory, gauge("lagoonmast_gateway_caller_memory_bytes",
                                            "Memory reserved for callers' requests, in bytes"));
    BOOST_LEAF_ASSIGN(m_callerConnections, gauge("lagoonmast_gateway_caller_connections",
                                                 "Open connections of callers"));
    BOOST_LEAF_ASSIGN(m_memoryRefusals,
                      m_registry.counters({"lagoonmast_gateway_caller_memory_refusals_total",
                                           "Requests that there was no memory for, and incomplete "
                                           "ones that gave way",
                                           {"what"}}));
    BOOST_LEAF_ASSIGN(m_closedIdle, m_registry.counters(
                                        {"lagoonmast_gateway_caller_idle_connections_closed_total",
                                         "Connections closed since descriptors were short",
                                         {}}));
    return {};
}

Base::Result<Metrics::Gauge *> GatewayMetrics::gauge(const char *name, const char *help)
{
    BOOST_LEAF_AUTO(family, m_registry.gauges({name, help, {}}));
    return &family->with({});
}

void GatewayMetrics::requestEnded(const EndedRequest &request)
{
    m_requests->with({request.route, request.outcome}).increment();
    m_customerRequests->with({request.customer, request.outcome}).increment();
    if (request.isCutOff)
        m_cutAnswers->with({request.route, request.outcome}).increment();
    if (request.first)
        m_firstEventTime->with({request.route}).observe(seconds(*request.first));
    m_answerTime->with({request.route}).observe(seconds(request.whole));
}

void GatewayMetrics::attemptFailed(const std::string &outcome)
{
    m_failedAttempts->with({outcome}).increment();
}

void GatewayMetrics::retryRequested(bool isGranted)
{
    m_retries->with({isGranted ? "yes" : "no"}).increment();
}

void GatewayMetrics::serverNoticed(const char *notice)
{
    m_serverNotices->with({notice}).increment();
}

void GatewayMetrics::unwantedRequestWritten(const char *notice)
{
    m_unwantedRequests->with({notice}).increment();
}

void GatewayMetrics::streamResumed(bool isByCaller, const char *where)
{
    m_resumedStreams->with({isByCaller ? "caller" : "host", where}).increment();
}

void GatewayMetrics::storeCallFinished(const std::string &call, bool isGood)
{
    m_storeCalls->with({call, isGood ? "good" : "failed"}).increment();
}

void GatewayMetrics::reportSent(bool isToOtherRegion, std::size_t bytes)
{
    m_reportBytes->with({isToOtherRegion ? "other" : "own"}).increment(static_cast<double>(bytes));
}

void GatewayMetrics::rolloutRequestSent(const std::string &service, const std::string &version)
{
    m_rolloutRequests->with({service, version}).increment();
}

void GatewayMetrics::rolloutPhaseChanged(const std::string &service, const char *phase)
{
    m_rolloutPhases->with({service, phase}).increment();
}

void GatewayMetrics::rolloutAnswersCut(const std::string &service, std::uint64_t count)
{
    m_rolloutCuts->with({service}).increment(static_cast<double>(count));
}

void GatewayMetrics::updateGauges(const GatewayState &state)
{
    m_openRequests->set(static_cast<double>(state.openRequests));
    m_waitingWork->set(static_cast<double>(state.waitingWork));
    m_liveHosts->set(static_cast<double>(state.liveHosts));
    m_servers->set(static_cast<double>(state.servers));
    m_configurationVersion->set(static_cast<double>(state.configurationVersion));
    m_configurationAge->set(state.proofAge ? seconds(*state.proofAge) : -1);
    m_ready->set(state.isReady ? 1 : 0);
    m_storeReader->set(state.isStoreReader ? 1 : 0);
    m_droppedLines->set(static_cast<double>(state.droppedLogLines));
    m_unreadableEntries->set(static_cast<double>(state.unreadableEntries));
    m_costFactor->set(state.costFactor);
    m_slowestPace->set(state.slowestPace);
    m_blockedRequests->set(static_cast<double>(state.blockedRequests));
    m_blockedParts->set(static_cast<double>(state.blockedParts));
    Metrics::Counter &busy = m_busySeconds->with({});
    busy.increment(seconds(state.busyTime) - busy.value());
    m_callerMemory->set(static_cast<double>(state.callerMemory));
    m_callerConnections->set(static_cast<double>(state.callerConnections));
    const auto raise = [](Metrics::Counter &counter, std::uint64_t value) {
        counter.increment(static_cast<double>(value) - counter.value());
    };
    raise(m_memoryRefusals->with({"refused"}), state.memoryRefusals);
    raise(m_memoryRefusals->with({"gave_way"}), state.memoryYields);
    raise(m_closedIdle->with({}), state.closedIdleConnections);
}

} // namespace Gateway
