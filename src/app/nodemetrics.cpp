#include "nodemetrics.h"

#include "daemon/failuretext.h"
#include "node/node.h"

#include <chrono>

namespace App {

namespace {

using Metrics::FamilyDescription;

/// Histogram bounds in seconds, from a millisecond to two minutes, about three per decade. Start
/// targets lie between 100 ms and some tens of seconds; the share of requests that miss a target is
/// read from the nearest bounds.
const std::vector<double> timeBounds{0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25,
                                     0.5,   1,      2.5,   5,    10,    30,   60,  120};

double seconds(Base::Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

const char *hopName(Node::Hop hop)
{
    switch (hop) {
    case Node::Hop::Entry:
        return "entry";
    case Node::Hop::Claim:
        return "claim";
    case Node::Hop::Queue:
        return "queue";
    case Node::Hop::Backend:
        return "backend";
    }
    return "";
}

Base::Result<Metrics::Gauge *> gauge(Metrics::Registry &registry, const FamilyDescription &what)
{
    BOOST_LEAF_AUTO(family, registry.gauges(what));
    return &family->with({});
}

} // namespace

Base::Result<std::unique_ptr<NodeMetrics>> NodeMetrics::create(Metrics::Registry &registry)
{
    std::unique_ptr<NodeMetrics> metrics(new NodeMetrics);
    BOOST_LEAF_CHECK(metrics->registerRequests(registry));
    BOOST_LEAF_CHECK(metrics->registerState(registry));
    return metrics;
}

Base::Result<void> NodeMetrics::registerRequests(Metrics::Registry &registry)
{
    BOOST_LEAF_ASSIGN(m_requests, registry.counters({"lagoonmast_requests_total",
                                                     "Requests that got their final answer",
                                                     {"class", "outcome"}}));
    BOOST_LEAF_ASSIGN(
        m_units, registry.counters(
                     {"lagoonmast_service_units_total", "Weighed tokens served", {"customer"}}));
    BOOST_LEAF_ASSIGN(m_failedHops, registry.counters({"lagoonmast_failed_hops_total",
                                                       "Steps of requests that failed",
                                                       {"hop", "place"}}));
    BOOST_LEAF_AUTO(retries, registry.counters(
                                 {"lagoonmast_retries_total", "Attempts after the first one", {}}));
    m_retries = &retries->with({});
    BOOST_LEAF_ASSIGN(m_queueWait, registry.histograms({"lagoonmast_queue_wait_seconds",
                                                        "From arrival to the backend server",
                                                        {"class"}},
                                                       timeBounds));
    BOOST_LEAF_ASSIGN(m_firstPart, registry.histograms({"lagoonmast_first_part_seconds",
                                                        "From arrival to the answer's start",
                                                        {"class"}},
                                                       timeBounds));
    BOOST_LEAF_ASSIGN(m_requestTime, registry.histograms({"lagoonmast_request_seconds",
                                                          "From arrival to the final answer",
                                                          {"class"}},
                                                         timeBounds));
    return {};
}

Base::Result<void> NodeMetrics::registerState(Metrics::Registry &registry)
{
    BOOST_LEAF_ASSIGN(m_ready,
                      gauge(registry, {"lagoonmast_ready", "1 once a configuration is known", {}}));
    BOOST_LEAF_ASSIGN(m_leaving,
                      gauge(registry, {"lagoonmast_leaving", "1 once told to shut down", {}}));
    BOOST_LEAF_ASSIGN(
        m_version,
        gauge(registry, {"lagoonmast_configuration_version", "Configuration in force", {}}));
    BOOST_LEAF_ASSIGN(
        m_liveRouters,
        gauge(registry, {"lagoonmast_live_routers", "Routers that may be homes", {}}));
    BOOST_LEAF_ASSIGN(
        m_openRequests,
        gauge(registry, {"lagoonmast_open_requests", "Requests here without a final answer", {}}));
    const std::vector<std::string> home{"pool", "shard"};
    BOOST_LEAF_ASSIGN(m_waiting, registry.gauges({"lagoonmast_waiting_requests",
                                                  "Requests in this home's queue", home}));
    BOOST_LEAF_ASSIGN(m_permitsInUse, registry.gauges({"lagoonmast_permits_in_use",
                                                       "Permits given by this home", home}));
    BOOST_LEAF_ASSIGN(m_permitLimit, registry.gauges({"lagoonmast_permit_limit",
                                                      "Permits that this home may give", home}));
    BOOST_LEAF_ASSIGN(m_homes, Daemon::HomeMetrics::create(registry));
    return {};
}

void NodeMetrics::hopFinished(const Node::HopRecord &record)
{
    if (record.isFailed)
        m_failedHops->with({hopName(record.hop), record.place}).increment();
}

void NodeMetrics::requestFinished(const Node::RequestRecord &record)
{
    const std::string workClass = record.workClass.value();
    const char *outcome = record.isFailed ? Daemon::typeName(record.failure) : "answered";
    m_requests->with({workClass, outcome}).increment();
    m_requestTime->with({workClass}).observe(seconds(record.whole));
    if (record.attempts > 0 && record.queueWait.count() > 0)
        m_queueWait->with({workClass}).observe(seconds(record.queueWait));
    if (record.firstPart.count() > 0)
        m_firstPart->with({workClass}).observe(seconds(record.firstPart));
    if (record.units > 0)
        m_units->with({record.customer.value()}).increment(static_cast<double>(record.units));
}

void NodeMetrics::retried(const Base::RequestKey &)
{
    m_retries->increment();
}

void NodeMetrics::sampleNode(const Node::Node &node)
{
    const Node::NodeStatus status = node.status();
    m_ready->set(status.isReady ? 1 : 0);
    m_leaving->set(status.isLeaving ? 1 : 0);
    m_version->set(static_cast<double>(status.version));
    m_liveRouters->set(static_cast<double>(status.liveRouters));
    m_openRequests->set(static_cast<double>(status.openRequests));
    updateHomes(node);
    m_homes->sampleNode(node);
}

void NodeMetrics::updateHomes(const Node::Node &node)
{
    // A shard whose home has moved to another router must not keep its last values here.
    for (const std::vector<std::string> &labels : m_exportedHomes) {
        m_waiting->with(labels).set(0);
        m_permitsInUse->with(labels).set(0);
        m_permitLimit->with(labels).set(0);
    }
    m_exportedHomes.clear();
    for (const auto &[key, home] : node.homes().all()) {
        const std::vector<std::string> labels{key.first.value(), std::to_string(key.second)};
        m_waiting->with(labels).set(static_cast<double>(home->waiting()));
        m_permitsInUse->with(labels).set(static_cast<double>(home->permitsInUse()));
        m_permitLimit->with(labels).set(static_cast<double>(home->permitLimit()));
        m_exportedHomes.push_back(labels);
    }
}

} // namespace App
