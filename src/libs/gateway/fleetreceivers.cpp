// Who gets the reports of a host, and from whom it takes copies.

#include "base/hash.h"
#include "gateway/fleetview.h"

#include <algorithm>
#include <set>
#include <utility>

namespace Gateway {

std::vector<std::string> FleetView::receiversIn(const Base::ZoneId &zone) const
{
    std::vector<std::string> addresses;
    for (const auto &[address, receiver] : m_receivers) {
        if (receiver.zone == zone || receiver.zone.isEmpty())
            addresses.push_back(address);
    }
    return addresses;
}

Base::ZoneId FleetView::zoneOf(const std::string &peerAddress) const
{
    const auto it = m_receivers.find(peerAddress);
    return it == m_receivers.end() ? Base::ZoneId() : it->second.zone;
}

std::vector<std::string> FleetView::allReceivers() const
{
    std::vector<std::string> addresses;
    for (const auto &[address, receiver] : m_receivers)
        addresses.push_back(address);
    return addresses;
}

std::map<Base::ZoneId, std::vector<std::pair<Base::HostId, std::string>>>
FleetView::likelyLeaders(Base::TimePoint now) const
{
    std::map<Base::ZoneId, std::vector<std::pair<Base::HostId, std::string>>> zones;
    const Members &alive = liveMembers(now);
    for (const auto &[address, receiver] : m_receivers) {
        const bool isSilent =
            now - receiver.since >= livenessTimeout && !alive.contains(receiver.host);
        if (!receiver.host.isEmpty() && !isSilent)
            zones[receiver.zone].emplace_back(receiver.host, address);
    }
    zones[m_zone].emplace_back(m_self, std::string());
    for (auto &[zone, hosts] : zones) {
        std::ranges::sort(hosts);
        hosts.resize(std::min(hosts.size(), likelyLeadersOfZone));
    }
    return zones;
}

std::vector<std::string> FleetView::announceReceivers(Base::TimePoint now) const
{
    if (possibleHosts() <= maxAnnounceReceivers)
        return allReceivers();
    const auto zones = likelyLeaders(now);
    const auto &ownZone = zones.at(m_zone);
    const bool isLikelyLeader =
        std::ranges::any_of(ownZone, [this](const auto &it) { return it.first == m_self; });
    // A host that has heard of the others and leads all the same must tell them.
    const bool tellsZone = isLikelyLeader || (isLeader(now) && !isCutOffFromZone(now));
    std::set<std::string> addresses;
    for (const auto &[zone, hosts] : zones) {
        if (zone != m_zone && !tellsZone)
            continue;
        for (const auto &[host, address] : hosts) {
            if (!address.empty())
                addresses.insert(address);
        }
    }
    for (const auto &[address, receiver] : m_receivers) {
        if (receiver.zone.isEmpty() || (tellsZone && receiver.zone == m_zone))
            addresses.insert(address);
    }
    return {addresses.begin(), addresses.end()};
}

std::vector<DueReport> FleetView::dueReports(Base::TimePoint now) const
{
    if (!isLarge())
        return {{ReportScope::Host, allReceivers()}};
    if (const std::optional<MemberState> leader = leaderOf(m_zone, now)) {
        // All hosts must learn at once that this host does not lead any more. Without this report
        // they would notice it only after more than a second without summaries and proofs.
        if (now < m_announceUntil)
            return {{ReportScope::Host, announceReceivers(now)}};
        return {{ReportScope::Host, {leader->peerAddress}}};
    }
    // A summary of only a part of the zone would replace complete ones.
    if (now < m_gatherUntil)
        return {{ReportScope::Host, announceReceivers(now)}};
    std::set<Base::ZoneId> zones;
    for (const auto &[address, receiver] : m_receivers)
        zones.insert(receiver.zone);
    DueReport toLeaders{ReportScope::Zone, {}};
    for (const Base::ZoneId &zone : zones) {
        if (zone == m_zone || zone.isEmpty())
            continue;
        if (const std::optional<MemberState> leader = leaderOf(zone, now)) {
            toLeaders.receivers.push_back(leader->peerAddress);
            continue;
        }
        const std::vector<std::string> all = receiversIn(zone);
        toLeaders.receivers.insert(toLeaders.receivers.end(), all.begin(), all.end());
    }
    std::vector<DueReport> due = fleetReports(now);
    due.insert(due.begin(), std::move(toLeaders));
    return due;
}

std::vector<DueReport> FleetView::fleetReports(Base::TimePoint now) const
{
    if (!isVeryLarge())
        return {{ReportScope::Fleet, receiversIn(m_zone)}};
    const Members &members = liveMembers(now);
    const std::set<Base::HostId> candidates = entryCandidates(members);
    std::vector<DueReport> due{{ReportScope::Fleet, {}}, {ReportScope::Digest, {}}};
    for (const auto &[address, receiver] : m_receivers) {
        if (receiver.zone != m_zone && !receiver.zone.isEmpty())
            continue;
        const auto member = members.find(receiver.host);
        const bool isForwarding = member != members.end() && member->second.load > 0;
        const bool needsLoads = isForwarding || candidates.contains(receiver.host);
        if (!needsLoads && due.back().receivers.size() == receiversOfDigest)
            due.push_back({ReportScope::Digest, {}});
        (needsLoads ? due.front() : due.back()).receivers.push_back(address);
    }
    return due;
}

std::size_t FleetView::possibleHosts() const
{
    std::size_t told = 0;
    for (const auto &[host, latest] : m_summaries)
        told = std::max<std::size_t>(told, latest.report.possibleHosts);
    return std::max(told, m_receivers.size() + 1);
}

bool FleetView::receivesLoads(Base::TimePoint now) const
{
    const ReceivedReport *fleet = newestFleetReport(now);
    return fleet && fleet->report.scope == ReportScope::Fleet;
}

bool FleetView::isFirstOfZone(Base::TimePoint now) const
{
    return likelyLeaders(now).at(m_zone).front().first == m_self;
}

std::string FleetView::copySource(const std::string &announcer, bool inTurns,
                                  Base::TimePoint now) const
{
    std::vector<std::pair<Base::HostId, std::string>> zone;
    for (const auto &[address, receiver] : m_receivers) {
        if (!receiver.host.isEmpty() && receiver.zone == m_zone)
            zone.emplace_back(receiver.host, address);
    }
    std::string first = announcer;
    const std::optional<MemberState> leader = leaderOf(m_zone, now);
    if (first.empty() && leader)
        first = leader->peerAddress;
    const auto likely = likelyLeaders(now);
    for (const auto &[host, address] : likely.at(m_zone)) {
        if (first.empty() && host != m_self)
            first = address;
    }
    // Hosts that forward must not wait for others, which have less need of new data.
    if (!isVeryLarge() || !inTurns || receivesLoads(now))
        return first;
    std::erase_if(zone, [this](const auto &it) { return m_self < it.first; });
    std::ranges::sort(zone);
    if (zone.size() <= copiesOfLeader)
        return first;
    // Each host takes its copy from one before it, so that some take theirs from the leader, and
    // nobody waits for itself.
    return zone[Base::stableHash(m_self.value()) % zone.size()].second;
}

} // namespace Gateway
