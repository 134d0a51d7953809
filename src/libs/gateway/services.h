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

/// What this host decides for each service: where its requests go, and how many are sent again.
///
/// A service comes with its first request. What decisions rest on (the configuration, the backend
/// servers, the work of other hosts) is taken from the replica and the fleet's view whenever they
/// change; both outlive the services.
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
    /// The work of all services that waits for a server.
    std::size_t waiting() const;

    void configurationChanged();
    /// Servers came or went.
    void serversChanged();
    /// Slots and warm-up of servers may be others; none came or went by this.
    void serversRead();
    void retryAllowanceChanged(const Routing::RetryAllowance &allowance);
    void peerLoadChanged();
    void applyPartUses(const std::vector<Routing::PartUse> &uses, Base::TimePoint now);

    /// Fills in the levels of \a figures.
    void showLevels(LoadFigures &figures, Base::TimePoint now);
    /// Adds the work of all services to \a load, for a report.
    void report(Routing::HostLoad &load, Base::TimePoint now);
    /// Hands each service's decisions that time brings to \a apply, before the next service
    /// decides.
    void advance(Base::TimePoint now, const std::function<void(const Routing::Decisions &)> &apply);

private:
    Routing::ServiceTraits traitsOf(const std::string &name) const;

    Base::ZoneId m_zone;
    Routing::RetryAllowance m_retries;
    const StoreReplica *m_replica;
    const FleetView *m_fleet;
    std::map<std::string, Service> m_services;
};

} // namespace Gateway
