#include "daemon/homemetrics.h"

namespace Daemon {

Base::Result<std::unique_ptr<HomeMetrics>> HomeMetrics::create(Metrics::Registry &registry)
{
    const Labels home{"pool", "shard"};
    const Labels server{"pool", "server"};
    BOOST_LEAF_AUTO(gap, registry.gauges({"lagoonmast_fairness_gap_units",
                                          "Weighed tokens between the most and the least served "
                                          "customer that wait here",
                                          home}));
    BOOST_LEAF_AUTO(inUse, registry.gauges({"lagoonmast_server_permits_in_use",
                                            "Permits of a backend server in use", server}));
    BOOST_LEAF_AUTO(limit, registry.gauges({"lagoonmast_server_permit_limit",
                                            "Permits that a backend server has", server}));
    BOOST_LEAF_AUTO(utilisation,
                    registry.gauges({"lagoonmast_server_utilisation",
                                     "Share of a backend server's permits in use", server}));
    return std::unique_ptr<HomeMetrics>(new HomeMetrics(*gap, *inUse, *limit, *utilisation));
}

HomeMetrics::HomeMetrics(Gauges &fairnessGap, Gauges &inUse, Gauges &limit, Gauges &utilisation)
    : m_fairnessGap(&fairnessGap)
    , m_inUse(&inUse)
    , m_limit(&limit)
    , m_utilisation(&utilisation)
{}

void HomeMetrics::sampleNode(const Node::Node &node)
{
    // A shard whose home has moved to another router must not keep its last values.
    resetGauges();
    for (const auto &[key, home] : node.homes().all()) {
        const Labels labels{key.first.value(), std::to_string(key.second)};
        m_fairnessGap->with(labels).set(static_cast<double>(home->fairnessGap()));
        m_homeLabels.push_back(labels);
        for (const Node::ServerUsage &use : home->serverUsage())
            setServerGauges(key.first, use);
    }
}

void HomeMetrics::resetGauges()
{
    for (const Labels &labels : m_homeLabels)
        m_fairnessGap->with(labels).set(0);
    for (const Labels &labels : m_serverLabels) {
        m_inUse->with(labels).set(0);
        m_limit->with(labels).set(0);
        m_utilisation->with(labels).set(0);
    }
    m_homeLabels.clear();
    m_serverLabels.clear();
}

void HomeMetrics::setServerGauges(const Base::PoolId &pool, const Node::ServerUsage &use)
{
    const Labels labels{pool.value(), use.server.value()};
    const auto inUse = static_cast<double>(use.inUse);
    const auto limit = static_cast<double>(use.limit);
    m_inUse->with(labels).set(inUse);
    m_limit->with(labels).set(limit);
    m_utilisation->with(labels).set(limit > 0 ? inUse / limit : 0);
    m_serverLabels.push_back(labels);
}

} // namespace Daemon
