#pragma once

#include "base/random.h"
#include "base/result.h"
#include "daemon/daemon.h"
#include "daemon/daemonsettings.h"
#include "daemon/hoptrace.h"
#include "daemon/nodemetrics.h"
#include "daemon/observerlist.h"
#include "daemon/requestlog.h"
#include "daemon/requestmetrics.h"
#include "metrics/textregistry.h"
#include "tracing/spanrecorder.h"

#include <memory>

namespace Daemon {

/// All that one process tells about itself: request log, metrics, and spans if there is a file
/// for them.
class Reports final : public MetricsPage
{
public:
    /// Fails with CannotOpenTraceFile, or as Metrics::Registry does.
    static Base::Result<std::unique_ptr<Reports>> create(const DaemonSettings &settings);

    DaemonReports forDaemon() { return {m_observers, *m_nodeMetrics, *this}; }
    /// Shows the bytes sent to peers. Nobody may read the metrics once \a daemon is gone; its
    /// HTTP server, which reads them, ends first.
    Base::Result<void> countTraffic(const Daemon &daemon);

    std::string text() override { return m_registry.text(); }

private:
    Reports();
    Base::Result<void> openTrace(const std::string &file);

    Metrics::TextRegistry m_registry;
    Base::SeededRandom m_traceRandom;
    std::unique_ptr<Tracing::SpanRecorder> m_spans;
    std::unique_ptr<Tracing::RecordingTracer> m_tracer;
    std::unique_ptr<HopTrace> m_trace;
    RequestLog m_log;
    std::unique_ptr<RequestMetrics> m_requestMetrics;
    std::unique_ptr<NodeMetrics> m_nodeMetrics;
    ObserverList m_observers;
};

} // namespace Daemon
