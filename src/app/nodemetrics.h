#pragma once

#include "base/result.h"
#include "daemon/corethread.h"
#include "daemon/homemetrics.h"
#include "metrics/registry.h"
#include "node/nodeobserver.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace App {

/// Exports the requests and the state of the node as metrics. Used on the core thread only.
///
/// Some metrics have one value per home. A home is the router that queues the requests of one shard
/// of a pool, and grants them permits to use a backend server.
class NodeMetrics final : public Node::NodeObserver, public Daemon::NodeSampler
{
public:
    /// Registers the metrics in \a registry, which must outlive the result. Fails with the errors
    /// of Metrics::Registry.
    static Base::Result<std::unique_ptr<NodeMetrics>> create(Metrics::Registry &registry);

    void hopFinished(const Node::HopRecord &record) override;
    void requestFinished(const Node::RequestRecord &record) override;
    void retried(const Base::RequestKey &request) override;
    void sampleNode(const Node::Node &node) override;

private:
    NodeMetrics() = default;
    Base::Result<void> registerRequests(Metrics::Registry &registry);
    Base::Result<void> registerState(Metrics::Registry &registry);
    void updateHomes(const Node::Node &node);

    Metrics::Family<Metrics::Counter> *m_requests = nullptr;
    Metrics::Family<Metrics::Counter> *m_units = nullptr;
    Metrics::Family<Metrics::Counter> *m_failedHops = nullptr;
    Metrics::Counter *m_retries = nullptr;
    Metrics::Family<Metrics::Histogram> *m_queueWait = nullptr;
    Metrics::Family<Metrics::Histogram> *m_firstPart = nullptr;
    Metrics::Family<Metrics::Histogram> *m_requestTime = nullptr;
    Metrics::Gauge *m_ready = nullptr;
    Metrics::Gauge *m_leaving = nullptr;
    Metrics::Gauge *m_version = nullptr;
    Metrics::Gauge *m_liveRouters = nullptr;
    Metrics::Gauge *m_openRequests = nullptr;
    Metrics::Family<Metrics::Gauge> *m_waiting = nullptr;
    Metrics::Family<Metrics::Gauge> *m_permitsInUse = nullptr;
    Metrics::Family<Metrics::Gauge> *m_permitLimit = nullptr;
    /// Labels of the homes that the last update has exported.
    std::vector<std::vector<std::string>> m_exportedHomes;
    std::unique_ptr<Daemon::HomeMetrics> m_homes;
};

} // namespace App
