#include "deployedserverstandin/deployedservice.h"

#include <nlohmann/json.hpp>

#include <cstdio>
#include <cstdlib>
#include <string_view>
#include <thread>
#include <utility>

namespace StandIn {

namespace {

constexpr std::chrono::milliseconds hangupCheckInterval(20);

/// Sends the events "id: N\ndata: <path> N\n\n" with a pause before each. With a cut, the
/// connection closes in the middle of the event after \a cutAfter events.
class EventStream final : public BodyStream
{
public:
    EventStream(std::string path, std::uint64_t from, std::uint64_t events,
                std::chrono::milliseconds pause, std::optional<std::uint64_t> cutAfter)
        : m_path(std::move(path))
        , m_next(from)
        , m_events(events)
        , m_pause(pause)
        , m_cutAfter(cutAfter)
    {}

    std::optional<std::string> next() override
    {
        if (m_next > m_events)
            return std::string();
        if (m_cutAfter && m_sent == *m_cutAfter + 1)
            return std::nullopt;
        std::this_thread::sleep_for(m_pause);
        const std::string id = std::to_string(m_next);
        std::string event = "id: " + id + "\ndata: " + m_path + " " + id + "\n\n";
        // A server that crashes leaves half of an event behind.
        if (m_cutAfter && m_sent == *m_cutAfter)
            event.resize(event.size() / 2);
        ++m_next;
        ++m_sent;
        return event;
    }

private:
    std::string m_path;
    std::uint64_t m_next;
    std::uint64_t m_events;
    std::chrono::milliseconds m_pause;
    std::optional<std::uint64_t> m_cutAfter;
    std::uint64_t m_sent = 0;
};

/// Ends the process as soon as the head of the answer has been sent.
class EndingStream final : public BodyStream
{
public:
    std::optional<std::string> next() override { std::_Exit(EXIT_FAILURE); }
};

/// Whether \a parts, "HASH:TOKENS,HASH:TOKENS", has the hash \a part in front of its last entry.
bool hasPartBeforeLast(std::string_view parts, std::string_view part)
{
    for (std::size_t end = parts.find(','); end != std::string_view::npos; end = parts.find(',')) {
        const std::string_view entry = parts.substr(0, end);
        if (entry.substr(0, entry.find(':')) == part)
            return true;
        parts.remove_prefix(end + 1);
    }
    return false;
}

} // namespace

std::vector<OptionSpec> DeployedService::optionSpecs()
{
    return {
        {"id", "i-1", "instance id of the server, new at each start"},
        {"work-ms", "5", "run time of a plain call and pause before each event, in milliseconds"},
        {"events", "8", "number of events in a stream"},
        {"tells-load", "false", "tell in each answer how long work takes on the machine"},
        {"exit-on", "", "path of the requests under which the process ends at once"},
        {"exit-on-part", "",
         "hash of the prompt part, other than the last, under which the process ends once it has "
         "sent the head of the answer"},
        {"print-runs", "false", "print a line for each request that begins to run"}};
}

Base::Result<std::unique_ptr<Service>> DeployedService::create(const Options &options)
{
    return std::unique_ptr<Service>(new DeployedService(options));
}

DeployedService::DeployedService(const Options &options)
    : m_id(options.text("id"))
    , m_workTime(options.milliseconds("work-ms"))
    , m_events(static_cast<std::uint64_t>(options.number("events")))
    , m_tellsLoad(options.isSet("tells-load"))
    , m_exitPath(options.text("exit-on"))
    , m_exitPart(options.text("exit-on-part"))
    , m_isPrintingRuns(options.isSet("print-runs"))
{}

HttpResponse DeployedService::handle(const HttpRequest &request)
{
    if (request.path == "/faults")
        return m_faults.handle(request);
    if (request.path == "/journal")
        return m_journal.handle();
    if (request.header("Expect-Instance") != m_id)
        return notRun(request, 421);
    const FaultPlan fault = m_faults.take();
    HttpResponse response = answer(request, fault);
    if (fault.mode == "leaving")
        response.headers["Server-Leaving"] = "1";
    // Running, waiting, slots, and the time that work takes in percent of the usual one.
    if (m_tellsLoad)
        response.headers["Server-Load"] =
            fault.delay > fault.delay.zero() ? "1,0,8,250" : "1,0,8,100";
    return response;
}

HttpResponse DeployedService::answer(const HttpRequest &request, const FaultPlan &fault)
{
    while (fault.mode == "frozen" && isConnectionOpen(request.connection))
        std::this_thread::sleep_for(hangupCheckInterval);
    if (fault.mode == "refuse" || fault.mode == "frozen") {
        HttpResponse response = notRun(request, 503);
        if (!fault.retryAfter.empty())
            response.headers["Retry-After"] = fault.retryAfter;
        return response;
    }
    if (!m_exitPart.empty() && hasPartBeforeLast(request.header("Prefix-Hash"), m_exitPart))
        return ending(request);
    return request.header("Token-Count").empty() ? plain(request, fault) : stream(request, fault);
}

std::size_t DeployedService::begin(const HttpRequest &request)
{
    if (m_isPrintingRuns) {
        std::printf("run %s %s\n", request.header("Attempt-Id").c_str(), m_id.c_str());
        std::fflush(stdout);
    }
    if (!m_exitPath.empty() && request.path == m_exitPath)
        std::_Exit(EXIT_FAILURE);
    return m_journal.begin(request);
}

HttpResponse DeployedService::notRun(const HttpRequest &request, int status) const
{
    HttpResponse response = errorResponse(status, "not run");
    response.headers["Not-Executed"] = "1";
    response.headers["Attempt-Id"] = request.header("Attempt-Id");
    return response;
}

HttpResponse DeployedService::plain(const HttpRequest &request, const FaultPlan &fault)
{
    const std::size_t entry = begin(request);
    std::this_thread::sleep_for(m_workTime + fault.delay);
    m_journal.end(entry, "finished");
    HttpResponse response =
        jsonResponse(fault.mode == "error" ? 500 : 200, {{"server", m_id},
                                                         {"path", request.path},
                                                         {"customer", request.header("Tenant")},
                                                         {"key", request.header("Authorization")},
                                                         {"body", request.body}});
    sign(request, response);
    if (fault.mode == "crossed")
        response.headers["Attempt-Id"] = "of-another-request";
    if (fault.mode == "unsigned")
        response.headers.erase("Server-Stamp");
    response.isCut = fault.mode == "cut";
    return response;
}

HttpResponse DeployedService::stream(const HttpRequest &request, const FaultPlan &fault)
{
    m_journal.end(begin(request), "finished");
    std::optional<std::uint64_t> cutAfter;
    if (fault.mode == "cut")
        cutAfter = fault.afterEvents;
    HttpResponse response;
    response.headers["Content-Type"] = "text/event-stream";
    response.stream =
        std::make_unique<EventStream>(request.path, request.headerNumber("Last-Event-Id") + 1,
                                      m_events, m_workTime + fault.delay, cutAfter);
    sign(request, response);
    return response;
}

HttpResponse DeployedService::ending(const HttpRequest &request)
{
    begin(request);
    std::this_thread::sleep_for(m_workTime);
    HttpResponse response;
    response.headers["Content-Type"] = "text/event-stream";
    response.stream = std::make_unique<EndingStream>();
    sign(request, response);
    return response;
}

void DeployedService::sign(const HttpRequest &request, HttpResponse &response) const
{
    response.headers["Attempt-Id"] = request.header("Attempt-Id");
    response.headers["Server-Stamp"] = "stamp-of-" + m_id;
}

} // namespace StandIn
