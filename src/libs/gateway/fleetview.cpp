#include "gateway/fleetview.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

namespace Gateway {

namespace {

/// Reports come five times a second; three and more in a row are not lost by chance, and a host
/// that is down must leave the list before many callers try it.
constexpr Base::Duration aliveFor = std::chrono::milliseconds(1400);
/// A host that is down or cut off is sent reports for this long after it was last heard of or
/// listed in the store.
constexpr Base::Duration reportFor = std::chrono::seconds(45);
/// How old an answer to the question who leads may be.
constexpr Base::Duration leaderInterval = std::chrono::milliseconds(100);
/// For so long after a change that decides who leads, all hosts are told of it and not only the
/// leader: three reports, of which one or two may be lost.
constexpr Base::Duration announceFor = std::chrono::milliseconds(600);
/// Sums are used for this long after they were told. A leader is silent for aliveFor before another
/// host leads, and that one gathers reports before it tells sums.
constexpr Base::Duration summaryFor = std::chrono::milliseconds(3500);
/// After a leader fell silent, the next host by name has this long to be heard of before the one
/// after it leads.
constexpr Base::Duration turnFor = std::chrono::milliseconds(600);
/// A host that begins to lead hears its zone for this long before it tells sums: three
/// reports of each host and each other leader, of which one or two may be lost.
constexpr Base::Duration gatherFor = std::chrono::milliseconds(800);
/// Reports of one's own that are remembered: an echo comes within a second.
constexpr std::size_t mostSent = 24;
/// Uses of prompt parts that a leader keeps for its next report: some ten kilobytes.
constexpr std::size_t mostPassedOn = 400;

void appendUses(std::vector<Routing::PartUse> &to, const std::vector<Routing::PartUse> &uses)
{
    const std::size_t room = mostPassedOn - std::min(mostPassedOn, to.size());
    const auto end = uses.begin() + static_cast<std::ptrdiff_t>(std::min(room, uses.size()));
    to.insert(to.end(), uses.begin(), end);
}

void addLoad(Routing::HostLoad &sum, const Routing::HostLoad &load)
{
    for (const auto &[server, it] : load.servers) {
        Routing::ServerLoad &to = sum.servers[server];
        to.running += it.running;
        to.unreadTokens += it.unreadTokens;
    }
    for (const auto &[customer, amount] : load.asked)
        sum.asked[customer] += amount;
    for (const auto &[customer, amount] : load.received)
        sum.received[customer] += amount;
    for (const auto &[customer, amount] : load.begun)
        sum.begun[customer] += amount;
    sum.askedSeconds = std::max(sum.askedSeconds, load.askedSeconds);
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
    }
    subtractAmounts(from.asked, load.asked);
    subtractAmounts(from.received, load.received);
    subtractAmounts(from.begun, load.begun);
}

} // namespace

void FleetView::learn(const std::vector<HostRow> &hosts, Base::TimePoint now)
{
    for (const HostRow &row : hosts) {
        if (row.host != m_self)
            m_receivers[row.peerAddress] = {row.zone, now + reportFor};
    }
}

void FleetView::learnAddress(const std::string &peerAddress, Base::TimePoint now)
{
    Receiver &receiver = m_receivers[peerAddress];
    receiver.until = now + reportFor;
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
    m_receivers[from.peerAddress] = {from.zone, now + reportFor};
    for (const MemberState &member : report.members) {
        if (member.host != m_self)
            m_receivers[member.peerAddress] = {member.zone, now + reportFor};
    }
    if (isLarge() && isLeader(now) && report.scope != ReportScope::Fleet) {
        appendUses(m_usesForZone, report.load.partUses);
        // What another leader told, it told all leaders. Told once more, uses would go round for
        // ever and grow in number each time.
        if (report.scope == ReportScope::Host && from.zone == m_zone)
            appendUses(m_usesForLeaders, report.load.partUses);
    }
    if (report.scope != ReportScope::Host)
        m_summaries[from.host] = {report, now};
    m_hosts[from.host] = {report, now};
    return true;
}

void FleetView::advance(Base::TimePoint now)
{
    std::erase_if(m_receivers, [now](const auto &it) { return now >= it.second.until; });
    std::erase_if(m_hosts, [now](const auto &it) { return now - it.second.at >= reportFor; });
    std::erase_if(m_summaries, [now](const auto &it) { return now - it.second.at >= summaryFor; });
}

void FleetView::setLeaving(Base::TimePoint now)
{
    m_isLeaving = true;
    m_announceUntil = now + announceFor;
    m_isLeaderAt = Base::TimePoint::min();
}

void FleetView::setStoreLost(bool isLost, Base::TimePoint now)
{
    if (std::exchange(m_isStoreLost, isLost) == isLost)
        return;
    m_announceUntil = now + announceFor;
    m_isLeaderAt = Base::TimePoint::min();
}

bool FleetView::isAlive(const Heard &heard, Base::TimePoint now) const
{
    return now - heard.at < aliveFor;
}

