#pragma once

#include "gateway/fleetview.h"
#include "gateway/gatewaysettings.h"
#include "gateway/hostload.h"
#include "gateway/storereplica.h"
#include "routing/dispatcher.h"
#include "routing/retryshare.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace Gateway {

/// Makes this host's decisions for each service: where its requests are sent, and how many are
/// retried.
///
/// A service is created with its first request. The input of the decisions (the configuration, the
/// backend servers, the work of other hosts) is taken from the replica and the fleet view whenever
/// they change. Both must outlive the services.
class Services
{
public:
    struct Service
    {
        Routing::Dispatcher dispatcher;
        Routing::RetryShare retries;
    };

    Services(const GatewaySettings &settings, const StoreReplica &replica, const FleetView &fleet);

    Service &service(const std::string &name);
    /// What backend servers announced to this host. Every decision uses it.
    Routing::ServerNotices &notices() { return m_notices; }
    /// Returns the highest pace of the servers of all services (Routing::ServerPace).
    double slowestPace() const;
    /// Returns the number of requests of all services that wait for a server.
    std::size_t waiting() const;

    void configurationChanged();
    /// Must be called when servers came or went.
    void serversChanged();
    /// Must be called when the slots or warm-up times of servers may have changed and no server
    /// came or went.
    void serversRead();
    void evacuationsChanged(Base::TimePoint now);
    void retryAllowanceChanged(const Routing::RetryAllowance &allowance);
    void peerLoadChanged();
    void applyPartUses(const std::vector<Routing::PartUse> &uses, Base::TimePoint now);

    /// Fills in the slowest pace, the levels and the largest customer of \a sample.
    void fillLevels(LoadSample &sample, Base::TimePoint now);
    /// Adds the work of all services to \a load, for a report.
    void report(Routing::HostLoad &load, Base::TimePoint now);
    /// Lets each service make the decisions that are due. Its decisions are passed to \a apply
    /// before the next service decides.
    void advance(Base::TimePoint now, const std::function<void(const Routing::Decisions &)> &apply);

private:
    Routing::ServiceTraits traitsOf(const std::string &name) const;

    Base::HostId m_host;
    Base::ZoneId m_zone;
    Base::RegionId m_region;
    Routing::ZoneRegions m_zoneRegions;
    Routing::RetryAllowance m_retries;
    const StoreReplica *m_replica;
    const FleetView *m_fleet;
    Routing::ServerNotices m_notices;
    std::map<std::string, Service> m_services;
};

} // namespace Gateway
