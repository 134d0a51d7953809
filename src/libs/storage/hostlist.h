#pragma once

#include "base/ids.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Storage {

enum class HostRole { Router, ModelServer, ApplicationServer };
enum class HostState { Live, Leaving };

/// One line of the platform's list of hosts. The list lags behind the truth.
struct ListedHost
{
    std::string name;
    HostRole role = HostRole::Router;
    HostState state = HostState::Live;
    Base::ZoneId zone;
    /// "IP:PORT" that a backend server serves on, or that peers of a router reach it on.
    std::string address;
    /// Of a router: "IP:PORT" for callers.
    std::string callerAddress;
    /// Pools that a backend server belongs to.
    std::vector<Base::PoolId> pools;
    /// Whether a backend server refuses an order or a call with an old fencing number.
    bool isCheckingFences = false;
    /// Grows with each start of the host.
    Base::Incarnation incarnation = 0;
};

struct HostListing
{
    /// Grows with each change of the list.
    std::uint64_t version = 0;
    std::vector<ListedHost> hosts;
};

} // namespace Storage
