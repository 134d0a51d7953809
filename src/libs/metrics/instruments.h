#pragma once

#include <string>
#include <vector>

namespace Metrics {

/// A value that only grows while the process lives. Safe to use from many threads.
class Counter
{
public:
    virtual ~Counter() = default;
    /// \a by is not negative; a negative number or NaN is left out.
    virtual void increment(double by = 1) = 0;
    virtual double value() const = 0;
};

/// A value that goes up and down. Safe to use from many threads.
class Gauge
{
public:
    virtual ~Gauge() = default;
    virtual void set(double value) = 0;
    virtual void add(double by) = 0;
    virtual double value() const = 0;
};

/// Counts observations in buckets. Safe to use from many threads.
class Histogram
{
public:
    virtual ~Histogram() = default;
    virtual void observe(double value) = 0;
};

/// The metrics of one name, told apart by the values of their labels.
template <typename Instrument>
class Family
{
public:
    virtual ~Family() = default;
    /// The instrument for these values, one for each label name of the family in their order;
    /// the same one for the same values. It lives as long as the registry.
    ///
    /// Guards against a caller who makes up values: past largestChildren the further ones share
    /// one instrument whose label values are "other". Without it each new value would stay in
    /// memory and in every scrape for ever.
    virtual Instrument &with(const std::vector<std::string> &labelValues) = 0;
};

} // namespace Metrics
