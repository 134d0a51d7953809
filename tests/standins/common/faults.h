#pragma once

#include "common/httpserver.h"

#include <chrono>
#include <cstdint>
#include <mutex>
#include <string>

namespace StandIn {

/// What goes wrong with the next calls, as POST /faults set it:
/// {"mode":"...","delayMs":N,"afterEvents":N,"count":N}.
struct FaultPlan
{
    std::string mode = "none";
    std::chrono::milliseconds delay{0};
    /// With the mode "cut": events that still go out.
    std::uint64_t afterEvents = 0;
    /// Calls that meet the fault; 0 is all of them until the next POST.
    std::uint64_t count = 0;
};

/// Holds the plan; safe to use from many threads.
class Faults
{
public:
    /// Answers POST and GET /faults.
    HttpResponse handle(const HttpRequest &request);
    /// The plan for one call, which is taken off its count; "none" once the count is used up.
    FaultPlan take();
    /// The plan as it stands, nothing taken off.
    FaultPlan peek() const;

private:
    mutable std::mutex m_mutex;
    FaultPlan m_plan;
    std::uint64_t m_used = 0;
};

} // namespace StandIn
