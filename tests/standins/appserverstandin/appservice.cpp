#include "appserverstandin/appservice.h"

#include <nlohmann/json.hpp>

#include <thread>

namespace StandIn {

namespace {

constexpr std::chrono::milliseconds hangupCheckInterval(20);

} // namespace

std::vector<OptionSpec> AppService::optionSpecs()
{
    return {{"name", "app", "server name in the answers"},
            {"check-fences", "false", "refuse calls with an old fencing token"},
            {"work-ms", "5", "run time of a call, in milliseconds"},
            {"slots", "16", "number of slots in the load report"}};
}

Base::Result<std::unique_ptr<Service>> AppService::create(const Options &options)
{
    return std::unique_ptr<Service>(new AppService(options));
}

AppService::AppService(const Options &options)
    : m_name(options.text("name"))
    , m_isCheckingFences(options.isSet("check-fences"))
    , m_workTime(options.milliseconds("work-ms"))
    , m_slots(static_cast<std::uint64_t>(options.number("slots")))
{}

HttpResponse AppService::handle(const HttpRequest &request)
{
    if (request.path == "/faults")
        return m_faults.handle(request);
    if (request.path == "/journal")
        return m_journal.handle();
    if (request.path == "/load")
        return load();
    if (request.method != "POST")
        return errorResponse(405, "only POST");
    return call(request);
}

HttpResponse AppService::call(const HttpRequest &request)
{
    const FaultPlan fault = m_faults.take();
    while (fault.mode == "frozen" && isConnectionOpen(request.connection))
        std::this_thread::sleep_for(hangupCheckInterval);
    const std::string key = request.header("Idempotency-Key");
    const bool isFenced = !key.empty() && m_isCheckingFences;
    const bool isOldFence = isFenced && !m_fences.accept(key, request.headerNumber("X-Fence"));
    if (fault.mode == "refuse" || fault.mode == "frozen" || isOldFence) {
        HttpResponse refused = errorResponse(isOldFence ? 409 : 503, "not run");
        refused.headers["X-Not-Run"] = "yes";
        return refused;
    }
    const std::size_t entry = m_journal.begin(request);
    ++m_running;
    std::this_thread::sleep_for(m_workTime + fault.delay);
    --m_running;
    m_journal.end(entry, "finished");
    const nlohmann::json body = nlohmann::json::parse(request.body, nullptr, false);
    HttpResponse response =
        jsonResponse(200, {{"server", m_name},
                           {"path", request.path},
                           {"echo", body.is_discarded() ? nlohmann::json(request.body) : body}});
    response.isCut = fault.mode == "cut";
    return response;
}

HttpResponse AppService::load() const
{
    const std::uint64_t running = m_running;
    const std::uint64_t queued = running > m_slots ? running - m_slots : 0;
    return jsonResponse(200, {{"running", running}, {"queued", queued}, {"slots", m_slots}});
}

} // namespace StandIn
