#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Routing {

/// What a failed attempt leaves open to be done again.
enum class WorkKind {
    Idempotent,      ///< May run more than once.
    NotIdempotent,   ///< Runs at most once.
    Stream,          ///< A series of events; runs at most once.
    ResumableStream, ///< A series of events that another server can go on with.
};

/// A service that takes part of a route's requests.
struct WeightedService
{
    std::string service;
    /// Share of the requests, in proportion to the other weights of the route.
    std::uint32_t weight = 1;

    bool operator==(const WeightedService &) const = default;
};

/// One class of work: which requests belong to it, where they may run and what is owed to them.
struct Route
{
    std::string name;
    /// Lower case, without a port.
    std::string host;
    /// Begins and ends with a slash.
    std::string prefix;
    WorkKind kind = WorkKind::NotIdempotent;
    std::vector<WeightedService> services;
    /// Servers that one request may be sent to.
    std::uint32_t maxAttempts = 1;
    /// A request is answered within this time, if only by a failure.
    Base::Milliseconds timeout{30000};
    /// An answer that starts within this time is on time.
    Base::Milliseconds startTarget{1000};
    /// Longest pause between two events of a stream that is on time.
    Base::Milliseconds longestPause{1000};
    /// 0 is the most urgent.
    std::uint32_t priority = 0;
    /// Needs no customer's key.
    bool isAnonymous = false;

    bool isStream() const { return kind == WorkKind::Stream || kind == WorkKind::ResumableStream; }
    /// Whether a request that may have run may be sent again.
    bool mayRepeat() const
    {
        return kind == WorkKind::Idempotent || kind == WorkKind::ResumableStream;
    }

    bool operator==(const Route &) const = default;
};

/// What the servers of a service have in common if they run a language model.
struct EngineTraits
{
    /// Requests that run at once.
    std::uint32_t slots = 1;
    /// Tokens that running requests and kept prompt parts share.
    std::uint64_t memoryTokens = 0;
    /// Bytes of running memory for one token, and megabits a second of a server's link; 0 if not
    /// told, in which case nothing is fetched from one server to another.
    std::uint64_t bytesPerToken = 0;
    std::uint64_t linkMbps = 0;

    bool operator==(const EngineTraits &) const = default;
};

struct Service
{
    std::string name;
    /// Connections that one server takes from the whole fleet.
    std::uint32_t maxConnections = 64;
    /// Empty for a plain application.
    std::optional<EngineTraits> engine;

    bool operator==(const Service &) const = default;
};

struct RoutedCustomer
{
    Base::CustomerId id;
    std::vector<std::string> keys;

    bool operator==(const RoutedCustomer &) const = default;
};

/// Bounds on what a caller sends and on how long it may take.
struct CallerLimits
{
    std::size_t headerBytes = 16384;
    std::size_t bodyBytes = 4U << 20;
    Base::Milliseconds headerTimeout{3000};
    Base::Milliseconds idleTimeout{15000};
    /// Tokens that all model servers read and generate a second; 0 if not told.
    std::uint64_t tokensPerSecond = 0;

    bool operator==(const CallerLimits &) const = default;
};

/// One whole version of the routing configuration.
struct RoutingConfiguration
{
    /// Grows with each version, not always by one.
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::vector<Service> services;
    /// Empty if no customer needs a key.
    std::vector<RoutedCustomer> customers;
    CallerLimits limits;

    bool operator==(const RoutingConfiguration &) const = default;
};

} // namespace Routing
