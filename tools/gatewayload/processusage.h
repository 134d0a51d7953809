#pragma once

#include <chrono>
#include <string>

/// Resources that another process of this host has used so far.
struct ProcessUsage
{
    /// Processor time in user and kernel mode, in steps of the kernel's clock tick (10 ms).
    std::chrono::milliseconds processor{0};
    /// Largest resident set size so far, in kilobytes.
    long peakKilobytes = 0;
};

/// Returns the usage of the process with the id \a pid, or zeros if there is no such process.
ProcessUsage usageOf(const std::string &pid);
