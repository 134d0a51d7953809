#include "metrics/textregistry.h"

#include "metrics/atomicinstruments.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Metrics {

namespace {

bool isIncreasing(const std::vector<double> &bounds)
{
    const auto isNotBelow = [](double a, double b) { return !(a < b); };
    return !bounds.empty()
           && std::all_of(bounds.begin(), bounds.end(), [](double it) { return std::isfinite(it); })
           && std::adjacent_find(bounds.begin(), bounds.end(), isNotBelow) == bounds.end();
}

} // namespace

Base::Result<Family<Counter> *> TextRegistry::counters(const FamilyDescription &description)
{
    using Internal::AtomicCounter;
    return family<Counter, AtomicCounter>(description,
                                          [] { return std::make_unique<AtomicCounter>(); });
}

Base::Result<Family<Gauge> *> TextRegistry::gauges(const FamilyDescription &description)
{
    using Internal::AtomicGauge;
    return family<Gauge, AtomicGauge>(description, [] { return std::make_unique<AtomicGauge>(); });
}

Base::Result<Family<Histogram> *> TextRegistry::histograms(const FamilyDescription &description,
                                                           const std::vector<double> &bounds)
{
    using Internal::AtomicHistogram;
    if (!isIncreasing(bounds))
        return boost::leaf::new_error(InvalidBuckets{description.name});
    const auto &names = description.labelNames;
    // Histograms use the label "le" for the bounds of their buckets.
    if (std::find(names.begin(), names.end(), "le") != names.end())
        return boost::leaf::new_error(InvalidMetricName{"le"});
    return family<Histogram, AtomicHistogram>(
        description, [bounds] { return std::make_unique<AtomicHistogram>(bounds); });
}

void TextRegistry::addCollector(std::unique_ptr<Collector> collector)
{
    const std::lock_guard lock(m_mutex);
    m_collectors.push_back(std::move(collector));
}

std::string TextRegistry::text()
{
    const std::lock_guard lock(m_mutex);
    for (const std::unique_ptr<Collector> &collector : m_collectors)
        collector->collect();
    std::string text;
    for (const auto &[name, family] : m_families)
        family->appendTo(text);
    return text;
}

template <typename Instrument, typename Implementation, typename Factory>
Base::Result<Family<Instrument> *> TextRegistry::family(const FamilyDescription &description,
                                                        Factory factory)
{
    using RequestedFamily = Internal::AtomicFamily<Instrument, Implementation>;
    if (!Internal::isMetricName(description.name))
        return boost::leaf::new_error(InvalidMetricName{description.name});
    for (const std::string &label : description.labelNames) {
        if (!Internal::isLabelName(label))
            return boost::leaf::new_error(InvalidMetricName{label});
    }
    const std::lock_guard lock(m_mutex);
    std::unique_ptr<Internal::FamilyBase> &slot = m_families[description.name];
    if (!slot)
        slot = std::make_unique<RequestedFamily>(description, std::move(factory));
    auto *found = dynamic_cast<RequestedFamily *>(slot.get());
    if (!found || found->description().labelNames != description.labelNames)
        return boost::leaf::new_error(MetricNameTaken{description.name});
    return static_cast<Family<Instrument> *>(found);
}

} // namespace Metrics
