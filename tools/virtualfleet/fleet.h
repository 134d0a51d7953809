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

/// Runs up to a few hundred node cores in one process under one virtual clock, with fakes at their
/// interfaces: a network that can lose and duplicate messages and be partitioned, model servers,
/// the platform's table and its list of hosts, which reaches the routers at an interval.
class Fleet
{
public:
    /// Returns the bytes that a message takes on the wire.
    using MessageSize = std::function<std::size_t(const Node::PeerMessage &)>;

    explicit Fleet(const FleetShape &shape);
    ~Fleet();

    EventQueue &queue() { return m_queue; }
    const FleetShape &shape() const { return m_shape; }
    VirtualTable &table() { return m_table; }
    Base::RandomSource &random() { return m_random; }

    std::size_t routers() const { return m_routers.size(); }
    /// Returns the router with \a index, or null while it is down.
    VirtualRouter *router(std::size_t index) { return m_routers[index].get(); }
    /// Returns null if no running router has the name \a host.
    VirtualRouter *routerByName(const Base::HostId &host);

    /// Ends a router's process: its state is lost and its connections to servers are closed.
    void kill(std::size_t index);
    /// Restarts a router with empty state and an incarnation that is larger by one.
    void restart(std::size_t index);
    /// Partitions the network between two routers in both directions, or heals the partition.
    void setPartitioned(std::size_t a, std::size_t b, bool isPartitioned);
    bool isPartitioned(std::size_t a, std::size_t b) const;

    std::map<Base::ServerId, std::unique_ptr<ModelServer>> &servers() { return m_servers; }
    /// Returns null if there is no such server.
    ModelServer *server(const Base::ServerId &id);
    /// Marks a server dead or alive again. A dead server refuses connections, and the work that it
    /// ran is lost.
    void setServerDead(const Base::ServerId &id, bool isDead);
    /// Closes the connections to a server that keeps running its streams, so that routers can
    /// resume them.
    void dropConnections(const Base::ServerId &id);
    bool isServerDead(const Base::ServerId &id) const { return m_deadServers.count(id) > 0; }
    /// Sets the share (0 to 1) of messages between routers that are lost from now on.
    void setLossShare(double share) { m_shape.lossShare = share; }
    /// Sets the share (0 to 1) of messages between routers, and of answers of servers, that are
    /// delivered twice from now on.
    void setDuplicateShare(double share) { m_shape.duplicateShare = share; }
    /// Returns true with the probability \a share, from the fleet's random source.
    bool drawChance(double share);
    /// Lists the router or server \a host as leaving from the next list of hosts on.
    void markLeaving(const std::string &host);

    /// Sends a caller's request to one router's node. The request is dropped if that router is
    /// down.
    void submit(std::size_t router, const Node::CallerRequest &request);
    void setListener(CallerListener *listener) { m_listener = listener; }
    CallerListener *listener() { return m_listener; }

    void setMessageSize(MessageSize size) { m_messageSize = std::move(size); }
    /// Returns 0 unless setMessageSize() was called.
    std::size_t messageSize(const Node::PeerMessage &message) const;

    void runFor(Base::Duration length) { m_queue.runUntil(m_queue.now() + length); }

private:
    void breakTransfers(const Base::ServerId &id, bool isWorkLost);
    /// Writes the configuration of the shape into the table.
    void seedTable();
    /// Sends the list of hosts to all routers now and at every interval of the shape.
    void publishHosts();
    Storage::HostListing listing() const;

    FleetShape m_shape;
    EventQueue m_queue;
    Base::SeededRandom m_random;
    VirtualTable m_table;
    std::map<Base::ServerId, std::unique_ptr<ModelServer>> m_servers;
    std::map<Base::ServerId, Base::PoolId> m_poolOfServer;
    std::set<Base::ServerId> m_deadServers;
    std::set<std::string> m_leavingHosts;
    std::set<std::pair<std::size_t, std::size_t>> m_partitions;
    std::vector<Base::Incarnation> m_incarnations;
    std::vector<std::unique_ptr<VirtualRouter>> m_routers;
    std::uint64_t m_listingVersion = 1;
    CallerListener *m_listener = nullptr;
    MessageSize m_messageSize;
};

} // namespace VirtualFleet
