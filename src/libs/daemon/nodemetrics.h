#pragma once

#include "base/result.h"
#include "daemon/corethread.h"
#include "metrics/registry.h"

#include <memory>
#include <set>
#include <string>
#include <vector>

namespace Daemon {

/// Shows how the node stands: the fairness gap and the utilisation that it sees, its queues,
/// its configuration and its view of the fleet.
class NodeMetrics final : public NodeWatcher
{
public:
    /// Fails as Metrics::Registry does.
    static Base::Result<std::unique_ptr<NodeMetrics>> create(Metrics::Registry &registry);

    void nodeChanged(const Node::Node &node) override;

private:
    using Gauges = Metrics::Family<Metrics::Gauge>;

    struct Instruments
    {
        Gauges *fairnessGap = nullptr;
        Gauges *waiting = nullptr;
        Gauges *utilisation = nullptr;
        Gauges *inUse = nullptr;
        Gauges *limit = nullptr;
        Metrics::Gauge *configuration = nullptr;
        Metrics::Gauge *liveRouters = nullptr;
        Metrics::Gauge *openRequests = nullptr;
    };

    explicit NodeMetrics(const Instruments &instruments);
    void showHome(const Node::Node::HomeKey &key, const Node::PoolHome &home);
    void showLost();

    Instruments m_instruments;
    using Labels = std::vector<std::string>;
    /// Shown the last time, to be set to zero when a home moves away.
    std::set<Labels> m_shownServers;
    std::set<Labels> m_shownHomes;
    std::set<Labels> m_servers;
    std::set<Labels> m_homes;
};

} // namespace Daemon
