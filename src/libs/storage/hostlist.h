#pragma once

#include "base/ids.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Storage {

enum class HostRole { Router, ModelServer, ApplicationServer };
enum class HostState { Live, Leaving };

/// One entry of the platform's list of hosts. The list lags behind the actual state.
struct ListedHost
{
    std::string name;
    HostRole role = HostRole::Router;
    HostState state = HostState::Live;
    Base::ZoneId zone;
    /// "IP:PORT" at which a backend server serves, or at which other routers reach a router.
    std::string address;
    /// "IP:PORT" at which a router serves callers; empty for a backend server.
    std::string callerAddress;
    /// Pools that a backend server belongs to.
    std::vector<Base::PoolId> pools;
    /// Whether a backend server refuses an order or a call with an outdated fencing number.
    bool isCheckingFences = false;
    /// Increases with each start of the host.
    Base::Incarnation incarnation = 0;
};

/// The platform's list of hosts at one version.
struct HostListing
{
    /// Increases with each change of the list.
    std::uint64_t version = 0;
    std::vector<ListedHost> hosts;
};

} // namespace Storage
