#include "gateway/requestresidency.h"

#include <set>

namespace Gateway {

Routing::Residency
RequestResidency::current(const AcceptedRequest &accepted,
                          const std::shared_ptr<const Routing::RouteTable> &newest) const
{
    if (!newest || newest == accepted.table)
        return accepted.work.residency;
    const Request &message = accepted.request.message;
    const Routing::Route *route =
        newest->find(field(message, "Host"), {message.target().data(), message.target().size()});
    return route ? newest->residency(*route, accepted.customer) : accepted.work.residency;
}

bool RequestResidency::allows(const AcceptedRequest &accepted,
                              const Routing::RegisteredServer &server,
                              const std::shared_ptr<const Routing::RouteTable> &newest) const
{
    return current(accepted, newest).allows(m_zones.regionOf(server.zone));
}

std::vector<Base::RegionId> unknownRegions(const Routing::RouteTable &table,
                                           const Routing::ZoneRegions &zones)
{
    std::set<Base::RegionId> named;
    for (const Routing::Route &it : table.configuration().routes)
        named.insert(it.allowedRegions.begin(), it.allowedRegions.end());
    for (const Routing::RoutedCustomer &it : table.configuration().customers)
        named.insert(it.allowedRegions.begin(), it.allowedRegions.end());
    std::vector<Base::RegionId> unknown;
    for (const Base::RegionId &it : named) {
        if (!zones.hasRegion(it))
            unknown.push_back(it);
    }
    return unknown;
}

} // namespace Gateway
