#include "rowstorestandin/rowstoreservice.h"

#include <gnutls/gnutls.h>
#include <nlohmann/json.hpp>

#include <thread>

namespace StandIn {

namespace {

using Json = nlohmann::json;

constexpr std::chrono::milliseconds hangupCheckInterval(20);

std::string base64(const std::string &text)
{
    std::string copy = text;
    const gnutls_datum_t in{reinterpret_cast<unsigned char *>(copy.data()),
                            static_cast<unsigned>(copy.size())};
    gnutls_datum_t out{};
    if (copy.empty() || gnutls_base64_encode2(&in, &out) < 0)
        return {};
    std::string encoded(reinterpret_cast<const char *>(out.data), out.size);
    gnutls_free(out.data);
    return encoded;
}

std::int64_t steadyMilliseconds()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

RowName nameOf(const Json &json)
{
    return {textOf(json, "table"), textOf(json, "part"), textOf(json, "key")};
}

HttpResponse rowsResponse(const std::vector<StoredRow> &rows, std::uint64_t version)
{
    Json list = Json::array();
    for (const StoredRow &row : rows) {
        Json json{{"table", row.table}, {"part", row.part}, {"key", row.key}, {"ver", row.version}};
        if (row.isRemoved)
            json["removed"] = true;
        else
            json["value"] = row.value;
        list.push_back(json);
    }
    return jsonResponse(
        200,
        {{"rows", list}, {"hasMore", false}, {"ver", version}, {"nowMs", steadyMilliseconds()}});
}

} // namespace

std::vector<OptionSpec> RowStoreService::optionSpecs()
{
    return {};
}

Base::Result<std::unique_ptr<Service>> RowStoreService::create(const Options &)
{
    return std::unique_ptr<Service>(new RowStoreService());
}

HttpResponse RowStoreService::handle(const HttpRequest &request)
{
    if (request.path == "/faults")
        return m_faults.handle(request);
    if (request.path == "/counts")
        return jsonResponse(200, {{"calls", m_calls.load()}});
    if (request.path == "/put")
        return put(request);
    ++m_calls;
    const FaultPlan fault = m_faults.take();
    if (std::optional<HttpResponse> answer = faultResponse(request, fault))
        return std::move(*answer);
    HttpResponse response = errorResponse(404, "no such call");
    if (request.path == "/-/rows-get")
        response = rows(request);
    else if (request.path == "/-/rows-feed")
        response = feed(request);
    else if (request.path == "/-/rows-tx")
        response = transact(request);
    response.isCut = fault.mode == "loseAnswers";
    return response;
}

std::optional<HttpResponse> RowStoreService::faultResponse(const HttpRequest &request,
                                                           const FaultPlan &fault) const
{
    if (fault.mode == "down")
        return errorResponse(503, "down");
    if (fault.mode == "busy")
        return errorResponse(429, "too many calls");
    if (fault.mode == "historyGone" && request.path == "/-/rows-feed")
        return errorResponse(410, "history is gone");
    if (fault.mode == "slow")
        std::this_thread::sleep_for(fault.delay);
    if (fault.mode != "silent")
        return std::nullopt;
    while (isConnectionOpen(request.connection) && m_faults.peek().mode == "silent")
        std::this_thread::sleep_for(hangupCheckInterval);
    HttpResponse cut;
    cut.isCut = true;
    return cut;
}

HttpResponse RowStoreService::rows(const HttpRequest &request) const
{
    return rowsResponse(
        m_store.rows(request.query("table"), request.query("part"), request.query("from")),
        m_store.version());
}

HttpResponse RowStoreService::feed(const HttpRequest &request) const
{
    const auto number = [&](const char *name) {
        return std::strtoull(request.query(name).c_str(), nullptr, 10);
    };
    const auto rows = m_store.changes(request.query("table"), number("after"),
                                      std::chrono::milliseconds(number("waitMs")));
    return rowsResponse(rows, m_store.version());
}

HttpResponse RowStoreService::transact(const HttpRequest &request)
{
    const Json json = Json::parse(request.body, nullptr, false);
    if (!json.is_object())
        return errorResponse(400, "no JSON object");
    std::vector<ExpectedRow> expected;
    for (const Json &it : json.value("expectedRevision", Json::array()))
        expected.push_back({nameOf(it), numberOf(it, "ver")});
    std::vector<RowChange> changes;
    for (const Json &it : json.value("puts", Json::array()))
        changes.push_back({nameOf(it), textOf(it, "value")});
    for (const Json &it : json.value("remove", Json::array()))
        changes.push_back({nameOf(it), std::nullopt});
    const bool isApplied = m_store.apply(expected, changes);
    return jsonResponse(isApplied ? 200 : 412,
                        {{"ver", m_store.version()}, {"nowMs", steadyMilliseconds()}});
}

HttpResponse RowStoreService::put(const HttpRequest &request)
{
    const Json json = Json::parse(request.body, nullptr, false);
    if (!json.is_object() || !json.contains("value"))
        return errorResponse(400, "no value");
    RowChange change{nameOf(json), std::nullopt};
    if (!json["value"].is_null())
        change.value = base64(json["value"].dump());
    m_store.apply({}, {change});
    return jsonResponse(200, {{"ver", m_store.version()}});
}

} // namespace StandIn
