#pragma once

#include "common/httpserver.h"

#include <chrono>
#include <cstdint>
#include <mutex>
#include <string>

namespace StandIn {

/// The fault that the next calls meet. POST /faults sets it:
/// {"mode":"...","delayMs":N,"afterEvents":N,"count":N,"retryAfter":"..."}. GET /faults returns it
/// with the number of calls that have met it so far, "met".
struct FaultPlan
{
    /// Kind of the fault; README.md lists the modes of each stand-in. "none" is no fault.
    std::string mode = "none";
    std::chrono::milliseconds delay{0};
    /// With the mode "cut": number of events that are still sent.
    std::uint64_t afterEvents = 0;
    /// Number of calls that meet the fault; 0 means every call until the next POST.
    std::uint64_t count = 0;
    /// With the mode "refuse": the value of Retry-After in the answers; empty for none.
    std::string retryAfter;
};

/// Holds the fault plan of a stand-in. Thread-safe.
class Faults
{
public:
    /// Answers POST /faults, which replaces the plan, and GET /faults, which returns it.
    HttpResponse handle(const HttpRequest &request);
    /// Returns the plan for one call and counts the call; the mode is "none" once the count is
    /// used up.
    FaultPlan take(); /// Returns the plan without counting a call.
    FaultPlan peek() const;

private:
    mutable std::mutex m_mutex;
    FaultPlan m_plan;
    std::uint64_t m_used = 0;
};

} // namespace StandIn
