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

struct ServerGroup
{
    Base::PoolId pool;
    std::size_t servers = 0;
    EngineShape engine;
};

/// How a fleet in virtual time is made up.
struct FleetShape
{
    std::size_t routers = 8;
    std::size_t zones = 4;
    std::vector<ServerGroup> groups;
    std::vector<Settings::ClassTarget> targets;
    std::vector<Base::CustomerId> customers;
    /// One way between two routers, and between a router and a server.
    Base::Duration latency = std::chrono::microseconds(500);
    Base::Duration tableLatency = std::chrono::milliseconds(4);
    /// Age of a server's load report when it arrives.
    Base::Duration loadReportLag = std::chrono::milliseconds(400);
    Base::Duration hostListInterval = std::chrono::seconds(2);
    std::uint64_t seed = 1;
    /// Share of messages between routers that are lost.
    double lossShare = 0;
    /// Share of messages between routers, and of answers of servers, that come a second time,
    /// late.
    double duplicateShare = 0;
    Base::Duration duplicateDelay = std::chrono::milliseconds(300);
    Node::NodeSettings node;
};

Base::HostId routerName(std::size_t index);
Base::ServerId serverName(const Base::PoolId &pool, std::size_t index);
/// The key digest under which \a customer is configured.
std::string keyDigestOf(const Base::CustomerId &customer);

} // namespace VirtualFleet
