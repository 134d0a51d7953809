#pragma once

#include "base/time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace Routing {

/// One answer of a server, as far as software versions are compared by it.
struct AnswerSample
{
    bool isFailure = false;
    /// The time to the first event or to the whole answer, relative to the time that the host
    /// expected where it can tell one. Only its ratio to other samples of the route matters.
    double startCost = 0;
    /// The time for each event after the first one, in milliseconds; empty for answers without
    /// several events.
    std::optional<double> eventMilliseconds;
};

/// Numbers of samples by size, in steps of half an octave.
class LogHistogram
{
public:
    /// From 1/16 up to 4096.
    static constexpr std::size_t bucketCount = 32;

    void add(double value) { ++m_counts[bucketOf(value)]; }
    void add(std::size_t bucket, std::uint32_t count) { m_counts[bucket] += count; }
    std::uint32_t count(std::size_t bucket) const { return m_counts[bucket]; }
    std::uint32_t total() const;
    /// Returns the bucket up to which \a share of the samples lie; 0 if there are none.
    std::size_t quantileBucket(double share) const;
    /// Returns the number of samples in buckets above \a bucket.
    std::uint32_t above(std::size_t bucket) const;
    LogHistogram &operator+=(const LogHistogram &other);
    /// Returns what has been added since \a earlier. Counts that have shrunk count as unchanged.
    LogHistogram since(const LogHistogram &earlier) const;
    static std::size_t bucketOf(double value);

    bool operator==(const LogHistogram &) const = default;

private:
    std::array<std::uint32_t, bucketCount> m_counts{};
};

/// The answers that servers of one group of versions gave on one route.
struct AnswerCounts
{
    std::uint32_t answers = 0;
    std::uint32_t failures = 0;
    LogHistogram starts;
    LogHistogram events;

    void add(const AnswerSample &sample);
    AnswerCounts &operator+=(const AnswerCounts &other);
    AnswerCounts since(const AnswerCounts &earlier) const;

    bool operator==(const AnswerCounts &) const = default;
};

/// What hosts saw of a service since an order, in counts that only grow.
struct RolloutEvidence
{
    struct ByVersion
    {
        AnswerCounts before;
        AnswerCounts after;

        bool operator==(const ByVersion &) const = default;
    };

    std::string service;
    /// The order that the counts belong to.
    std::uint64_t orderRevision = 0;
    /// Requests to the service, and those that were sent to the new version.
    std::uint64_t requests = 0;
    std::uint64_t exposed = 0;
    /// Requests that run at servers of old versions now.
    std::uint64_t runningBefore = 0;
    std::map<std::string, ByVersion> routes;

    RolloutEvidence &operator+=(const RolloutEvidence &other);
    bool operator==(const RolloutEvidence &) const = default;
};

} // namespace Routing
