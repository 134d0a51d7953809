#include "gateway/fleetview.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

namespace Gateway {

namespace {

/// Reports are still sent to a host that is down or cut off until this time has passed since its
/// last report or its last listing in the store.
constexpr Base::Duration receiverTimeout = std::chrono::seconds(45);
/// Time for which a cached decision on who leads is reused.
constexpr Base::Duration leaderCacheTime = std::chrono::milliseconds(100);
/// For this long after a change that affects who leads, this host reports to all hosts and not only
/// to the leader. The time covers three reports, of which one or two may be lost.
constexpr Base::Duration announcePeriod = std::chrono::milliseconds(600);
/// Summaries are used for this long after they were received. The time covers a leader's silence
/// (livenessTimeout) before another host takes over, and that host's gatherPeriod.
constexpr Base::Duration summaryLifetime = std::chrono::milliseconds(3500);
/// After a leader has fallen silent, the next host by name has this long to report before the host
/// after it takes over.
constexpr Base::Duration successorTimeout = std::chrono::milliseconds(600);
/// A new leader collects reports for this long before it sends summaries. The time covers three
/// reports of each host of its zone and of each other leader, of which one or two may be lost.
constexpr Base::Duration gatherPeriod = std::chrono::milliseconds(800);
/// Number of this host's own reports that are remembered; an echo arrives within a second.
constexpr std::size_t maxSentReports = 24;
/// Number of uses of prompt parts that a leader keeps for its next report; they take some ten
/// kilobytes.
constexpr std::size_t maxRelayedUses = 400;

void appendUses(std::vector<Routing::PartUse> &to, const std::vector<Routing::PartUse> &uses)
{
    const std::size_t freeSlots = maxRelayedUses - std::min(maxRelayedUses, to.size());
    const auto end = uses.begin() + static_cast<std::ptrdiff_t>(std::min(freeSlots, uses.size()));
    to.insert(to.end(), uses.begin(), end);
}

void addLoad(Routing::HostLoad &sum, const Routing::HostLoad &load)
{
    for (const auto &[server, it] : load.servers) {
        Routing::ServerLoad &to = sum.servers[server];
        to.running += it.running;
        to.unreadTokens += it.unreadTokens;
        to.starts.took += it.starts.took;
        to.starts.expected += it.starts.expected;
    }
    for (const auto &[customer, amount] : load.asked)
        sum.asked[customer] += amount;
    for (const auto &[customer, amount] : load.received)
        sum.received[customer] += amount;
    for (const auto &[customer, amount] : load.begun)
        sum.begun[customer] += amount;
    sum.askedSeconds = std::max(sum.askedSeconds, load.askedSeconds);
    for (const auto &[service, use] : load.serviceUses) {
        Routing::ServiceUse &to = sum.serviceUses[service];
        to.arrivals += use.arrivals;
        to.answers += use.answers;
    }
}

void subtractAmounts(std::map<Base::CustomerId, double> &from,
                     const std::map<Base::CustomerId, double> &amounts)
{
    for (const auto &[customer, amount] : amounts) {
        const auto it = from.find(customer);
        if (it != from.end())
            it->second = std::max(0.0, it->second - amount);
    }
}

void subtractLoad(Routing::HostLoad &from, const Routing::HostLoad &load)
{
    for (const auto &[server, it] : load.servers) {
        const auto to = from.servers.find(server);
        if (to == from.servers.end())
            continue;
        to->second.running -= std::min(to->second.running, it.running);
        to->second.unreadTokens -= std::min(to->second.unreadTokens, it.unreadTokens);
        Routing::StartTimes &starts = to->second.starts;
        starts.took = std::max(0.0, starts.took - it.starts.took);
        starts.expected = std::max(0.0, starts.expected - it.starts.expected);
    }
    subtractAmounts(from.asked, load.asked);
    subtractAmounts(from.received, load.received);
    subtractAmounts(from.begun, load.begun);
    for (const auto &[service, use] : load.serviceUses) {
        Routing::ServiceUse &to = from.serviceUses[service];
        to.arrivals = std::max(0.0, to.arrivals - use.arrivals);
        to.answers = std::max(0.0, to.answers - use.answers);
    }
}

} // namespace

void FleetView::addHostRows(const std::vector<HostRow> &hosts, Base::TimePoint now)
{
    for (const HostRow &row : hosts) {
        if (row.host != m_self)
            addReceiver(row.peerAddress, row.host, row.zone, now);
    }
}

void FleetView::addAddress(const std::string &peerAddress, Base::TimePoint now)
{
    const auto known = m_receivers.find(peerAddress);
    if (known == m_receivers.end())
        addReceiver(peerAddress, {}, {}, now);
    else
        known->second.until = now + receiverTimeout;
}

void FleetView::addReceiver(const std::string &peerAddress, const Base::HostId &host,
                            const Base::ZoneId &zone, Base::TimePoint now)
{
    const auto [it, isNew] = m_receivers.try_emplace(peerAddress);
    Receiver &receiver = it->second;
    if (isNew || receiver.host != host)
        receiver.since = now;
    receiver.host = host;
    receiver.zone = zone;
    receiver.until = now + receiverTimeout;
}

bool FleetView::receive(const HostReport &report, Base::TimePoint now)
{
    const MemberState &from = report.self;
    if (from.host == m_self)
        return false;
    const auto it = m_hosts.find(from.host);
    const auto age = [](const HostReport &of) { return std::tie(of.incarnation, of.sequence); };
    if (it != m_hosts.end() && age(report) <= age(it->second.report))
        return false;
    addReceiver(from.peerAddress, from.host, from.zone, now);
    for (const MemberState &member : report.members) {
        if (member.host != m_self)
            addReceiver(member.peerAddress, member.host, member.zone, now);
    }
    if (isLarge() && isLeader(now) && !coversFleet(report.scope)) {
        appendUses(m_usesForZone, report.load.partUses);
        // Another leader sends what it relays to all leaders. Relaying it to them again would make
        // the uses circulate forever and multiply each time.
        if (report.scope == ReportScope::Host && from.zone == m_zone)
            appendUses(m_usesForLeaders, report.load.partUses);
    }
    if (report.scope != ReportScope::Host)
        m_summaries[from.host] = {report, now};
    m_hosts[from.host] = {report, now};
    m_membersCachedAt.reset();
    return true;
}

bool FleetView::isNewStart(const HostReport &report) const
{
    const auto known = m_hosts.find(report.self.host);
    return report.self.host != m_self
           && (known == m_hosts.end() || known->second.report.incarnation < report.incarnation);
}

void FleetView::advance(Base::TimePoint now)
{
    m_membersCachedAt.reset();
    std::erase_if(m_receivers, [now](const auto &it) { return now >= it.second.until; });
    std::erase_if(m_hosts, [now](const auto &it) { return now - it.second.at >= receiverTimeout; });
    std::erase_if(m_summaries,
                  [now](const auto &it) { return now - it.second.at >= summaryLifetime; });
}

void FleetView::setLeaving(Base::TimePoint now)
{
    m_isLeaving = true;
    m_announceUntil = now + announcePeriod;
    m_leaderCheckedAt = Base::TimePoint::min();
}

void FleetView::setStoreLost(bool isLost, Base::TimePoint now)
{
    if (std::exchange(m_isStoreLost, isLost) == isLost)
        return;
    m_announceUntil = now + announcePeriod;
    m_leaderCheckedAt = Base::TimePoint::min();
}

bool FleetView::isAlive(const ReceivedReport &latest, Base::TimePoint now) const
{
    return now - latest.at < livenessTimeout;
}

bool FleetView::hasRecentReport(const Base::HostId &host, Base::TimePoint now) const
{
    const auto it = m_hosts.find(host);
    return it != m_hosts.end() && isAlive(it->second, now);
}

const Members &FleetView::liveMembers(Base::TimePoint now) const
{
    if (m_membersCachedAt != now) {
        m_cachedMembers = computeLiveMembers(now);
        m_cachedEssentials.reset();
        m_membersCachedAt = now;
    }
    return m_cachedMembers;
}

Members FleetView::computeLiveMembers(Base::TimePoint now) const
{
    Members members;
    for (const auto &[host, latest] : m_hosts) {
        if (isAlive(latest, now))
            members[host] = latest.report.self;
    }
    std::vector<const ReceivedReport *> summaries;
    for (const auto &[zone, latest] : newestZoneReports(now)) {
        if (isAlive(*latest, now))
            summaries.push_back(latest);
    }
    if (const ReceivedReport *fleet = newestFleetReport(now))
        summaries.push_back(fleet);
    // The newest summary goes last, so that its state of a host is the one that remains.
    std::ranges::sort(summaries, {}, &ReceivedReport::at);
    for (const ReceivedReport *summary : summaries) {
        for (const MemberState &member : summary->report.members) {
            if (member.host == m_self)
                continue;
            const auto direct = m_hosts.find(member.host);
            if (direct == m_hosts.end()) {
                members[member.host] = member;
                continue;
            }
            if (isAlive(direct->second, now))
                continue;
            const bool isSummaryNewer = summary->at >= direct->second.at;
            members[member.host] = isSummaryNewer ? member : direct->second.report.self;
        }
    }
    return members;
}

std::optional<MemberState> FleetView::leaderOf(const Base::ZoneId &zone, Base::TimePoint now) const
{
    std::vector<MemberState> candidates;
    for (const auto &[host, member] : liveMembers(now)) {
        if (member.zone == zone && !member.isLeaving)
            candidates.push_back(member);
    }
    // A leader that the store rejects would leave its whole zone without proof that the
    // configuration is current, and each host of the zone would call the store itself.
    std::ranges::stable_sort(candidates, {}, &MemberState::isStoreLost);
    const auto isBeforeSelf = [this](const MemberState &it) {
        return std::tie(it.isStoreLost, it.host) < std::tie(m_isStoreLost, m_self);
    };
    const bool maySelfLead = zone == m_zone && !m_isLeaving;
    const ReceivedReport *fleet = zone == m_zone ? newestFleetReport(now) : nullptr;
    Base::Duration silence = fleet ? now - fleet->at - livenessTimeout : Base::Duration::zero();
    for (const MemberState &candidate : candidates) {
        if (maySelfLead && !isBeforeSelf(candidate))
            return std::nullopt;
        // This host is known only from a summary of the silent leader, and may be silent as well.
        if (!hasRecentReport(candidate.host, now) && silence >= successorTimeout) {
            silence -= successorTimeout;
            continue;
        }
        return candidate;
    }
    if (maySelfLead || candidates.empty())
        return std::nullopt;
    return candidates.front();
}

bool FleetView::isLeader(Base::TimePoint now) const
{
    // This is called for each tick and each report, and going through all members takes tens of
    // microseconds in a large fleet. A short cache does no harm, since a silent host is left out
    // only after more than a second anyway.
    if (m_leaderCheckedAt == Base::TimePoint::min() || now - m_leaderCheckedAt >= leaderCacheTime) {
        m_leaderCheckedAt = now;
        m_isCachedLeader = !leaderOf(m_zone, now);
    }
    return m_isCachedLeader;
}

bool FleetView::isFirstLeader(Base::TimePoint now) const
{
    if (m_isLeaving || m_isStoreLost || (isLarge() && !isLeader(now)))
        return false;
    return std::ranges::none_of(liveMembers(now), [&](const auto &it) {
        const MemberState &member = it.second;
        if (member.isLeaving || member.isStoreLost)
            return false;
        return isLarge() ? member.zone < m_zone
                         : std::tie(member.zone, member.host) < std::tie(m_zone, m_self);
    });
}

void FleetView::addOtherHosts(HostReport &report, const std::vector<std::string> &receivers,
                              Base::TimePoint now) const
{
    const bool isLeading = isLeader(now);
    const bool isDigest = report.scope == ReportScope::Digest;
    const bool isSum = report.scope == ReportScope::Zone || report.scope == ReportScope::Fleet;
    // Without the store, hosts prove to each other that they know the same servers.
    const bool echoesAll = m_isStoreLost && !isLarge() && report.scope == ReportScope::Host;
    for (const auto &[host, latest] : m_hosts) {
        if (!isAlive(latest, now))
            continue;
        if (echoesAll)
            report.echoes[host] = latest.report.sequence;
        if (latest.report.self.zone != m_zone)
            continue;
        const bool isReceiver =
            !isDigest
            || std::ranges::find(receivers, latest.report.self.peerAddress) != receivers.end();
        if (isLeading && isReceiver)
            report.echoes[host] = latest.report.sequence;
        if (isSum && latest.report.scope == ReportScope::Host)
            addLoad(report.load, latest.report.load);
    }
    if (report.scope == ReportScope::Host)
        return;
    addMembers(report, now);
    if (report.scope == ReportScope::Fleet)
        addOtherZones(report.load, now);
    if (isDigest)
        report.load = Routing::HostLoad();
}

void FleetView::addMembers(HostReport &report, Base::TimePoint now) const
{
    const Members &members = liveMembers(now);
    if (!coversFleet(report.scope) || !isVeryLarge()) {
        for (const auto &[host, member] : members) {
            if (coversFleet(report.scope) || member.zone == m_zone)
                report.members.push_back(member);
        }
        return;
    }
    if (!m_cachedEssentials)
        m_cachedEssentials = essentialMembers(members, m_zone);
    report.members = *m_cachedEssentials;
    report.liveHosts = static_cast<std::uint32_t>(liveHosts(now));
    report.possibleHosts = static_cast<std::uint32_t>(possibleHosts());
}

std::map<Base::ZoneId, const FleetView::ReceivedReport *>
FleetView::newestZoneReports(Base::TimePoint now) const
{
    std::map<Base::ZoneId, const ReceivedReport *> newest;
    for (const auto &[host, latest] : m_summaries) {
        if (latest.report.scope != ReportScope::Zone || now - latest.at >= summaryLifetime)
            continue;
        const ReceivedReport *&ofZone = newest[latest.report.self.zone];
        if (!ofZone || latest.at > ofZone->at)
            ofZone = &latest;
    }
    return newest;
}

void FleetView::addOtherZones(Routing::HostLoad &sum, Base::TimePoint now) const
{
    const std::map<Base::ZoneId, const ReceivedReport *> zones = newestZoneReports(now);
    for (const auto &[zone, latest] : zones) {
        if (zone != m_zone)
            addLoad(sum, latest->report.load);
    }
    // A small fleet has no leaders, and hosts that start together do not know theirs yet.
    for (const auto &[host, latest] : m_hosts) {
        const Base::ZoneId &zone = latest.report.self.zone;
        if (zone == m_zone || zones.count(zone) > 0)
            continue;
        if (isAlive(latest, now) && latest.report.scope == ReportScope::Host)
            addLoad(sum, latest.report.load);
    }
}

void FleetView::recordSentReport(std::uint64_t sequence, const Routing::HostLoad &load,
                                 Base::TimePoint now)
{
    m_sentReports.push_back({sequence, now, load});
    if (m_sentReports.size() > maxSentReports)
        m_sentReports.pop_front();
}

std::optional<Base::TimePoint> FleetView::echoedSendTime(const HostReport &report) const
{
    const auto echo = report.echoes.find(m_self);
    if (echo == report.echoes.end())
        return std::nullopt;
    for (const SentReport &it : m_sentReports) {
        if (it.sequence == echo->second)
            return it.at;
    }
    return std::nullopt;
}

std::optional<Base::TimePoint> FleetView::agreedSince(std::uint64_t fingerprint,
                                                      Base::TimePoint now) const
{
    std::optional<Base::TimePoint> since;
    for (const auto &[address, receiver] : m_receivers) {
        if (now >= receiver.until)
            continue;
        const auto known = m_hosts.find(receiver.host);
        if (isLarge() || known == m_hosts.end())
            return std::nullopt;
        const HostReport &report = known->second.report;
        const std::optional<Base::TimePoint> at = echoedSendTime(report);
        if (!at || report.store.serversFingerprint != fingerprint)
            return std::nullopt;
        since = std::min(since.value_or(*at), *at);
    }
    return since;
}

std::vector<MemberState> FleetView::servingMembers(Base::TimePoint now) const
{
    std::vector<MemberState> serving;
    std::vector<MemberState> alive;
    for (const auto &[host, member] : liveMembers(now)) {
        if (member.isLeaving)
            continue;
        alive.push_back(member);
        if (member.isServing)
            serving.push_back(member);
    }
    return serving.empty() ? alive : serving;
}

std::vector<MemberState> FleetView::membersOfZone(Base::TimePoint now) const
{
    std::vector<MemberState> members;
    for (const auto &[host, member] : liveMembers(now)) {
        if (member.zone == m_zone && !member.isLeaving)
            members.push_back(member);
    }
    return members;
}

std::size_t FleetView::liveHosts(Base::TimePoint now) const
{
    const ReceivedReport *fleet = newestFleetReport(now);
    if (fleet && fleet->report.liveHosts > 0)
        return fleet->report.liveHosts;
    return liveMembers(now).size() + 1;
}

const FleetView::ReceivedReport *FleetView::newestFleetReport(Base::TimePoint now) const
{
    const ReceivedReport *newest = nullptr;
    for (const auto &[host, latest] : m_summaries) {
        if (!coversFleet(latest.report.scope) || now - latest.at >= summaryLifetime)
            continue;
        if (!newest || latest.at > newest->at)
            newest = &latest;
    }
    return newest;
}

bool FleetView::isCutOffFromZone(Base::TimePoint now) const
{
    const bool isAnyAlive = std::ranges::any_of(m_hosts, [&](const auto &it) {
        return it.second.report.self.zone == m_zone && isAlive(it.second, now);
    });
    return !isAnyAlive && !receiversIn(m_zone).empty();
}

void FleetView::updateGatherPeriod(Base::TimePoint now)
{
    if (!isLarge() || !isLeader(now) || isCutOffFromZone(now)) {
        m_gatherUntil = now + gatherPeriod;
        return;
    }
    m_gatherUntil = std::min(m_gatherUntil, now + gatherPeriod);
    if (now < m_gatherUntil)
        return;
    std::erase_if(m_summaries, [](const auto &it) { return coversFleet(it.second.report.scope); });
    m_membersCachedAt.reset();
}

std::optional<Base::Duration> FleetView::newestReportAge(Base::TimePoint now) const
{
    std::optional<Base::Duration> age;
    for (const auto &[host, latest] : m_hosts) {
        if (!age || now - latest.at < *age)
            age = now - latest.at;
    }
    return age;
}

void FleetView::updateTotals(Base::TimePoint now)
{
    updateGatherPeriod(now);
    Routing::HostLoad sum;
    if (const ReceivedReport *fleet = newestFleetReport(now)) {
        sum = fleet->report.load;
        const auto echo = fleet->report.echoes.find(m_self);
        // The sum contains this host's own work as of the report that the leader echoes.
        for (const SentReport &it : m_sentReports) {
            if (echo != fleet->report.echoes.end() && it.sequence == echo->second)
                subtractLoad(sum, it.load);
        }
    } else {
        for (const auto &[host, latest] : m_hosts) {
            if (isAlive(latest, now) && latest.report.self.zone == m_zone
                && latest.report.scope == ReportScope::Host)
                addLoad(sum, latest.report.load);
        }
        addOtherZones(sum, now);
    }
    m_others.servers = std::move(sum.servers);
    m_others.asked = std::move(sum.asked);
    m_others.received = std::move(sum.received);
    m_others.begun = std::move(sum.begun);
    m_others.askedSeconds = sum.askedSeconds;
    m_others.serviceUses = std::move(sum.serviceUses);
    m_others.hosts = liveHosts(now);
    m_others.possibleHosts = possibleHosts();
}

void FleetView::addRelayedUses(HostReport &report)
{
    if (report.scope == ReportScope::Host || report.scope == ReportScope::Digest)
        return;
    std::vector<Routing::PartUse> &uses =
        report.scope == ReportScope::Zone ? m_usesForLeaders : m_usesForZone;
    report.load.partUses.insert(report.load.partUses.end(), uses.begin(), uses.end());
    uses.clear();
}

} // namespace Gateway
