#include "routing/routetable.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace Routing {

namespace {

std::string hostName(std::string_view host)
{
    std::string name(host.substr(0, host.find(':')));
    for (char &it : name)
        it = static_cast<char>(std::tolower(static_cast<unsigned char>(it)));
    return name;
}

} // namespace

std::shared_ptr<const RouteTable> RouteTable::create(RoutingConfiguration configuration)
{
    return std::shared_ptr<const RouteTable>(new RouteTable(std::move(configuration)));
}

RouteTable::RouteTable(RoutingConfiguration configuration)
    : m_configuration(std::move(configuration))
{
    for (const Route &route : m_configuration.routes)
        m_byHost[hostName(route.host)].push_back(&route);
    for (auto &[host, routes] : m_byHost) {
        std::stable_sort(routes.begin(), routes.end(), [](const Route *a, const Route *b) {
            return a->prefix.size() > b->prefix.size();
        });
    }
    for (const Service &service : m_configuration.services)
        m_services.emplace(service.name, &service);
    for (const RoutedCustomer &customer : m_configuration.customers) {
        for (const std::string &key : customer.keys)
            m_byKey.emplace(key, &customer);
        if (!customer.allowedRegions.empty())
            m_customerResidencies.emplace(customer.id, Residency::of(customer.allowedRegions));
    }
}

const Route *RouteTable::find(std::string_view host, std::string_view target) const
{
    const auto routes = m_byHost.find(hostName(host));
    if (routes == m_byHost.end())
        return nullptr;
    const std::string_view path = target.substr(0, target.find('?'));
    for (const Route *route : routes->second) {
        if (path.starts_with(route->prefix))
            return route;
    }
    return nullptr;
}

const Service *RouteTable::service(const std::string &name) const
{
    const auto it = m_services.find(name);
    return it == m_services.end() ? nullptr : it->second;
}

const RoutedCustomer *RouteTable::customerByKey(const std::string &key) const
{
    const auto it = m_byKey.find(key);
    return it == m_byKey.end() ? nullptr : it->second;
}

const std::string &RouteTable::chooseService(const Route &route, std::uint64_t draw)
{
    static const std::string none;
    std::uint64_t sum = 0;
    for (const WeightedService &it : route.services)
        sum += it.weight;
    if (sum == 0)
        return route.services.empty() ? none : route.services.front().service;
    std::uint64_t left = draw % sum;
    for (const WeightedService &it : route.services) {
        if (left < it.weight)
            return it.service;
        left -= it.weight;
    }
    return route.services.back().service;
}

Residency RouteTable::residency(const Route &route, const Base::CustomerId &customer) const
{
    const Residency ofRoute = Residency::of(route.allowedRegions);
    const auto ofCustomer = m_customerResidencies.find(customer);
    return ofCustomer == m_customerResidencies.end() ? ofRoute
                                                     : ofRoute.intersected(ofCustomer->second);
}

Residency RouteTable::residency(std::string_view host) const
{
    Residency residency;
    const auto routes = m_byHost.find(hostName(host));
    if (routes == m_byHost.end())
        return residency;
    for (const Route *route : routes->second)
        residency = residency.intersected(Residency::of(route->allowedRegions));
    return residency;
}

Base::Milliseconds RouteTable::longestStream() const
{
    Base::Milliseconds longest{0};
    for (const Route &it : m_configuration.routes)
        longest = it.isStream() ? std::max(longest, it.timeout) : longest;
    return longest;
}

std::uint32_t RouteTable::maxConnections() const
{
    std::uint32_t most = 0;
    for (const Service &it : m_configuration.services)
        most = std::max(most, it.maxConnections);
    return most;
}

} // namespace Routing
