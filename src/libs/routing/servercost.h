#pragma once

#include "routing/customershares.h"
#include "routing/fleetload.h"
#include "routing/routingconfiguration.h"

#include <cstdint>
#include <optional>

namespace Routing {

/// The properties of a service that the dispatcher needs.
struct ServiceTraits
{
    bool isEngine = false;
    /// The number of tokens that one server can cache; 0 for plain applications.
    std::uint64_t memoryTokens = 0;
    /// The number of prompt tokens that one server reads in a millisecond; 0 if it is not known.
    double readTokensPerMs = 0;
    /// The tokens per second that are divided evenly among customers who ask for more than that. A
    /// generated token counts as two. 0 means that there is no such limit.
    double sharedTokensPerSecond = 0;
    /// The time in milliseconds to transfer the KV cache of one token from one server to another.
    /// It is empty if servers cannot fetch from each other.
    std::optional<double> transferMsPerToken{};
    /// Empty if servers take any rate of requests right after their start.
    std::optional<WarmUp> warmUp{};
};

/// The state of a server at the moment of a decision.
struct ServerSnapshot
{
    std::uint32_t slots = 1;
    /// The load of all hosts together.
    ServerLoad load;
    /// The recent ratio of the actual to the expected time to the first event; 1 means as expected.
    double slowness = 1;
};

/// Estimates the cost of a request at a server, in milliseconds to its first event, and decides
/// whether the server has capacity for it.
///
/// Servers run requests in order of arrival, and one long prompt delays all requests beside it.
/// Therefore each server is kept only just full, and further requests wait at the hosts, where
/// their order can still change.
class ServerCost
{
public:
    explicit ServerCost(const ServiceTraits &traits) { setTraits(traits); }
    void setTraits(const ServiceTraits &traits);
    const ServiceTraits &traits() const { return m_traits; }

    /// Returns the estimated time in milliseconds from sending a request to its first event.
    /// \a unreadTokens is the number of its prompt tokens that the server has not cached.
    double startMilliseconds(const ServerSnapshot &snapshot, std::uint32_t unreadTokens) const;
    bool hasRoom(const ServerSnapshot &snapshot, Admission admission) const;
    /// Returns the time in milliseconds that the server takes to read \a tokens.
    double readMilliseconds(double tokens) const { return tokens / m_traits.readTokensPerMs; }
    /// Returns the engine time in milliseconds that is lost if a server reads \a rereadTokens
    /// although other servers have them cached.
    double rereadMilliseconds(std::uint32_t rereadTokens) const;

    /// Returns the time in milliseconds from sending a request to a server until that server has
    /// fetched \a tokens from another one. The result is infinite if servers cannot fetch.
    double fetchMilliseconds(std::uint32_t tokens, bool isOtherZone) const;

private:
    ServiceTraits m_traits;
};

} // namespace Routing
