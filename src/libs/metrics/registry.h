#pragma once

#include "base/result.h"
#include "metrics/instruments.h"

#include <memory>
#include <string>
#include <vector>

namespace Metrics {

/// Name, help text and label names of a family.
struct FamilyDescription
{
    std::string name;
    std::string help;
    std::vector<std::string> labelNames;
};

/// Error: the exposition format does not allow this metric or label name.
struct InvalidMetricName
{
    std::string name;
};

/// Error: the name belongs to a family of another type or with other labels.
struct MetricNameTaken
{
    std::string name;
};

/// Error: the bounds of a histogram are empty, not finite or not increasing.
struct InvalidBuckets
{
    std::string name;
};

/// Updates its instruments just before they are exported.
class Collector
{
public:
    virtual ~Collector() = default;
    virtual void collect() = 0;
};

/// All metrics of one process. The interface resembles that of prometheus-cpp's registry, so that
/// it can be implemented with that library; docs/design/metrics.md explains why it is not used.
///
/// Registering the same family again returns the existing one. Registration fails with
/// InvalidMetricName or MetricNameTaken, histograms() also with InvalidBuckets. A family lives as
/// long as the registry. Thread-safe.
class Registry
{
public:
    virtual ~Registry() = default;
    virtual Base::Result<Family<Counter> *> counters(const FamilyDescription &description) = 0;
    virtual Base::Result<Family<Gauge> *> gauges(const FamilyDescription &description) = 0;
    /// \a bounds are the increasing upper bounds of the buckets; a last bucket without a bound is
    /// added.
    virtual Base::Result<Family<Histogram> *> histograms(const FamilyDescription &description,
                                                         const std::vector<double> &bounds) = 0;
    /// Adds a collector, which text() calls before it formats the metrics.
    virtual void addCollector(std::unique_ptr<Collector> collector) = 0;
    /// Returns all metrics in Prometheus's text exposition format 0.0.4.
    virtual std::string text() = 0;
};

} // namespace Metrics
