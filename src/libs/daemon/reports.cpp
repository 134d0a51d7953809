#include "daemon/reports.h"

#include "metrics/processcollector.h"

#include <random>
#include <utility>

namespace Daemon {

namespace {

const char *nameOf(Coordination::TrafficKind kind)
{
    switch (kind) {
    case Coordination::TrafficKind::Permits:
        return "permits";
    case Coordination::TrafficKind::Charges:
        return "charges";
    case Coordination::TrafficKind::Heartbeats:
        return "heartbeats";
    case Coordination::TrafficKind::Ledger:
        return "ledger";
    case Coordination::TrafficKind::Configuration:
        return "configuration";
    case Coordination::TrafficKind::Claims:
        return "claims";
    }
    return "other";
}

/// Brings the counters of bytes sent between routers up to date.
class TrafficCollector final : public Metrics::Collector
{
public:
    TrafficCollector(Metrics::Family<Metrics::Counter> &bytes, const Daemon &daemon)
        : m_bytes(&bytes)
        , m_daemon(&daemon)
    {}

    void collect() override
    {
        const GrpcPeerTransport::Totals totals = m_daemon->controlBytes();
        for (std::size_t i = 0; i < totals.size(); ++i) {
            const char *kind = nameOf(static_cast<Coordination::TrafficKind>(i));
            m_bytes->with({kind}).increment(static_cast<double>(totals[i] - m_shown[i]));
        }
        m_shown = totals;
    }

private:
    Metrics::Family<Metrics::Counter> *m_bytes;
    const Daemon *m_daemon;
    GrpcPeerTransport::Totals m_shown{};
};

/// Brings the counter of spans that were lost up to date.
class SpanCollector final : public Metrics::Collector
{
public:
    SpanCollector(Metrics::Counter &dropped, const Tracing::SpanRecorder &spans)
        : m_dropped(&dropped)
        , m_spans(&spans)
    {}

    void collect() override
    {
        m_dropped->increment(static_cast<double>(m_spans->dropped()) - m_dropped->value());
    }

private:
    Metrics::Counter *m_dropped;
    const Tracing::SpanRecorder *m_spans;
};

} // namespace

Base::Result<std::unique_ptr<Reports>> Reports::create(const DaemonSettings &settings)
{
    std::unique_ptr<Reports> reports(new Reports);
    BOOST_LEAF_ASSIGN(reports->m_requestMetrics, RequestMetrics::create(reports->m_registry));
    BOOST_LEAF_ASSIGN(reports->m_nodeMetrics, NodeMetrics::create(reports->m_registry));
    BOOST_LEAF_AUTO(process, Metrics::ProcessCollector::create(reports->m_registry));
    reports->m_registry.addCollector(std::move(process));
    reports->m_observers.add(reports->m_log);
    reports->m_observers.add(*reports->m_requestMetrics);
    if (settings.traceFile.empty())
        return reports;
    Base::Result<void> opened = reports->openTrace(settings.traceFile);
    if (!opened)
        return opened.error();
    return reports;
}

Reports::Reports()
    : m_traceRandom(std::random_device{}())
{}

Base::Result<void> Reports::countTraffic(const Daemon &daemon)
{
    BOOST_LEAF_AUTO(bytes, m_registry.counters({"lagoonmast_control_bytes_total",
                                                "Bytes sent to other routers, by kind, with an "
                                                "allowance for framing.",
                                                {"kind"}}));
    m_registry.addCollector(std::make_unique<TrafficCollector>(*bytes, daemon));
    return {};
}

Base::Result<void> Reports::openTrace(const std::string &file)
{
    BOOST_LEAF_AUTO(sink, Tracing::FileLineSink::open(file));
    m_spans = std::make_unique<Tracing::SpanRecorder>(std::move(sink));
    m_tracer = std::make_unique<Tracing::RecordingTracer>(*m_spans, m_traceRandom);
    m_trace = std::make_unique<HopTrace>(*m_tracer);
    m_observers.add(*m_trace);
    BOOST_LEAF_AUTO(dropped, m_registry.counters({"lagoonmast_spans_dropped_total",
                                                  "Spans lost because the trace file was too slow.",
                                                  {}}));
    m_registry.addCollector(std::make_unique<SpanCollector>(dropped->with({}), *m_spans));
    return {};
}

} // namespace Daemon
