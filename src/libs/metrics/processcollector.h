#pragma once

#include "base/result.h"
#include "metrics/registry.h"

#include <memory>

namespace Metrics {

/// Memory, processor time and open files of this process, under the names that Prometheus's
/// own clients use. Source: getrusage(2) and /proc/self.
class ProcessCollector final : public Collector
{
public:
    /// Registers its metrics; fails as Registry does.
    static Base::Result<std::unique_ptr<ProcessCollector>> create(Registry &registry);

    void collect() override;

private:
    ProcessCollector(Counter &cpuSeconds, Gauge &residentBytes, Gauge &openFiles);

    Counter *m_cpuSeconds;
    Gauge *m_residentBytes;
    Gauge *m_openFiles;
};

} // namespace Metrics
