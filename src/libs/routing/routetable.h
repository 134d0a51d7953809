#pragma once

#include "routing/routingconfiguration.h"

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Routing {

/// A routing configuration made ready for look-ups. Immutable; a request keeps the table that it
/// was routed by, so that a newer configuration does not change it half-way.
class RouteTable
{
public:
    static std::shared_ptr<const RouteTable> create(RoutingConfiguration configuration);

    /// The route of \a host with the longest prefix that begins the path of \a target (a path
    /// with or without a query); null if there is none. A port in \a host is left out.
    const Route *find(std::string_view host, std::string_view target) const;
    const Service *service(const std::string &name) const;
    /// The customer that holds \a key; null if nobody does.
    const RoutedCustomer *customerByKey(const std::string &key) const;
    bool needsKey(const Route &route) const
    {
        return !m_configuration.customers.empty() && !route.isAnonymous;
    }
    /// The service that takes the request; \a draw is evenly spread over requests.
    static const std::string &chooseService(const Route &route, std::uint64_t draw);

    std::uint64_t version() const { return m_configuration.version; }
    const RoutingConfiguration &configuration() const { return m_configuration; }

private:
    explicit RouteTable(RoutingConfiguration configuration);

    RoutingConfiguration m_configuration;
    /// Longest prefix first.
    std::unordered_map<std::string, std::vector<const Route *>> m_byHost;
    std::unordered_map<std::string, const Service *> m_services;
    std::unordered_map<std::string, const RoutedCustomer *> m_byKey;
};

} // namespace Routing
