#include "common/journal.h"

#include "common/program.h"

#include <nlohmann/json.hpp>

namespace StandIn {

std::size_t Journal::begin(const HttpRequest &request)
{
    Entry entry;
    entry.path = request.path;
    entry.requestId = request.header("X-Request-Id");
    entry.idempotencyKey = request.header("Idempotency-Key");
    entry.fence = request.headerNumber("X-Fence");
    entry.traceparent = request.header("traceparent");
    const std::lock_guard lock(m_mutex);
    m_entries.push_back(entry);
    return m_entries.size() - 1;
}

void Journal::end(std::size_t entry, const std::string &state)
{
    const std::lock_guard lock(m_mutex);
    m_entries.at(entry).state = state;
}

HttpResponse Journal::handle() const
{
    nlohmann::json requests = nlohmann::json::array();
    const std::lock_guard lock(m_mutex);
    for (const Entry &entry : m_entries)
        requests.push_back({{"path", entry.path},
                            {"requestId", entry.requestId},
                            {"idempotencyKey", entry.idempotencyKey},
                            {"fence", entry.fence},
                            {"traceparent", entry.traceparent},
                            {"state", entry.state}});
    return jsonResponse(200, {{"requests", requests}});
}

bool FencingTokens::accept(const std::string &key, std::uint64_t fence)
{
    const std::lock_guard lock(m_mutex);
    std::uint64_t &largest = m_largest[key];
    if (fence < largest)
        return false;
    largest = fence;
    return true;
}

} // namespace StandIn
