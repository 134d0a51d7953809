#include "common/faults.h"

#include "common/program.h"

#include <nlohmann/json.hpp>

namespace StandIn {

namespace {

using Json = nlohmann::json;

Json toJson(const FaultPlan &plan, std::uint64_t met)
{
    return {
        {"mode", plan.mode},   {"delayMs", plan.delay.count()}, {"afterEvents", plan.afterEvents},
        {"count", plan.count}, {"retryAfter", plan.retryAfter}, {"met", met}};
}

} // namespace

HttpResponse Faults::handle(const HttpRequest &request)
{
    if (request.method == "GET") {
        const std::lock_guard lock(m_mutex);
        return jsonResponse(200, toJson(m_plan, m_used));
    }
    const Json json = Json::parse(request.body, nullptr, false);
    if (!json.is_object())
        return errorResponse(400, "no JSON object");
    FaultPlan plan;
    plan.mode = textOf(json, "mode");
    plan.delay = std::chrono::milliseconds(numberOf(json, "delayMs"));
    plan.afterEvents = numberOf(json, "afterEvents");
    plan.count = numberOf(json, "count");
    plan.retryAfter = textOf(json, "retryAfter");
    const std::lock_guard lock(m_mutex);
    m_plan = plan;
    m_used = 0;
    return jsonResponse(200, toJson(plan, 0));
}

FaultPlan Faults::take()
{
    const std::lock_guard lock(m_mutex);
    if (m_plan.mode == "none")
        return m_plan;
    ++m_used;
    if (m_plan.count == 0 || m_used <= m_plan.count)
        return m_plan;
    m_plan = FaultPlan();
    return m_plan;
}

FaultPlan Faults::peek() const
{
    const std::lock_guard lock(m_mutex);
    return m_plan;
}

} // namespace StandIn
