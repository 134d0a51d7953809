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

/// What one router tells about itself: its log, metrics and traces, in one place.
class Reports final : public Node::NodeObserver, public Daemon::MetricsPage
{
public:
    /// \a traceFile may be empty for no traces. Fails with Tracing::CannotOpenTraceFile.
    static Base::Result<std::unique_ptr<Reports>> create(const std::string &traceFile,
                                                         std::uint64_t seed);

    /// For Daemon::create(). Must outlive the daemon.
    Daemon::DaemonReports daemonReports();
    /// Adds the control traffic of \a daemon to the metrics. Its last use of the daemon is a
    /// metrics page, which the daemon itself serves.
    Base::Result<void> watchTraffic(const Daemon::Daemon &daemon);

    void hopFinished(const Node::HopRecord &record) override;
    void requestFinished(const Node::RequestRecord &record) override;
    void retried(const Base::RequestKey &request) override;
    std::string text() override { return m_registry.text(); }

private:
    explicit Reports(std::uint64_t seed)
        : m_random(seed)
    {}
    Base::Result<void> startTraces(const std::string &file);

    Metrics::TextRegistry m_registry;
    Daemon::RequestLog m_log;
    std::unique_ptr<NodeMetrics> m_metrics;
    Base::SeededRandom m_random;
    std::unique_ptr<Tracing::SpanRecorder> m_recorder;
    std::unique_ptr<Tracing::RecordingTracer> m_tracer;
    std::unique_ptr<NodeTraces> m_traces;
};

} // namespace App
