#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <cstdint>
#include <map>
#include <string>

namespace Routing {

/// Work that one host has at one server.
struct ServerLoad
{
    std::uint32_t running = 0;
    /// Prompt tokens given to the server that it has not read yet, as reckoned.
    std::uint32_t unreadTokens = 0;

    bool operator==(const ServerLoad &) const = default;
};

/// What one host tells the others of its work. A newer one replaces an older one whole.
struct HostLoad
{
    std::map<Base::ServerId, ServerLoad> servers;
    /// Tokens asked for and received by each customer through this host of late, fading
    /// (FadingMeter).
    std::map<Base::CustomerId, double> asked;
    std::map<Base::CustomerId, double> received;

    bool operator==(const HostLoad &) const = default;
};

/// The sum over all other hosts.
struct OthersLoad
{
    std::map<Base::ServerId, ServerLoad> servers;
    std::map<Base::CustomerId, double> asked;
    std::map<Base::CustomerId, double> received;
    /// Live hosts, this one included.
    std::size_t hosts = 1;
};

} // namespace Routing
