#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Routing {

/// The kind of a route's requests. It determines whether a request may be repeated after a failed
/// attempt.
enum class WorkKind {
    Idempotent,      ///< The request may run more than once.
    NotIdempotent,   ///< The request runs at most once.
    Stream,          ///< The answer is a series of events; the request runs at most once.
    ResumableStream, ///< The answer is a series of events that another server can continue.
};

/// A service that handles a part of a route's requests.
struct WeightedService
{
    std::string service;
    /// The share of the requests, relative to the other weights of the route.
    std::uint32_t weight = 1;

    bool operator==(const WeightedService &) const = default;
};

/// A class of requests: which requests belong to it, which services handle them, and which targets
/// they have.
struct Route
{
    std::string name;
    /// The host name in lower case, without a port.
    std::string host;
    /// The path prefix, which begins and ends with a slash.
    std::string prefix;
    WorkKind kind = WorkKind::NotIdempotent;
    std::vector<WeightedService> services;
    /// The maximum number of servers to which one request may be sent.
    std::uint32_t maxAttempts = 1;
    /// The time within which a request is answered, at the latest with a failure.
    Base::Milliseconds timeout{30000};
    /// An answer whose first event arrives within this time is on time.
    Base::Milliseconds startTarget{1000};
    /// The longest pause between two events of a stream that is on time.
    Base::Milliseconds longestPause{1000};
    /// 0 is the most urgent priority.
    std::uint32_t priority = 0;
    /// Whether requests need no customer's key.
    bool isAnonymous = false;
    /// The regions in which requests may be handled; empty if any may.
    std::vector<Base::RegionId> allowedRegions;

    bool isStream() const { return kind == WorkKind::Stream || kind == WorkKind::ResumableStream; }
    /// Returns whether a request that may have run may be sent again.
    bool mayRepeat() const
    {
        return kind == WorkKind::Idempotent || kind == WorkKind::ResumableStream;
    }

    bool operator==(const Route &) const = default;
};

/// The common properties of the servers of a service that run a language model.
struct EngineTraits
{
    /// The number of requests that run at once.
    std::uint32_t slots = 1;
    /// The number of tokens that running requests and cached prompt parts share.
    std::uint64_t memoryTokens = 0;
    /// The bytes of KV cache for one token, and the bandwidth of a server's link in megabits per
    /// second. If either is 0, it is unknown, and servers do not fetch from each other.
    std::uint64_t bytesPerToken = 0;
    std::uint64_t linkMbps = 0;

    bool operator==(const EngineTraits &) const = default;
};

/// How the servers of a service behave after a start.
struct WarmUp
{
    /// The time for which a server warms up after its start.
    Base::Milliseconds duration{0};
    /// The requests per second that a server takes from the whole fleet while it warms up. It
    /// crashes at a rate well above that.
    double requestsPerSecond = 0;

    bool operator==(const WarmUp &) const = default;
};

struct Service
{
    std::string name;
    /// The number of connections that one server accepts from the whole fleet.
    std::uint32_t maxConnections = 64;
    /// The properties of the model servers; empty for a plain application.
    std::optional<EngineTraits> engine;
    /// Empty if the servers take any rate of requests at once.
    std::optional<WarmUp> warmUp;

    bool operator==(const Service &) const = default;
};

struct RoutedCustomer
{
    Base::CustomerId id;
    std::vector<std::string> keys;
    /// The regions in which the customer's requests may be handled; empty if any may.
    std::vector<Base::RegionId> allowedRegions;

    bool operator==(const RoutedCustomer &) const = default;
};

/// Limits on what a caller sends and on the time that it may take.
struct CallerLimits
{
    std::size_t headerBytes = 16384;
    std::size_t bodyBytes = 4U << 20;
    Base::Milliseconds headerTimeout{3000};
    Base::Milliseconds idleTimeout{15000};
    /// The number of tokens that all model servers together read and generate in a second; 0 if it
    /// is unknown.
    std::uint64_t tokensPerSecond = 0;

    bool operator==(const CallerLimits &) const = default;
};

/// One complete version of the routing configuration.
struct RoutingConfiguration
{
    /// The version number, which grows with each version, but not always by one.
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::vector<Service> services;
    /// The customers and their keys; empty if no customer needs a key.
    std::vector<RoutedCustomer> customers;
    CallerLimits limits;

    bool operator==(const RoutingConfiguration &) const = default;
};

} // namespace Routing
