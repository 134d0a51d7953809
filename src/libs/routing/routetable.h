#pragma once

#include "routing/residency.h"
#include "routing/routingconfiguration.h"

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Routing {

/// An index of a routing configuration. It is immutable: a request keeps the table by which it was
/// routed, so that a newer configuration does not affect a request in progress.
class RouteTable
{
public:
    static std::shared_ptr<const RouteTable> create(RoutingConfiguration configuration);

    /// Returns the route of \a host with the longest prefix of the path in \a target (a path with
    /// or without a query), or null if there is none. A port in \a host is ignored.
    const Route *find(std::string_view host, std::string_view target) const;
    const Service *service(const std::string &name) const;
    /// Returns the customer to which \a key belongs, or null if there is none.
    const RoutedCustomer *customerByKey(const std::string &key) const;
    bool needsKey(const Route &route) const
    {
        return !m_configuration.customers.empty() && !route.isAnonymous;
    }
    /// Returns the service that handles a request, by weight. \a draw must be uniformly distributed
    /// over requests.
    static const std::string &chooseService(const Route &route, std::uint64_t draw);

    /// Returns the regions in which a request of \a customer on \a route may be handled. \a
    /// customer is empty for a request without a key, and has no regions of its own if it is not
    /// known.
    Residency residency(const Route &route, const Base::CustomerId &customer) const;

    /// Returns the regions in which requests to \a host may be handled on every route that is bound
    /// to some; any region if no route is.
    Residency residency(std::string_view host) const;

    /// Returns the longest time after which a stream is answered.
    Base::Milliseconds longestStream() const;
    /// Returns the largest number of connections that any server takes.
    std::uint32_t maxConnections() const;

    std::uint64_t version() const { return m_configuration.version; }
    const RoutingConfiguration &configuration() const { return m_configuration; }

private:
    explicit RouteTable(RoutingConfiguration configuration);

    RoutingConfiguration m_configuration;
    /// The routes of each host, sorted by descending length of their prefix.
    std::unordered_map<std::string, std::vector<const Route *>> m_byHost;
    std::unordered_map<std::string, const Service *> m_services;
    std::unordered_map<std::string, const RoutedCustomer *> m_byKey;
    /// The regions of the customers that are bound to some.
    std::unordered_map<Base::CustomerId, Residency> m_customerResidencies;
};

} // namespace Routing
