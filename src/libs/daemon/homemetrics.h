#pragma once

#include "base/result.h"
#include "daemon/corethread.h"
#include "metrics/registry.h"

#include <memory>
#include <string>
#include <vector>

namespace Daemon {

/// Publishes the metrics of the pool shards whose home is this router. The home of a shard queues
/// the shard's requests and gives out the permits to run them on its backend servers. The metrics
/// are the fairness gap of each shard, and how much of each backend server is in use.
class HomeMetrics final : public NodeSampler
{
public:
    /// Fails as Metrics::Registry does.
    static Base::Result<std::unique_ptr<HomeMetrics>> create(Metrics::Registry &registry);

    void sampleNode(const Node::Node &node) override;

private:
    using Gauges = Metrics::Family<Metrics::Gauge>;
    using Labels = std::vector<std::string>;

    HomeMetrics(Gauges &fairnessGap, Gauges &inUse, Gauges &limit, Gauges &utilisation);
    void resetGauges();
    void setServerGauges(const Base::PoolId &pool, const Node::ServerUsage &use);

    Gauges *m_fairnessGap;
    Gauges *m_inUse;
    Gauges *m_limit;
    Gauges *m_utilisation;
    std::vector<Labels> m_homeLabels;
    std::vector<Labels> m_serverLabels;
};

} // namespace Daemon
