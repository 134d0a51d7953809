#include "platformstandin/hostboard.h"

#include "common/program.h"

#include <utility>

namespace StandIn {

using Json = nlohmann::json;

void HostBoard::set(const Json &hosts)
{
    const std::lock_guard lock(m_mutex);
    publish(hosts);
}

void HostBoard::setLag(std::chrono::milliseconds lag)
{
    const std::lock_guard lock(m_mutex);
    m_lag = lag;
}

bool HostBoard::setState(const std::string &name, const std::string &state)
{
    const std::lock_guard lock(m_mutex);
    if (m_snapshots.empty())
        return false;
    Json hosts = m_snapshots.back().hosts;
    bool isFound = false;
    for (Json &host : hosts) {
        if (textOf(host, "name") != name)
            continue;
        host["state"] = state;
        isFound = true;
    }
    if (isFound)
        publish(std::move(hosts));
    return isFound;
}

Json HostBoard::listing() const
{
    const std::lock_guard lock(m_mutex);
    const Clock::time_point visibleUntil = Clock::now() - m_lag;
    Snapshot visible;
    for (const Snapshot &it : m_snapshots) {
        if (it.at <= visibleUntil)
            visible = it;
    }
    return {{"version", visible.version}, {"hosts", visible.hosts}};
}

void HostBoard::publish(Json hosts)
{
    const std::uint64_t version = m_snapshots.empty() ? 1 : m_snapshots.back().version + 1;
    // The first list is visible without a lag, so that a fleet can start.
    const Clock::time_point at = m_snapshots.empty() ? Clock::time_point::min() : Clock::now();
    m_snapshots.push_back({at, version, std::move(hosts)});
}

} // namespace StandIn
