#pragma once

#include <string>
#include <vector>

namespace Metrics {

/// A value that only increases during the life of the process. Thread-safe.
class Counter
{
public:
    virtual ~Counter() = default;
    /// Adds \a by, which must not be negative; a negative number or NaN is ignored.
    virtual void increment(double by = 1) = 0;
    virtual double value() const = 0;
};

/// A value that can increase and decrease. Thread-safe.
class Gauge
{
public:
    virtual ~Gauge() = default;
    virtual void set(double value) = 0;
    virtual void add(double by) = 0;
    virtual double value() const = 0;
};

/// Counts observed values in buckets. Thread-safe.
class Histogram
{
public:
    virtual ~Histogram() = default;
    /// Counts \a value; NaN is ignored.
    virtual void observe(double value) = 0;
};

/// The instruments of one metric name, distinguished by the values of their labels.
template <typename Instrument>
class Family
{
public:
    virtual ~Family() = default;
    /// Returns the instrument for \a labelValues, which are in the order of the family's label
    /// names. The same values give the same instrument. It lives as long as the registry.
    ///
    /// If the family has maxFamilySize instruments, all further label values share one instrument
    /// whose label values are "other". Without this limit a caller that invents values would let
    /// the memory and every scrape grow without bound.
    virtual Instrument &with(const std::vector<std::string> &labelValues) = 0;
};

} // namespace Metrics
