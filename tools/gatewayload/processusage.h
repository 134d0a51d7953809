#pragma once

#include <chrono>
#include <string>

/// What another process of this machine has used so far.
struct ProcessUsage
{
    /// In user and kernel mode, in steps of the kernel's clock tick (10 ms).
    std::chrono::milliseconds processor{0};
    /// Largest resident size so far, in kilobytes.
    long peakKilobytes = 0;
};

/// All zeros if there is no such process.
ProcessUsage usageOf(const std::string &pid);
