#include "gateway/rolloutevidencesums.h"

#include <algorithm>

namespace Gateway {

namespace {

/// The reports of a host that fell silent count for this long. What its requests showed stays true,
/// but what runs there is not known any more.
constexpr Base::Duration receivedLifetime = std::chrono::seconds(10);
/// The sum of a zone is used for this long after its leader fell silent. Another leader reports by
/// then.
constexpr Base::Duration zoneLifetime = std::chrono::milliseconds(3500);

using Evidence = std::vector<Routing::RolloutEvidence>;

void add(Evidence &sums, const Evidence &evidence)
{
    for (const Routing::RolloutEvidence &it : evidence) {
        const auto known = std::ranges::find_if(sums, [&](const Routing::RolloutEvidence &sum) {
            return sum.service == it.service && sum.orderRevision == it.orderRevision;
        });
        if (known == sums.end())
            sums.push_back(it);
        else
            *known += it;
    }
}

} // namespace

void RolloutEvidenceSums::apply(const HostReport &report, Base::TimePoint now)
{
    if (coversFleet(report.scope))
        return;
    if (report.rolloutEvidence.empty()) {
        m_received.erase(report.self.host);
        return;
    }
    m_received[report.self.host] = {report.self.zone, report.scope, now, report.rolloutEvidence};
}

Evidence RolloutEvidenceSums::ofZone(const Evidence &own, Base::TimePoint now) const
{
    Evidence sums = own;
    for (const auto &[host, received] : m_received) {
        if (received.zone == m_zone && received.scope == ReportScope::Host
            && now - received.at < receivedLifetime)
            add(sums, received.evidence);
    }
    return sums;
}

Evidence RolloutEvidenceSums::ofFleet(const Evidence &own, Base::TimePoint now) const
{
    Evidence sums = ofZone(own, now);
    std::map<Base::ZoneId, const Received *> zones;
    for (const auto &[host, received] : m_received) {
        if (received.zone == m_zone || received.scope != ReportScope::Zone
            || now - received.at >= zoneLifetime)
            continue;
        const Received *&newest = zones[received.zone];
        if (!newest || received.at > newest->at)
            newest = &received;
    }
    for (const auto &[zone, received] : zones)
        add(sums, received->evidence);
    for (const auto &[host, received] : m_received) {
        if (received.zone != m_zone && received.scope == ReportScope::Host
            && !zones.contains(received.zone) && now - received.at < receivedLifetime)
            add(sums, received.evidence);
    }
    return sums;
}

void RolloutEvidenceSums::advance(Base::TimePoint now)
{
    std::erase_if(m_received,
                  [&](const auto &it) { return now - it.second.at >= receivedLifetime; });
}

} // namespace Gateway
