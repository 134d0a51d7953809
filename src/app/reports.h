#pragma once

#include "base/random.h"
#include "base/result.h"
#include "daemon/daemon.h"
#include "daemon/processstate.h"
#include "daemon/requestlog.h"
#include "metrics/textregistry.h"
#include "nodemetrics.h"
#include "nodetraces.h"
#include "tracing/recordingtracer.h"
#include "tracing/spanrecorder.h"

#include <memory>
#include <string>

namespace App {

/// Owns the request log, metrics and traces of one router, and passes the node's events to them.
class Reports final : public Node::NodeObserver, public Daemon::MetricsPage
{
public:
    /// Spans are written to \a traceFile, if it is not empty, with ids that depend on \a seed.
    /// Fails with Tracing::CannotOpenTraceFile.
    static Base::Result<std::unique_ptr<Reports>> create(const std::string &traceFile,
                                                         std::uint64_t seed);

    /// Returns the reports for Daemon::create(). This object must outlive the daemon.
    Daemon::DaemonInstrumentation daemonReports();
    /// Adds the control traffic of \a daemon to the metrics. \a daemon is accessed only while a
    /// metrics page is rendered, which the daemon itself serves.
    Base::Result<void> addTrafficMetrics(const Daemon::Daemon &daemon);

    void hopFinished(const Node::HopRecord &record) override;
    void requestFinished(const Node::RequestRecord &record) override;
    void retried(const Base::RequestKey &request) override;
    std::string text() override { return m_registry.text(); }

private:
    explicit Reports(std::uint64_t seed)
        : m_random(seed)
    {}
    Base::Result<void> startTracing(const std::string &file);

    Metrics::TextRegistry m_registry;
    Daemon::RequestLog m_log;
    std::unique_ptr<NodeMetrics> m_metrics;
    Base::SeededRandom m_random;
    std::unique_ptr<Tracing::SpanRecorder> m_recorder;
    std::unique_ptr<Tracing::RecordingTracer> m_tracer;
    std::unique_ptr<NodeTraces> m_traces;
};

} // namespace App
