#include "virtualfleet/fleet.h"

#include "settings/changecodec.h"

#include <algorithm>

namespace VirtualFleet {

Base::HostId routerName(std::size_t index)
{
    return Base::HostId("r" + std::to_string(index));
}

Base::ServerId serverName(const Base::PoolId &pool, std::size_t index)
{
    return Base::ServerId(pool.value() + "/s" + std::to_string(index));
}

std::string keyDigestOf(const Base::CustomerId &customer)
{
    return "digest-" + customer.value();
}

Fleet::Fleet(const FleetShape &shape)
    : m_shape(shape)
    , m_random(shape.seed)
    , m_incarnations(shape.routers, 0)
    , m_routers(shape.routers)
{
    for (const ServerGroup &group : shape.groups) {
        for (std::size_t i = 0; i < group.servers; ++i) {
            const Base::ServerId id = serverName(group.pool, i);
            m_servers[id] = std::make_unique<ModelServer>(m_queue, group.engine);
            m_poolOfServer[id] = group.pool;
        }
    }
    seedTable();
    for (std::size_t i = 0; i < shape.routers; ++i)
        restart(i);
    publishHosts();
}

Fleet::~Fleet() = default;

VirtualRouter *Fleet::routerByName(const Base::HostId &host)
{
    for (const std::unique_ptr<VirtualRouter> &router : m_routers) {
        if (router && routerName(router->index()) == host)
            return router.get();
    }
    return nullptr;
}

void Fleet::kill(std::size_t index)
{
    m_routers[index].reset();
}

void Fleet::restart(std::size_t index)
{
    ++m_incarnations[index];
    m_routers[index] = std::make_unique<VirtualRouter>(*this, index, m_incarnations[index]);
    m_routers[index]->start();
    m_routers[index]->handle(Node::HostListArrived{listing()});
}

void Fleet::setPartitioned(std::size_t a, std::size_t b, bool isPartitioned)
{
    const std::pair<std::size_t, std::size_t> pair = std::minmax(a, b);
    if (isPartitioned)
        m_partitions.insert(pair);
    else
        m_partitions.erase(pair);
}

bool Fleet::isPartitioned(std::size_t a, std::size_t b) const
{
    return m_partitions.count(std::minmax(a, b)) > 0;
}

ModelServer *Fleet::server(const Base::ServerId &id)
{
    const auto it = m_servers.find(id);
    return it == m_servers.end() ? nullptr : it->second.get();
}

void Fleet::setServerDead(const Base::ServerId &id, bool isDead)
{
    if (!isDead) {
        m_deadServers.erase(id);
        return;
    }
    m_deadServers.insert(id);
    breakTransfers(id, true);
}

void Fleet::dropConnections(const Base::ServerId &id)
{
    breakTransfers(id, false);
}

void Fleet::breakTransfers(const Base::ServerId &id, bool isWorkLost)
{
    for (const std::unique_ptr<VirtualRouter> &router : m_routers) {
        if (router)
            router->breakTransfers(id, isWorkLost);
    }
}

bool Fleet::drawChance(double share)
{
    constexpr std::uint64_t resolution = 1000000;
    return share > 0 && static_cast<double>(m_random.next() % resolution) < share * resolution;
}

void Fleet::markLeaving(const std::string &host)
{
    m_leavingHosts.insert(host);
    ++m_listingVersion;
}

void Fleet::submit(std::size_t router, const Node::CallerRequest &request)
{
    if (m_routers[router])
        m_routers[router]->handle(request);
}

std::size_t Fleet::messageSize(const Node::PeerMessage &message) const
{
    return m_messageSize ? m_messageSize(message) : 0;
}

void Fleet::seedTable()
{
    std::vector<Storage::TableWrite> writes;
    Settings::ConfigurationVersion version = 0;
    const auto add = [&](const auto &setting) {
        const Settings::ConfigurationChange change{++version, setting};
        writes.push_back({Settings::changeKey(version), Settings::encodeChange(change), 0});
    };
    for (const Settings::ClassTarget &target : m_shape.targets)
        add(target);
    for (const Base::CustomerId &customer : m_shape.customers)
        add(Settings::Customer{customer, keyDigestOf(customer)});
    writes.push_back({Settings::headKey, std::to_string(version), std::nullopt});
    m_table.transact(0, writes);
}

void Fleet::publishHosts()
{
    const Storage::HostListing current = listing();
    for (const std::unique_ptr<VirtualRouter> &router : m_routers) {
        if (router)
            router->handle(Node::HostListArrived{current});
    }
    m_queue.after(m_shape.hostListInterval, [this] { publishHosts(); });
}

Storage::HostListing Fleet::listing() const
{
    using Storage::HostState;
    Storage::HostListing listing;
    listing.version = m_listingVersion;
    const auto stateOf = [&](const std::string &name) {
        return m_leavingHosts.count(name) > 0 ? HostState::Leaving : HostState::Live;
    };
    for (std::size_t i = 0; i < m_shape.routers; ++i) {
        const std::string name = routerName(i).value();
        const Base::ZoneId zone("z" + std::to_string(i % m_shape.zones));
        listing.hosts.push_back({name,
                                 Storage::HostRole::Router,
                                 stateOf(name),
                                 zone,
                                 name,
                                 name,
                                 {},
                                 false,
                                 m_incarnations[i]});
    }
    std::size_t serverIndex = 0;
    for (const auto &[id, pool] : m_poolOfServer) {
        const Base::ZoneId zone("z" + std::to_string(serverIndex++ % m_shape.zones));
        listing.hosts.push_back({id.value(),
                                 Storage::HostRole::ModelServer,
                                 stateOf(id.value()),
                                 zone,
                                 id.value(),
                                 {},
                                 {pool},
                                 true,
                                 1});
    }
    return listing;
}

} // namespace VirtualFleet
