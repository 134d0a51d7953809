#include "routing/rolloutorders.h"

#include <algorithm>

namespace Routing {

std::vector<RolloutOrder> RolloutOrders::orders() const
{
    std::vector<RolloutOrder> orders;
    for (const auto &[service, order] : m_orders)
        orders.push_back(order);
    return orders;
}

bool RolloutOrders::replace(const std::vector<RolloutOrder> &orders, std::uint64_t version)
{
    if (version <= m_version)
        return false;
    m_version = version;
    std::map<std::string, RolloutOrder> next;
    for (const RolloutOrder &it : orders)
        next[it.service] = it;
    return std::exchange(m_orders, next) != next;
}

bool RolloutOrders::apply(const std::vector<RolloutOrderChange> &changes, std::uint64_t version)
{
    std::map<std::string, RolloutOrder> next = m_orders;
    for (const RolloutOrderChange &it : changes) {
        if (it.order)
            next[it.service] = *it.order;
        else
            next.erase(it.service);
    }
    std::vector<RolloutOrder> orders;
    for (const auto &[service, order] : next)
        orders.push_back(order);
    return replace(orders, version);
}

void NewVersions::serversListed(const ServerVersions &servers, std::uint64_t storeVersion)
{
    for (const auto &it : servers) {
        const std::string &service = it.first;
        const std::map<std::string, std::size_t> &versions = it.second;
        std::set<std::string> &seen = m_seen[service];
        const auto most =
            std::ranges::max_element(versions, {}, [](const auto &it) { return it.second; });
        for (const auto &[version, n] : versions) {
            if (!seen.insert(version).second || version == most->first
                || storeVersion <= m_ordersVersion)
                continue;
            m_held[{service, version}] = storeVersion;
        }
        // A version that is gone may come again with a roll-out.
        std::erase_if(seen, [&](const std::string &known) { return !versions.contains(known); });
    }
    std::erase_if(m_held, [&](const auto &it) {
        const auto versions = servers.find(it.first.first);
        return versions == servers.end() || !versions->second.contains(it.first.second);
    });
}

void NewVersions::ordersKnown(std::uint64_t storeVersion)
{
    m_ordersVersion = std::max(m_ordersVersion, storeVersion);
    std::erase_if(m_held, [&](const auto &it) { return it.second <= m_ordersVersion; });
}

std::set<std::string> NewVersions::held(const std::string &service) const
{
    std::set<std::string> versions;
    for (const auto &[key, storeVersion] : m_held) {
        if (key.first == service)
            versions.insert(key.second);
    }
    return versions;
}

} // namespace Routing
