#include "daemon/requestmetrics.h"

#include "daemon/failuretext.h"

#include <vector>

namespace Daemon {

namespace {

/// Seconds; dense round the targets of interactive work, wide for work that may wait.
const std::vector<double> &waitBounds()
{
    static const std::vector<double> bounds{0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 0.75,
                                            1.0,   1.5,  2.5,   5.0,  10,  30,   60,  300};
    return bounds;
}

double seconds(Base::Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

Base::Result<std::unique_ptr<RequestMetrics>> RequestMetrics::create(Metrics::Registry &registry)
{
    Instruments it;
    BOOST_LEAF_ASSIGN(it.answered, registry.counters({"lagoonmast_requests_answered_total",
                                                      "Requests whose answer came whole.",
                                                      {"class"}}));
    BOOST_LEAF_ASSIGN(it.failed, registry.counters({"lagoonmast_requests_failed_total",
                                                    "Requests refused or failed, by reason.",
                                                    {"class", "reason"}}));
    BOOST_LEAF_ASSIGN(it.served, registry.counters({"lagoonmast_service_units_total",
                                                    "Weighed tokens served, by customer.",
                                                    {"customer"}}));
    BOOST_LEAF_AUTO(
        retries,
        registry.counters({"lagoonmast_retries_total", "Further attempts at requests.", {}}));
    it.retries = &retries->with({});
    BOOST_LEAF_ASSIGN(it.queueWait,
                      registry.histograms({"lagoonmast_queue_wait_seconds",
                                           "From a request's arrival to its last sending.",
                                           {"class"}},
                                          waitBounds()));
    BOOST_LEAF_ASSIGN(it.firstToken,
                      registry.histograms({"lagoonmast_first_token_seconds",
                                           "From a request's arrival to the first part of its "
                                           "answer.",
                                           {"class"}},
                                          waitBounds()));
    return std::unique_ptr<RequestMetrics>(new RequestMetrics(it));
}

RequestMetrics::RequestMetrics(const Instruments &instruments)
    : m_instruments(instruments)
{}

void RequestMetrics::hopFinished(const Node::HopRecord &) {}

void RequestMetrics::requestFinished(const Node::RequestRecord &record)
{
    const std::string &workClass = record.workClass.value();
    if (record.isFailed)
        m_instruments.failed->with({workClass, typeName(record.failure)}).increment();
    else
        m_instruments.answered->with({workClass}).increment();
    if (record.units > 0)
        m_instruments.served->with({record.customer.value()})
            .increment(static_cast<double>(record.units));
    if (record.attempts > 0)
        m_instruments.queueWait->with({workClass}).observe(seconds(record.queueWait));
    if (record.firstPart > Base::Duration::zero())
        m_instruments.firstToken->with({workClass}).observe(seconds(record.firstPart));
}

void RequestMetrics::retried(const Base::RequestKey &)
{
    m_instruments.retries->increment();
}

} // namespace Daemon
