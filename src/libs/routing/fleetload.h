#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <cstdint>
#include <map>
#include <vector>

namespace Routing {

/// Work that one host has at one server.
struct ServerLoad
{
    std::uint32_t running = 0;
    /// Prompt tokens given to the server that it has not read yet, as reckoned.
    std::uint32_t unreadTokens = 0;

    bool operator==(const ServerLoad &) const = default;
};

/// A shared prompt part that was sent to a server.
struct PartUse
{
    Base::ServerId server;
    /// Of the chain up to the part (ChainLink).
    std::uint64_t hash = 0;

    bool operator==(const PartUse &) const = default;
};

/// What one host tells the others of its work. A newer one replaces an older one whole.
struct HostLoad
{
    std::map<Base::ServerId, ServerLoad> servers;
    /// Tokens asked for and received by each customer through this host of late, fading
    /// (FadingMeter).
    std::map<Base::CustomerId, double> asked;
    std::map<Base::CustomerId, double> received;
    /// Of what was received, that of which the first event came: less than was sent to servers
    /// where this host is behind with its own work.
    std::map<Base::CustomerId, double> begun;
    /// Seconds, fading as the amounts do, in which something was asked for. Of several hosts, that
    /// of the one that knows longest.
    double askedSeconds = 0;
    /// Since the report before. If a report is lost, the others believe in fewer copies.
    std::vector<PartUse> partUses;

    bool operator==(const HostLoad &) const = default;
};

/// The sum over all other hosts.
struct PeerLoad
{
    std::map<Base::ServerId, ServerLoad> servers;
    std::map<Base::CustomerId, double> asked;
    std::map<Base::CustomerId, double> received;
    std::map<Base::CustomerId, double> begun;
    double askedSeconds = 0;
    /// Live hosts, this one included.
    std::size_t hosts = 1;
};

} // namespace Routing
