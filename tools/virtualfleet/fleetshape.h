#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "node/nodesettings.h"
#include "virtualfleet/modelserver.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace VirtualFleet {

/// Equal model servers that serve one pool.
struct ServerGroup
{
    Base::PoolId pool;
    std::size_t servers = 0;
    EngineShape engine;
};

/// Size, delays and faults of a fleet in virtual time.
struct FleetShape
{
    std::size_t routers = 8;
    std::size_t zones = 4;
    std::vector<ServerGroup> groups;
    std::vector<Settings::ClassTarget> targets;
    std::vector<Base::CustomerId> customers;
    /// Latency of one way between two routers, and between a router and a server.
    Base::Duration latency = std::chrono::microseconds(500);
    /// Latency of one way between a router and the platform's table.
    Base::Duration tableLatency = std::chrono::milliseconds(4);
    /// Age of a server's load report when it arrives at a router.
    Base::Duration loadReportLag = std::chrono::milliseconds(400);
    /// Time between two lists of hosts that the platform sends to the routers.
    Base::Duration hostListInterval = std::chrono::seconds(2);
    std::uint64_t seed = 1;
    /// Share (0 to 1) of messages between routers that are lost.
    double lossShare = 0;
    /// Share (0 to 1) of messages between routers, and of answers of servers, that are delivered a
    /// second time, later by duplicateDelay.
    double duplicateShare = 0;
    Base::Duration duplicateDelay = std::chrono::milliseconds(300);
    /// Settings of every node core; each router fills in its own name, zone and addresses.
    Node::NodeSettings node;
};

/// Returns the name of the router with \a index.
Base::HostId routerName(std::size_t index);
/// Returns the name of the server with \a index in \a pool.
Base::ServerId serverName(const Base::PoolId &pool, std::size_t index);
/// Returns the digest of the API key under which \a customer is configured.
std::string keyDigestOf(const Base::CustomerId &customer);

} // namespace VirtualFleet
