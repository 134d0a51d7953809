#include "metrics/processcollector.h"

#include <sys/resource.h>
#include <unistd.h>

#include <cstdint>
#include <filesystem>
#include <fstream>
#include <system_error>

namespace Metrics {

namespace {

double seconds(const timeval &time)
{
    constexpr double microsecond = 1e-6;
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) * microsecond;
}

/// Returns the resident memory, which is the second number in /proc/self/statm, in pages.
double residentBytes()
{
    std::ifstream in("/proc/self/statm");
    std::uint64_t total = 0;
    std::uint64_t resident = 0;
    in >> total >> resident;
    return static_cast<double>(resident) * static_cast<double>(sysconf(_SC_PAGESIZE));
}

double openFiles()
{
    std::error_code ec;
    const std::filesystem::directory_iterator files("/proc/self/fd", ec);
    if (ec)
        return 0;
    return static_cast<double>(std::distance(begin(files), end(files)));
}

} // namespace

Base::Result<std::unique_ptr<ProcessCollector>> ProcessCollector::create(Registry &registry)
{
    BOOST_LEAF_AUTO(cpu, registry.counters({"process_cpu_seconds_total",
                                            "Processor time used, user and system, in seconds",
                                            {}}));
    BOOST_LEAF_AUTO(
        memory, registry.gauges({"process_resident_memory_bytes", "Resident memory in bytes", {}}));
    BOOST_LEAF_AUTO(files, registry.gauges({"process_open_fds", "Open file numbers", {}}));
    return std::unique_ptr<ProcessCollector>(
        new ProcessCollector(cpu->with({}), memory->with({}), files->with({})));
}

ProcessCollector::ProcessCollector(Counter &cpuSeconds, Gauge &residentBytes, Gauge &openFiles)
    : m_cpuSeconds(&cpuSeconds)
    , m_residentBytes(&residentBytes)
    , m_openFiles(&openFiles)
{}

void ProcessCollector::collect()
{
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    const double cpu = seconds(usage.ru_utime) + seconds(usage.ru_stime);
    m_cpuSeconds->increment(cpu - m_cpuSeconds->value());
    m_residentBytes->set(residentBytes());
    m_openFiles->set(openFiles());
}

} // namespace Metrics
