#include "platformstandin/platformservice.h"

#include "platformstandin/seed.h"

#include <charconv>
#include <thread>

namespace StandIn {

namespace {

using Json = nlohmann::json;

constexpr std::size_t maxScanRows = 1000;

bool startsWith(const std::string &path, const std::string &prefix)
{
    return path.rfind(prefix, 0) == 0;
}

bool isWrite(const HttpRequest &request)
{
    return request.method != "GET";
}

HttpResponse rowsResponse(const std::vector<Storage::TableRow> &rows)
{
    Json list = Json::array();
    for (const Storage::TableRow &row : rows)
        list.push_back({{"key", row.key}, {"value", row.value}, {"version", row.version}});
    return jsonResponse(200, {{"rows", list}});
}

std::optional<Storage::TableWrite> writeOf(const Json &json)
{
    if (!json.is_object() || textOf(json, "key").empty() || !json.contains("value"))
        return std::nullopt;
    Storage::TableWrite write;
    write.key = textOf(json, "key");
    if (json["value"].is_string())
        write.value = json["value"].get<std::string>();
    else if (!json["value"].is_null())
        return std::nullopt;
    if (json.contains("expected") && !json["expected"].is_null())
        write.expected = numberOf(json, "expected");
    return write;
}

} // namespace

std::vector<OptionSpec> PlatformService::optionSpecs()
{
    return {{"seed", "", "JSON file with the initial configuration and host list"},
            {"host-lag-ms", "0", "age of the host list that readers see, in milliseconds"},
            {"weights-per-second", "1", "fetches of model weights allowed per second"}};
}

Base::Result<std::unique_ptr<Service>> PlatformService::create(const Options &options)
{
    std::unique_ptr<PlatformService> service(new PlatformService(options));
    if (!options.text("seed").empty()) {
        Base::Result<void> seeded =
            readSeed(options.text("seed"), service->m_table, service->m_hosts);
        if (!seeded)
            return seeded.error();
    }
    return std::unique_ptr<Service>(std::move(service));
}

PlatformService::PlatformService(const Options &options)
    : m_hosts(options.milliseconds("host-lag-ms"))
    , m_weights(options.decimal("weights-per-second"))
{}

HttpResponse PlatformService::handle(const HttpRequest &request)
{
    if (request.path == "/faults")
        return m_faults.handle(request);
    if (request.path == "/counts")
        return counts();
    if (request.path == "/hosts" || startsWith(request.path, "/hosts/"))
        return hosts(request);
    if (request.path == "/table/transact")
        return withFaults(request, &PlatformService::transact);
    if (startsWith(request.path, "/table/"))
        return withFaults(request, &PlatformService::table);
    if (startsWith(request.path, "/objects/"))
        return withFaults(request, &PlatformService::object);
    if (startsWith(request.path, "/weights/"))
        return withFaults(request, &PlatformService::weights);
    return errorResponse(404, "no such call");
}

HttpResponse PlatformService::withFaults(const HttpRequest &request,
                                         HttpResponse (PlatformService::*call)(const HttpRequest &))
{
    {
        const std::lock_guard lock(m_mutex);
        ++(isWrite(request) ? m_writes : m_reads);
    }
    const FaultPlan fault = m_faults.take();
    if (fault.mode == "down")
        return errorResponse(503, "down");
    if (fault.mode == "slow")
        std::this_thread::sleep_for(fault.delay);
    HttpResponse response = (this->*call)(request);
    if (fault.mode == "loseAnswers") {
        std::this_thread::sleep_for(fault.delay);
        response.isCut = true;
    }
    return response;
}

HttpResponse PlatformService::table(const HttpRequest &request)
{
    if (request.path == "/table/row") {
        const std::optional<Storage::TableRow> row = m_table.row(request.query("key"));
        return rowsResponse(row ? std::vector{*row} : std::vector<Storage::TableRow>());
    }
    if (request.path != "/table/rows")
        return errorResponse(404, "no such call");
    const std::string text = request.query("limit");
    std::size_t limit = maxScanRows;
    std::from_chars(text.data(), text.data() + text.size(), limit);
    return rowsResponse(m_table.rows(request.query("prefix"), request.query("after"),
                                     std::min(limit, maxScanRows)));
}

HttpResponse PlatformService::transact(const HttpRequest &request)
{
    const Json json = Json::parse(request.body, nullptr, false);
    if (!json.is_object() || !json.contains("writes") || !json["writes"].is_array())
        return errorResponse(400, "no writes");
    std::vector<Storage::TableWrite> writes;
    for (const Json &item : json["writes"]) {
        const std::optional<Storage::TableWrite> write = writeOf(item);
        if (!write)
            return errorResponse(400, "malformed write");
        writes.push_back(*write);
    }
    const auto written = m_table.transact(writes);
    if (!written)
        return errorResponse(409, "version does not match");
    return rowsResponse(*written);
}

HttpResponse PlatformService::object(const HttpRequest &request)
{
    const std::lock_guard lock(m_mutex);
    HttpResponse response;
    if (request.method == "PUT") {
        m_objects[request.path] = request.body;
        response.status = 204;
        return response;
    }
    const auto it = m_objects.find(request.path);
    if (it == m_objects.end())
        return errorResponse(404, "no such object");
    response.body = it->second;
    response.headers["Content-Type"] = "application/octet-stream";
    return response;
}

HttpResponse PlatformService::hosts(const HttpRequest &request)
{
    if (request.method == "GET") {
        const std::lock_guard lock(m_mutex);
        ++m_hostReads;
        return jsonResponse(200, m_hosts.listing());
    }
    const Json json = Json::parse(request.body, nullptr, false);
    if (!json.is_object())
        return errorResponse(400, "no JSON object");
    if (request.method == "POST") {
        if (json.contains("lagMs"))
            m_hosts.setLag(std::chrono::milliseconds(numberOf(json, "lagMs")));
        if (json.contains("hosts") && json["hosts"].is_array())
            m_hosts.set(json["hosts"]);
        return jsonResponse(200, m_hosts.listing());
    }
    const std::string prefix = "/hosts/";
    const std::string suffix = "/state";
    const std::string &path = request.path;
    const bool isState = path.size() > prefix.size() + suffix.size()
                         && path.compare(path.size() - suffix.size(), suffix.size(), suffix) == 0;
    if (request.method != "PUT" || !isState)
        return errorResponse(404, "no such call");
    const std::string name =
        path.substr(prefix.size(), path.size() - prefix.size() - suffix.size());
    if (!m_hosts.setState(name, textOf(json, "state")))
        return errorResponse(404, "no such host");
    return jsonResponse(200, m_hosts.listing());
}

HttpResponse PlatformService::weights(const HttpRequest &)
{
    const std::optional<std::chrono::milliseconds> wait = m_weights.fetch();
    if (!wait)
        return jsonResponse(200, Json::object());
    HttpResponse response = errorResponse(429, "too many fetches");
    response.headers["Retry-After"] =
        std::to_string(std::chrono::ceil<std::chrono::seconds>(*wait).count());
    return response;
}

HttpResponse PlatformService::counts() const
{
    const std::lock_guard lock(m_mutex);
    return jsonResponse(200,
                        {{"reads", m_reads}, {"writes", m_writes}, {"hostReads", m_hostReads}});
}

} // namespace StandIn
