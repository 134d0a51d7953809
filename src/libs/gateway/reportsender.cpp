#include "gateway/reportsender.h"

namespace Gateway {

ReportSender::ReportSender(const GatewaySettings &settings, const Routing::ZoneRegions &zones,
                           const FleetView &fleet, ReportSocket &socket, GatewayMetrics &metrics)
    : m_region(settings.region)
    , m_bytesBetweenRegions(settings.reportBytesBetweenRegions)
    , m_zones(&zones)
    , m_fleet(&fleet)
    , m_socket(&socket)
    , m_metrics(&metrics)
{}

void ReportSender::send(const HostReport &report, const std::vector<std::string> &receivers,
                        Base::TimePoint now)
{
    std::vector<std::string> near;
    std::vector<std::string> far;
    for (const std::string &it : receivers) {
        const Base::ZoneId zone = m_fleet->zoneOf(it);
        // A host whose zone is not known yet is mostly one of the few that the settings name.
        const bool isNear = zone.isEmpty() || m_zones->regionOf(zone) == m_region;
        (isNear ? near : far).push_back(it);
    }
    m_metrics->reportSent(false, m_socket->send(report, near));
    if (far.empty())
        return;
    // In a large fleet only the leaders of zones report to other regions.
    m_budget.setLimit(m_bytesBetweenRegions,
                      m_fleet->isLarge() ? m_zones->zonesIn(m_region) : m_fleet->liveHosts(now));
    if (!m_budget.isDue(now))
        return;
    const std::size_t bytes = m_socket->send(report, far);
    m_budget.recordSent(bytes, now);
    m_metrics->reportSent(true, bytes);
}

} // namespace Gateway
