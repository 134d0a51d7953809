#pragma once

#include <atomic>
#include <cstdint>
#include <string>

/// What callers got together.
struct LoadCounts
{
    std::atomic<std::uint64_t> requests = 0;
    std::atomic<std::uint64_t> events = 0;
    std::atomic<std::uint64_t> failures = 0;
    std::atomic<std::uint64_t> openStreams = 0;
};

struct LoadPlan
{
    std::string ip;
    std::uint16_t port = 0;
    std::string path;
    bool isStream = false;
};

/// Sends one request after the other on a kept connection until \a isStopped.
void runCaller(const LoadPlan &plan, std::uint64_t caller, const std::atomic<bool> &isStopped,
               LoadCounts &counts);
