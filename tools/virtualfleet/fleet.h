#pragma once

#include "base/random.h"
#include "virtualfleet/callerlistener.h"
#include "virtualfleet/eventqueue.h"
#include "virtualfleet/fleetshape.h"
#include "virtualfleet/modelserver.h"
#include "virtualfleet/virtualrouter.h"
#include "virtualfleet/virtualtable.h"

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace VirtualFleet {

/// A few, or a few hundred, node cores in one process under one virtual clock, with fakes at
/// their interfaces: a network that can lose and cut, model servers, the platform's table and
/// its lagging list of hosts.
class Fleet
{
public:
    using MessageSize = std::function<std::size_t(const Node::PeerMessage &)>;

    explicit Fleet(const FleetShape &shape);
    ~Fleet();

    EventQueue &queue() { return m_queue; }
    const FleetShape &shape() const { return m_shape; }
    VirtualTable &table() { return m_table; }
    Base::RandomSource &random() { return m_random; }

    std::size_t routers() const { return m_routers.size(); }
    /// Null while the router is down.
    VirtualRouter *router(std::size_t index) { return m_routers[index].get(); }
    VirtualRouter *routerByName(const Base::HostId &host);

    void kill(std::size_t index);
    /// Starts a router that is down, cold, with a larger incarnation.
    void restart(std::size_t index);
    /// Cuts, or mends, the network between two routers, both ways.
    void setCut(std::size_t a, std::size_t b, bool isPartitioned);
    bool isPartitioned(std::size_t a, std::size_t b) const;

    std::map<Base::ServerId, std::unique_ptr<ModelServer>> &servers() { return m_servers; }
    ModelServer *server(const Base::ServerId &id);
    /// A dead server refuses connections; what it ran is lost.
    void setServerDead(const Base::ServerId &id, bool isDead);
    /// Cuts the connections to a server that keeps its streams.
    void cutStreams(const Base::ServerId &id);
    bool isServerDead(const Base::ServerId &id) const { return m_dead.count(id) > 0; }
    /// Share of messages between routers that are lost from now on.
    void setLossShare(double share) { m_shape.lossShare = share; }
    void setDoubleShare(double share) { m_shape.duplicateShare = share; }
    /// Draws whether something with a chance of \a share happens now.
    bool drawChance(double share);
    void markLeaving(const std::string &host);

    /// Sends a caller's request to one router's node.
    void submit(std::size_t router, const Node::CallerRequest &request);
    void setListener(CallerListener *listener) { m_listener = listener; }
    CallerListener *listener() { return m_listener; }

    void setMessageSize(MessageSize size) { m_messageSize = std::move(size); }
    std::size_t messageSize(const Node::PeerMessage &message) const;

    void runFor(Base::Duration length) { m_queue.runUntil(m_queue.now() + length); }

private:
    void breakTransfers(const Base::ServerId &id, bool isWorkLost);
    void seedTable();
    void publishHosts();
    Storage::HostListing listing() const;

    FleetShape m_shape;
    EventQueue m_queue;
    Base::SeededRandom m_random;
    VirtualTable m_table;
    std::map<Base::ServerId, std::unique_ptr<ModelServer>> m_servers;
    std::map<Base::ServerId, Base::PoolId> m_poolOfServer;
    std::set<Base::ServerId> m_dead;
    std::set<std::string> m_leaving;
    std::set<std::pair<std::size_t, std::size_t>> m_partitions;
    std::vector<Base::Incarnation> m_incarnations;
    std::vector<std::unique_ptr<VirtualRouter>> m_routers;
    std::uint64_t m_listingVersion = 1;
    CallerListener *m_listener = nullptr;
    MessageSize m_messageSize;
};

} // namespace VirtualFleet
