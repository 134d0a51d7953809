#include "reports.h"

#include "metrics/processcollector.h"
#include "tracing/linesink.h"

#include <array>
#include <utility>

namespace App {

namespace {

/// Exports the bytes that this router has sent to other routers.
class TrafficCollector final : public Metrics::Collector
{
public:
    TrafficCollector(const Daemon::Daemon &daemon, Metrics::Family<Metrics::Counter> &bytes)
        : m_daemon(&daemon)
        , m_bytes(&bytes)
    {}

    void collect() override
    {
        static constexpr std::array<const char *, Coordination::trafficKindCount> names{
            "permits", "charges", "heartbeats", "ledger", "configuration", "claims"};
        const auto totals = m_daemon->controlBytes();
        for (std::size_t i = 0; i < names.size(); ++i) {
            Metrics::Counter &counter = m_bytes->with({names[i]});
            counter.increment(static_cast<double>(totals[i]) - counter.value());
        }
    }

private:
    const Daemon::Daemon *m_daemon;
    Metrics::Family<Metrics::Counter> *m_bytes;
};

/// Exports the number of dropped spans.
class DroppedSpanCollector final : public Metrics::Collector
{
public:
    DroppedSpanCollector(const Tracing::SpanRecorder &recorder, Metrics::Counter &dropped)
        : m_recorder(&recorder)
        , m_dropped(&dropped)
    {}

    void collect() override
    {
        m_dropped->increment(static_cast<double>(m_recorder->dropped()) - m_dropped->value());
    }

private:
    const Tracing::SpanRecorder *m_recorder;
    Metrics::Counter *m_dropped;
};

} // namespace

Base::Result<std::unique_ptr<Reports>> Reports::create(const std::string &traceFile,
                                                       std::uint64_t seed)
{
    std::unique_ptr<Reports> reports(new Reports(seed));
    BOOST_LEAF_ASSIGN(reports->m_metrics, NodeMetrics::create(reports->m_registry));
    BOOST_LEAF_AUTO(process, Metrics::ProcessCollector::create(reports->m_registry));
    reports->m_registry.addCollector(std::move(process));
    if (!traceFile.empty())
        BOOST_LEAF_CHECK(reports->startTracing(traceFile));
    return reports;
}

Base::Result<void> Reports::startTracing(const std::string &file)
{
    BOOST_LEAF_AUTO(sink, Tracing::FileLineSink::open(file));
    m_recorder = std::make_unique<Tracing::SpanRecorder>(std::move(sink));
    m_tracer = std::make_unique<Tracing::RecordingTracer>(*m_recorder, m_random);
    m_traces = std::make_unique<NodeTraces>(*m_tracer);
    BOOST_LEAF_AUTO(dropped, m_registry.counters({"lagoonmast_spans_dropped_total",
                                                  "Spans lost since the trace file was too slow",
                                                  {}}));
    m_registry.addCollector(std::make_unique<DroppedSpanCollector>(*m_recorder, dropped->with({})));
    return {};
}

Daemon::DaemonInstrumentation Reports::daemonReports()
{
    return {*this, *m_metrics, *this};
}

Base::Result<void> Reports::addTrafficMetrics(const Daemon::Daemon &daemon)
{
    BOOST_LEAF_AUTO(
        bytes, m_registry.counters(
                   {"lagoonmast_control_bytes_total", "Bytes sent to other routers", {"kind"}}));
    m_registry.addCollector(std::make_unique<TrafficCollector>(daemon, *bytes));
    return {};
}

void Reports::hopFinished(const Node::HopRecord &record)
{
    m_log.hopFinished(record);
    m_metrics->hopFinished(record);
    if (m_traces)
        m_traces->hopFinished(record);
}

void Reports::requestFinished(const Node::RequestRecord &record)
{
    m_log.requestFinished(record);
    m_metrics->requestFinished(record);
    if (m_traces)
        m_traces->requestFinished(record);
}

void Reports::retried(const Base::RequestKey &request)
{
    m_log.retried(request);
    m_metrics->retried(request);
    if (m_traces)
        m_traces->retried(request);
}

} // namespace App
