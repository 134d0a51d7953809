#pragma once

#include "base/result.h"
#include "metrics/instruments.h"

#include <memory>
#include <string>
#include <vector>

namespace Metrics {

/// What a family is registered with.
struct FamilyDescription
{
    std::string name;
    std::string help;
    std::vector<std::string> labelNames;
};

/// A metric or label name that the exposition format does not allow.
struct InvalidMetricName
{
    std::string name;
};

/// The name is taken by a family of another type or with other labels.
struct MetricNameTaken
{
    std::string name;
};

/// Histogram bounds that are empty, not finite or not growing.
struct InvalidBuckets
{
    std::string name;
};

/// Brings its instruments up to date just before they are read.
class Collector
{
public:
    virtual ~Collector() = default;
    virtual void collect() = 0;
};

/// All metrics of one process. Has the shape of prometheus-cpp's registry, so that an adapter
/// over that library can take this one's place; docs/design/metrics.md says why it is not used.
///
/// Registering the same family again gives the one that is there. Each function fails with
/// InvalidMetricName or MetricNameTaken, histograms() also with InvalidBuckets. A family lives as
/// long as the registry. Safe to use from many threads.
class Registry
{
public:
    virtual ~Registry() = default;
    virtual Base::Result<Family<Counter> *> counters(const FamilyDescription &description) = 0;
    virtual Base::Result<Family<Gauge> *> gauges(const FamilyDescription &description) = 0;
    /// \a bounds are the upper bounds of the buckets, growing; the last bucket is added.
    virtual Base::Result<Family<Histogram> *> histograms(const FamilyDescription &description,
                                                         const std::vector<double> &bounds) = 0;
    virtual void addCollector(std::unique_ptr<Collector> collector) = 0;
    /// All metrics in Prometheus's text exposition format 0.0.4.
    virtual std::string text() = 0;
};

} // namespace Metrics
