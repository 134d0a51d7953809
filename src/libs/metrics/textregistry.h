#pragma once

#include "metrics/atomicfamily.h"
#include "metrics/registry.h"

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace Metrics {

/// A registry that stores metrics in atomic variables and writes the text exposition format.
class TextRegistry final : public Registry
{
public:
    Base::Result<Family<Counter> *> counters(const FamilyDescription &description) override;
    Base::Result<Family<Gauge> *> gauges(const FamilyDescription &description) override;
    Base::Result<Family<Histogram> *> histograms(const FamilyDescription &description,
                                                 const std::vector<double> &bounds) override;
    void addCollector(std::unique_ptr<Collector> collector) override;
    std::string text() override;

private:
    template <typename Instrument, typename Implementation, typename Factory>
    Base::Result<Family<Instrument> *> family(const FamilyDescription &description,
                                              Factory factory);

    /// Guards the members below.
    std::mutex m_mutex;
    std::map<std::string, std::unique_ptr<Internal::FamilyBase>> m_families;
    std::vector<std::unique_ptr<Collector>> m_collectors;
};

} // namespace Metrics