bool FleetView::isHeard(const Base::HostId &host, Base::TimePoint now) const
{
    const auto it = m_hosts.find(host);
    return it != m_hosts.end() && isAlive(it->second, now);
}

std::map<Base::HostId, MemberState> FleetView::liveMembers(Base::TimePoint now) const
{
    std::map<Base::HostId, MemberState> members;
    for (const auto &[host, heard] : m_hosts) {
        if (isAlive(heard, now))
            members[host] = heard.report.self;
    }
    std::vector<const Heard *> summaries;
    for (const auto &[zone, heard] : zoneReports(now)) {
        if (isAlive(*heard, now))
            summaries.push_back(heard);
    }
    if (const Heard *fleet = fleetReport(now))
        summaries.push_back(fleet);
    // The newest summary goes last, so that its state of a host is what remains.
    std::ranges::sort(summaries, {}, &Heard::at);
    for (const Heard *summary : summaries) {
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
    // A leader that the store turns away would leave its whole zone without proofs of the
    // configuration, and each host of it would call the store for itself.
    std::ranges::stable_sort(candidates, {}, &MemberState::isStoreLost);
    const auto isBeforeSelf = [this](const MemberState &it) {
        return std::tie(it.isStoreLost, it.host) < std::tie(m_isStoreLost, m_self);
    };
    const bool maySelfLead = zone == m_zone && !m_isLeaving;
    const Heard *fleet = zone == m_zone ? fleetReport(now) : nullptr;
    Base::Duration silence = fleet ? now - fleet->at - aliveFor : Base::Duration::zero();
    for (const MemberState &candidate : candidates) {
        if (maySelfLead && !isBeforeSelf(candidate))
            return std::nullopt;
        // Only a silent leader told of this one; it may be silent as well.
        if (!isHeard(candidate.host, now) && silence >= turnFor) {
            silence -= turnFor;
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
    // Asked for each tick and each report; going through all members takes tens of microseconds on
    // a large fleet, and one that falls silent is left out only after seconds.
    if (m_isLeaderAt == Base::TimePoint::min() || now - m_isLeaderAt >= leaderInterval) {
        m_isLeaderAt = now;
        m_wasLeader = !leaderOf(m_zone, now);
    }
    return m_wasLeader;
}

std::vector<std::string> FleetView::receiversOf(const Base::ZoneId &zone) const
{
    std::vector<std::string> addresses;
    for (const auto &[address, receiver] : m_receivers) {
        if (receiver.zone == zone || receiver.zone.isEmpty())
            addresses.push_back(address);
    }
    return addresses;
}

std::vector<std::string> FleetView::allReceivers() const
{
    std::vector<std::string> addresses;
    for (const auto &[address, receiver] : m_receivers)
        addresses.push_back(address);
    return addresses;
}

std::vector<ReportOrder> FleetView::dueReports(Base::TimePoint now) const
{
    if (!isLarge())
        return {{ReportScope::Host, allReceivers()}};
    if (const std::optional<MemberState> leader = leaderOf(m_zone, now)) {
        // All must hear at once that this host does not lead any longer; by its silence they would
        // know only after a second and more without sums and proofs.
        if (now < m_announceUntil)
            return {{ReportScope::Host, allReceivers()}};
        return {{ReportScope::Host, {leader->peerAddress}}};
    }
    // Sums of only a part of the zone would replace whole ones.
    if (now < m_gathersUntil)
        return {{ReportScope::Host, allReceivers()}};
    std::set<Base::ZoneId> zones;
    for (const auto &[address, receiver] : m_receivers)
        zones.insert(receiver.zone);
    ReportOrder toLeaders{ReportScope::Zone, {}};
    for (const Base::ZoneId &zone : zones) {
        if (zone == m_zone || zone.isEmpty())
            continue;
        if (const std::optional<MemberState> leader = leaderOf(zone, now)) {
            toLeaders.receivers.push_back(leader->peerAddress);
            continue;
        }
        const std::vector<std::string> all = receiversOf(zone);
        toLeaders.receivers.insert(toLeaders.receivers.end(), all.begin(), all.end());
    }
    return {toLeaders, {ReportScope::Fleet, receiversOf(m_zone)}};
}

void FleetView::addOthers(HostReport &report, Base::TimePoint now) const
{
    const bool isLeading = isLeader(now);
    for (const auto &[host, heard] : m_hosts) {
        if (!isAlive(heard, now) || heard.report.self.zone != m_zone)
            continue;
        if (isLeading)
            report.echoes[host] = heard.report.sequence;
        if (report.scope != ReportScope::Host && heard.report.scope == ReportScope::Host)
            addLoad(report.load, heard.report.load);
    }
    if (report.scope == ReportScope::Host)
        return;
    for (const auto &[host, member] : liveMembers(now)) {
        if (report.scope == ReportScope::Fleet || member.zone == m_zone)
            report.members.push_back(member);
    }
    if (report.scope == ReportScope::Zone)
        return;
    addOtherZones(report.load, now);
}

std::map<Base::ZoneId, const FleetView::Heard *> FleetView::zoneReports(Base::TimePoint now) const
{
    std::map<Base::ZoneId, const Heard *> newest;
    for (const auto &[host, heard] : m_summaries) {
        if (heard.report.scope != ReportScope::Zone || now - heard.at >= summaryFor)
            continue;
        const Heard *&ofZone = newest[heard.report.self.zone];
        if (!ofZone || heard.at > ofZone->at)
            ofZone = &heard;
    }
    return newest;
}

void FleetView::addOtherZones(Routing::HostLoad &sum, Base::TimePoint now) const
{
    const std::map<Base::ZoneId, const Heard *> zones = zoneReports(now);
    for (const auto &[zone, heard] : zones) {
        if (zone != m_zone)
            addLoad(sum, heard->report.load);
    }
    // A small fleet has no leaders, and hosts that start together do not know theirs.
    for (const auto &[host, heard] : m_hosts) {
        const Base::ZoneId &zone = heard.report.self.zone;
        if (zone == m_zone || zones.count(zone) > 0)
            continue;
        if (isAlive(heard, now) && heard.report.scope == ReportScope::Host)
            addLoad(sum, heard.report.load);
    }
}

void FleetView::reported(std::uint64_t sequence, const Routing::HostLoad &load, Base::TimePoint now)
{
    m_sent.push_back({sequence, now, load});
    if (m_sent.size() > mostSent)
        m_sent.pop_front();
}

std::optional<Base::TimePoint> FleetView::echoedAt(const HostReport &report) const
{
    const auto echo = report.echoes.find(m_self);
    if (echo == report.echoes.end())
        return std::nullopt;
    for (const Sent &it : m_sent) {
        if (it.sequence == echo->second)
            return it.at;
    }
    return std::nullopt;
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
    return liveMembers(now).size() + 1;
}

const FleetView::Heard *FleetView::fleetReport(Base::TimePoint now) const
{
    const Heard *newest = nullptr;
    for (const auto &[host, heard] : m_summaries) {
        if (heard.report.scope != ReportScope::Fleet || now - heard.at >= summaryFor)
            continue;
        if (!newest || heard.at > newest->at)
            newest = &heard;
    }
    return newest;
}

bool FleetView::hearsNobodyOfZone(Base::TimePoint now) const
{
    const bool isAnyHeard = std::ranges::any_of(m_hosts, [&](const auto &it) {
        return it.second.report.self.zone == m_zone && isAlive(it.second, now);
    });
    return !isAnyHeard && !receiversOf(m_zone).empty();
}

void FleetView::updateGathering(Base::TimePoint now)
{
    if (!isLarge() || !isLeader(now) || hearsNobodyOfZone(now)) {
        m_gathersUntil = now + gatherFor;
        return;
    }
    m_gathersUntil = std::min(m_gathersUntil, now + gatherFor);
    if (now < m_gathersUntil)
        return;
    std::erase_if(m_summaries,
                  [](const auto &it) { return it.second.report.scope == ReportScope::Fleet; });
}

std::optional<Base::Duration> FleetView::newestReportAge(Base::TimePoint now) const
{
    std::optional<Base::Duration> age;
    for (const auto &[host, heard] : m_hosts) {
        if (!age || now - heard.at < *age)
            age = now - heard.at;
    }
    return age;
}

void FleetView::sumUp(Base::TimePoint now)
{
    updateGathering(now);
    Routing::HostLoad sum;
    if (const Heard *fleet = fleetReport(now)) {
        sum = fleet->report.load;
        const auto echo = fleet->report.echoes.find(m_self);
        // The sum has this host's own work as of the report that the leader echoes.
        for (const Sent &it : m_sent) {
            if (echo != fleet->report.echoes.end() && it.sequence == echo->second)
                subtractLoad(sum, it.load);
        }
    } else {
        for (const auto &[host, heard] : m_hosts) {
            if (isAlive(heard, now) && heard.report.self.zone == m_zone
                && heard.report.scope == ReportScope::Host)
                addLoad(sum, heard.report.load);
        }
        addOtherZones(sum, now);
    }
    m_others.servers = std::move(sum.servers);
    m_others.asked = std::move(sum.asked);
    m_others.received = std::move(sum.received);
    m_others.begun = std::move(sum.begun);
    m_others.askedSeconds = sum.askedSeconds;
    m_others.hosts = liveHosts(now);
}

void FleetView::addPassedOn(HostReport &report)
{
    if (report.scope == ReportScope::Host)
        return;
    std::vector<Routing::PartUse> &uses =
        report.scope == ReportScope::Zone ? m_usesForLeaders : m_usesForZone;
    report.load.partUses.insert(report.load.partUses.end(), uses.begin(), uses.end());
    uses.clear();
}

} // namespace Gateway
