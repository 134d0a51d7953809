#pragma once

#include "metrics/instruments.h"
#include "metrics/textformat.h"

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace Metrics::Internal {

class AtomicCounter final : public Counter
{
public:
    static constexpr char typeName[] = "counter";

    void increment(double by) override;
    double value() const override { return m_value; }
    void appendTo(std::string &text, const std::string &name,
                  const std::vector<Label> &labels) const;

private:
    std::atomic<double> m_value = 0;
};

class AtomicGauge final : public Gauge
{
public:
    static constexpr char typeName[] = "gauge";

    void set(double value) override { m_value = value; }
    void add(double by) override { m_value.fetch_add(by); }
    double value() const override { return m_value; }
    void appendTo(std::string &text, const std::string &name,
                  const std::vector<Label> &labels) const;

private:
    std::atomic<double> m_value = 0;
};

/// A histogram without a lock: values can be observed while the buckets are read. A reader may
/// therefore see an observation in the count but not yet in the sum. The count always equals the
/// sum of the buckets.
class AtomicHistogram final : public Histogram
{
public:
    static constexpr char typeName[] = "histogram";

    /// \a bounds must be increasing.
    explicit AtomicHistogram(const std::vector<double> &bounds);

    void observe(double value) override;
    void appendTo(std::string &text, const std::string &name,
                  const std::vector<Label> &labels) const;

private:
    std::vector<double> m_bounds;
    /// Counts of the buckets; the last one, beyond the bounds, counts the values above all bounds.
    std::unique_ptr<std::atomic<std::uint64_t>[]> m_counts;
    std::atomic<double> m_sum = 0;
};

} // namespace Metrics::Internal
