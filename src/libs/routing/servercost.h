#pragma once

#include "routing/customershares.h"
#include "routing/fleetload.h"

#include <cstdint>
#include <optional>

namespace Routing {

/// What a dispatcher must know of its service.
struct ServiceTraits
{
    bool isEngine = false;
    /// Tokens that one server keeps; 0 for plain applications.
    std::uint64_t memoryTokens = 0;
    /// Prompt tokens that one server reads in a millisecond; 0 if not known.
    double readTokensPerMs = 0;
    /// Tokens a second that are shared out evenly among customers who ask for more than that; a
    /// generated token counts twice. 0 for no such bound.
    double sharedTokensPerSecond = 0;
    /// Time in which the running memory of one token goes from one server to another; empty if
    /// servers cannot fetch it.
    std::optional<double> transferMsPerToken{};
};

/// How a server stands at the moment of a decision.
struct ServerStanding
{
    std::uint32_t slots = 1;
    /// Of all hosts.
    ServerLoad load;
    /// How many times longer than reckoned it took of late.
    double slowness = 1;
};

/// What a request costs at a server, in milliseconds to its first event, and whether the server has
/// room for it.
///
/// Load: servers take work in order of arrival, and one long prompt delays all that run beside it.
/// So a server is kept only just full, and the rest waits where its order can still be changed.
class ServerCost
{
public:
    explicit ServerCost(const ServiceTraits &traits) { setTraits(traits); }
    void setTraits(const ServiceTraits &traits);
    const ServiceTraits &traits() const { return m_traits; }

    /// From the send to the first event, for a request of which \a unreadTokens are not kept there.
    double startMilliseconds(const ServerStanding &standing, std::uint32_t unreadTokens) const;
    bool hasRoom(const ServerStanding &standing, Admission admission) const;
    /// Time that the server takes to read \a tokens.
    double readMilliseconds(double tokens) const { return tokens / m_traits.readTokensPerMs; }
    /// Milliseconds of the engines' time that are lost if a server reads \a rereadTokens although
    /// other servers keep them.
    double rereadMilliseconds(std::uint32_t rereadTokens) const;

    /// From the request to a server until it has fetched \a tokens from another one. Infinite if
    /// servers cannot fetch.
    double fetchMilliseconds(std::uint32_t tokens, bool isOtherZone) const;

private:
    ServiceTraits m_traits;
};

} // namespace Routing
