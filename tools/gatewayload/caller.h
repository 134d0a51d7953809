#pragma once

#include <atomic>
#include <cstdint>
#include <string>

/// What all callers together received.
struct LoadCounts
{
    /// Requests that got a complete answer with status 200.
    std::atomic<std::uint64_t> requests = 0;
    /// Events in the streams of all answers.
    std::atomic<std::uint64_t> events = 0;
    /// Requests that ended in any other way.
    std::atomic<std::uint64_t> failures = 0;
    /// Streams whose answers have begun and not ended.
    std::atomic<std::uint64_t> openStreams = 0;
};

/// The gateway to call and the request to send.
struct LoadPlan
{
    std::string ip;
    std::uint16_t port = 0;
    std::string path;
    bool isStream = false;
};

/// Sends one request after the other on a persistent connection until \a isStopped. \a caller makes
/// the ids of the requests unique. Reconnects after a failure.
void runCaller(const LoadPlan &plan, std::uint64_t caller, const std::atomic<bool> &isStopped,
               LoadCounts &counts);
