#pragma once

#include "gateway/acceptedrequest.h"
#include "routing/residency.h"
#include "routing/serverset.h"

#include <memory>

namespace Gateway {

/// Decides where a request may be handled by the newest configuration that this host knows.
///
/// A request keeps the configuration under which it was accepted. Its regions are the exception: it
/// may wait or be sent again for seconds, and must not reach a region that has been taken away
/// meanwhile.
class RequestResidency
{
public:
    explicit RequestResidency(Routing::ZoneRegions zones)
        : m_zones(std::move(zones))
    {}

    const Routing::ZoneRegions &zones() const { return m_zones; }
    /// Returns the regions of \a accepted by \a newest. A route that \a newest does not have keeps
    /// the regions under which the request was accepted.
    Routing::Residency current(const AcceptedRequest &accepted,
                               const std::shared_ptr<const Routing::RouteTable> &newest) const;
    /// Returns whether \a server may run the request or give a part of its prompt.
    bool allows(const AcceptedRequest &accepted, const Routing::RegisteredServer &server,
                const std::shared_ptr<const Routing::RouteTable> &newest) const;

private:
    Routing::ZoneRegions m_zones;
};

/// Returns the regions that \a table names and in which no zone lies, in ascending order.
std::vector<Base::RegionId> unknownRegions(const Routing::RouteTable &table,
                                           const Routing::ZoneRegions &zones);

} // namespace Gateway
