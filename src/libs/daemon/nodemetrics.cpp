#include "daemon/nodemetrics.h"

#include <utility>

namespace Daemon {

Base::Result<std::unique_ptr<NodeMetrics>> NodeMetrics::create(Metrics::Registry &registry)
{
    const std::vector<std::string> home{"pool", "shard"};
    const std::vector<std::string> server{"pool", "server"};
    Instruments it;
    BOOST_LEAF_ASSIGN(it.fairnessGap,
                      registry.gauges({"lagoonmast_fairness_gap_units",
                                       "Weighed tokens between the most and the least served "
                                       "customer with waiting work.",
                                       home}));
    BOOST_LEAF_ASSIGN(it.waiting,
                      registry.gauges({"lagoonmast_waiting", "Requests that wait here.", home}));
    BOOST_LEAF_ASSIGN(it.utilisation,
                      registry.gauges({"lagoonmast_server_utilisation",
                                       "Share of a backend server's permits in use.", server}));
    BOOST_LEAF_ASSIGN(it.inUse, registry.gauges({"lagoonmast_server_permits_in_use",
                                                 "Permits of a backend server in use.", server}));
    BOOST_LEAF_ASSIGN(it.limit, registry.gauges({"lagoonmast_server_permit_limit",
                                                 "Permits that a backend server has.", server}));
    BOOST_LEAF_AUTO(configuration, registry.gauges({"lagoonmast_configuration_version",
                                                    "Version of the configuration in force here.",
                                                    {}}));
    it.configuration = &configuration->with({});
    BOOST_LEAF_AUTO(
        routers, registry.gauges(
                     {"lagoonmast_live_routers", "Routers that this one would give work to.", {}}));
    it.liveRouters = &routers->with({});
    BOOST_LEAF_AUTO(open, registry.gauges({"lagoonmast_open_requests",
                                           "Requests of callers connected here that have no final "
                                           "answer yet.",
                                           {}}));
    it.openRequests = &open->with({});
    return std::unique_ptr<NodeMetrics>(new NodeMetrics(it));
}

NodeMetrics::NodeMetrics(const Instruments &instruments)
    : m_instruments(instruments)
{}

void NodeMetrics::nodeChanged(const Node::Node &node)
{
    const Node::NodeStatus status = node.status();
    m_instruments.configuration->set(static_cast<double>(status.version));
    m_instruments.liveRouters->set(static_cast<double>(status.liveRouters));
    m_instruments.openRequests->set(static_cast<double>(status.openRequests));
    m_homes.clear();
    m_servers.clear();
    for (const auto &[key, home] : node.homes())
        showHome(key, *home);
    showLost();
}

void NodeMetrics::showHome(const Node::Node::HomeKey &key, const Node::PoolHome &home)
{
    const Labels labels{key.first.value(), std::to_string(key.second)};
    m_homes.insert(labels);
    m_instruments.waiting->with(labels).set(static_cast<double>(home.waiting()));
    m_instruments.fairnessGap->with(labels).set(static_cast<double>(home.fairnessGap()));
    for (const Node::ServerUse &use : home.serverUse()) {
        const Labels server{key.first.value(), use.server.value()};
        m_servers.insert(server);
        const auto inUse = static_cast<double>(use.inUse);
        const auto limit = static_cast<double>(use.limit);
        m_instruments.inUse->with(server).set(inUse);
        m_instruments.limit->with(server).set(limit);
        m_instruments.utilisation->with(server).set(limit > 0 ? inUse / limit : 0);
    }
}

void NodeMetrics::showLost()
{
    for (const Labels &labels : m_shownHomes) {
        if (m_homes.count(labels) > 0)
            continue;
        m_instruments.waiting->with(labels).set(0);
        m_instruments.fairnessGap->with(labels).set(0);
    }
    for (const Labels &labels : m_shownServers) {
        if (m_servers.count(labels) > 0)
            continue;
        m_instruments.inUse->with(labels).set(0);
        m_instruments.limit->with(labels).set(0);
        m_instruments.utilisation->with(labels).set(0);
    }
    m_shownHomes = m_homes;
    m_shownServers = m_servers;
}

} // namespace Daemon
