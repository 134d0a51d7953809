#include "platformstandin/hostboard.h"

#include "common/program.h"

#include <utility>

namespace StandIn {

using Json = nlohmann::json;

void HostBoard::set(const Json &hosts)
{
    const std::lock_guard lock(m_mutex);
    post(hosts);
}

void HostBoard::setLag(std::chrono::milliseconds lag)
{
    const std::lock_guard lock(m_mutex);
    m_lag = lag;
}

bool HostBoard::setState(const std::string &name, const std::string &state)
{
    const std::lock_guard lock(m_mutex);
    if (m_posted.empty())
        return false;
    Json hosts = m_posted.back().hosts;
    bool isFound = false;
    for (Json &host : hosts) {
        if (textOf(host, "name") != name)
            continue;
        host["state"] = state;
        isFound = true;
    }
    if (isFound)
        post(std::move(hosts));
    return isFound;
}

Json HostBoard::listing() const
{
    const std::lock_guard lock(m_mutex);
    const Clock::time_point seenUntil = Clock::now() - m_lag;
    Posted shown;
    for (const Posted &it : m_posted) {
        if (it.at <= seenUntil)
            shown = it;
    }
    return {{"version", shown.version}, {"hosts", shown.hosts}};
}

void HostBoard::post(Json hosts)
{
    const std::uint64_t version = m_posted.empty() ? 1 : m_posted.back().version + 1;
    // The first list is seen at once, so that a fleet can start.
    const Clock::time_point at = m_posted.empty() ? Clock::time_point::min() : Clock::now();
    m_posted.push_back({at, version, std::move(hosts)});
}

} // namespace StandIn
