#pragma once

#include "base/result.h"
#include "metrics/registry.h"

#include <memory>

namespace Metrics {

/// Exports the memory, processor time and open files of this process, under the names that the
/// Prometheus client libraries use. The values come from getrusage(2) and /proc/self.
class ProcessCollector final : public Collector
{
public:
    /// Registers the metrics in \a registry. Fails with the errors of Registry.
    static Base::Result<std::unique_ptr<ProcessCollector>> create(Registry &registry);

    void collect() override;

private:
    ProcessCollector(Counter &cpuSeconds, Gauge &residentBytes, Gauge &openFiles);

    Counter *m_cpuSeconds;
    Gauge *m_residentBytes;
    Gauge *m_openFiles;
};

} // namespace Metrics
