#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "routing/serverpace.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Routing {

/// The load that one host puts on one server.
struct ServerLoad
{
    std::uint32_t running = 0;
    /// The estimated number of prompt tokens that were sent to the server and that it has not read
    /// yet.
    std::uint32_t unreadTokens = 0;
    /// What the first events of recent requests took. It is empty for a service whose servers are
    /// taken for alike.
    StartTimes starts{};

    bool operator==(const ServerLoad &) const = default;
};

/// A shared prompt part that was sent to a server.
struct PartUse
{
    Base::ServerId server;
    /// The hash of the prompt's prefix up to and including the part (PrefixHash).
    std::uint64_t hash = 0;

    bool operator==(const PartUse &) const = default;
};

/// The recent use of a plain application, in numbers of requests with exponential decay
/// (DecayingSum).
struct ServiceUse
{
    /// Requests that arrived, refused ones included.
    double arrivals = 0;
    /// Requests that a server answered.
    double answers = 0;

    bool operator==(const ServiceUse &) const = default;
};

/// The load report that one host sends to the others. A newer report replaces the whole older one.
struct HostLoad
{
    std::map<Base::ServerId, ServerLoad> servers;
    /// The tokens that each customer recently asked for and received through this host, with
    /// exponential decay (DecayingSum).
    std::map<Base::CustomerId, double> asked;
    std::map<Base::CustomerId, double> received;
    /// The part of the received tokens that belongs to requests whose first event came. It is
    /// smaller than \a received on a host that is behind with its own work.
    std::map<Base::CustomerId, double> begun;
    /// The time in seconds in which anything was asked for, with the same decay as the amounts. The
    /// value of several hosts together is the largest of theirs.
    double askedSeconds = 0;
    /// The use of each plain application, by its service's name.
    std::map<std::string, ServiceUse> serviceUses;
    /// The prompt parts sent since the previous report. If a report is lost, the other hosts assume
    /// fewer cached copies than there are.
    std::vector<PartUse> partUses;

    bool operator==(const HostLoad &) const = default;
};

/// The sum of the load reports of all other hosts.
struct PeerLoad
{
    std::map<Base::ServerId, ServerLoad> servers;
    std::map<Base::CustomerId, double> asked;
    std::map<Base::CustomerId, double> received;
    std::map<Base::CustomerId, double> begun;
    double askedSeconds = 0;
    std::map<std::string, ServiceUse> serviceUses;
    /// The number of live hosts, including this one.
    std::size_t hosts = 1;
    /// The number of hosts that may be running, including this one: also those that have been
    /// silent for a while and may only be cut off from this host.
    std::size_t possibleHosts = 1;
};

} // namespace Routing
