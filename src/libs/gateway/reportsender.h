#pragma once

#include "gateway/fleetview.h"
#include "gateway/gatewaymetrics.h"
#include "gateway/gatewaysettings.h"
#include "gateway/regionlinkbudget.h"
#include "gateway/reportsocket.h"
#include "routing/residency.h"

#include <string>
#include <vector>

namespace Gateway {

/// Sends reports, within the limit for reports to other regions, and counts their bytes.
class ReportSender
{
public:
    /// The arguments other than \a settings must outlive the sender.
    ReportSender(const GatewaySettings &settings, const Routing::ZoneRegions &zones,
                 const FleetView &fleet, ReportSocket &socket, GatewayMetrics &metrics);

    void send(const HostReport &report, const std::vector<std::string> &receivers,
              Base::TimePoint now);

private:
    Base::RegionId m_region;
    std::size_t m_bytesBetweenRegions;
    const Routing::ZoneRegions *m_zones;
    const FleetView *m_fleet;
    ReportSocket *m_socket;
    GatewayMetrics *m_metrics;
    RegionLinkBudget m_budget;
};

} // namespace Gateway
