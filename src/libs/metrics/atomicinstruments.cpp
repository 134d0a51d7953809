#include "metrics/atomicinstruments.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace Metrics::Internal {

void AtomicCounter::increment(double by)
{
    if (by > 0)
        m_value.fetch_add(by);
}

void AtomicCounter::appendTo(std::string &text, const std::string &name,
                             const std::vector<Label> &labels) const
{
    text += formatSample(name, labels, value());
}

void AtomicGauge::appendTo(std::string &text, const std::string &name,
                           const std::vector<Label> &labels) const
{
    text += formatSample(name, labels, value());
}

AtomicHistogram::AtomicHistogram(const std::vector<double> &bounds)
    : m_bounds(bounds)
    , m_counts(std::make_unique<std::atomic<std::uint64_t>[]>(bounds.size() + 1))
{}

void AtomicHistogram::observe(double value)
{
    // Adding a NaN would make the sum NaN permanently.
    if (std::isnan(value))
        return;
    const auto it = std::lower_bound(m_bounds.begin(), m_bounds.end(), value);
    ++m_counts[static_cast<std::size_t>(it - m_bounds.begin())];
    m_sum.fetch_add(value);
}

void AtomicHistogram::appendTo(std::string &text, const std::string &name,
                               const std::vector<Label> &labels) const
{
    std::vector<Label> bucketLabels = labels;
    bucketLabels.push_back({"le", ""});
    std::uint64_t count = 0;
    for (std::size_t i = 0; i <= m_bounds.size(); ++i) {
        const bool isLast = i == m_bounds.size();
        const double bound = isLast ? std::numeric_limits<double>::infinity() : m_bounds[i];
        count += m_counts[i];
        bucketLabels.back().value = formatNumber(bound);
        text += formatSample(name + "_bucket", bucketLabels, static_cast<double>(count));
    }
    text += formatSample(name + "_sum", labels, m_sum);
    text += formatSample(name + "_count", labels, static_cast<double>(count));
}

} // namespace Metrics::Internal
