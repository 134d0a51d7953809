#include "gateway/fleetview.h"

#include <tuple>

namespace Gateway {

namespace {

/// Reports come five times a second on a small fleet; three and more in a row are not lost by
/// chance, and a host that is down must leave the list before many callers try it.
constexpr Base::Duration aliveFor = std::chrono::milliseconds(1400);
/// A host that is down or cut off is sent reports for this long after it was last heard of or
/// listed in the store.
constexpr Base::Duration reportFor = std::chrono::seconds(20);

} // namespace

void FleetView::learn(const std::vector<HostRow> &hosts, Base::TimePoint now)
{
    for (const HostRow &row : hosts) {
        if (row.host == m_self)
            continue;
        learnAddress(row.peerAddress, now);
    }
}

void FleetView::learnAddress(const std::string &peerAddress, Base::TimePoint now)
{
    m_receivers[peerAddress] = now + reportFor;
}

void FleetView::receive(const HostReport &report, Base::TimePoint now)
{
    if (report.host == m_self)
        return;
    const auto it = m_hosts.find(report.host);
    const auto age = [](const HostReport &of) { return std::tie(of.incarnation, of.sequence); };
    if (it != m_hosts.end() && age(report) <= age(it->second.report))
        return;
    m_hosts[report.host] = {report, now};
    learnAddress(report.peerAddress, now);
}

void FleetView::advance(Base::TimePoint now)
{
    std::erase_if(m_receivers, [now](const auto &it) { return now >= it.second; });
    std::erase_if(m_hosts, [now](const auto &it) { return now - it.second.heardAt >= reportFor; });
}

std::vector<std::string> FleetView::receivers() const
{
    std::vector<std::string> addresses;
    for (const auto &[address, until] : m_receivers)
        addresses.push_back(address);
    return addresses;
}

std::vector<std::string> FleetView::servingAddresses(Base::TimePoint now) const
{
    std::vector<std::string> serving;
    std::vector<std::string> alive;
    for (const auto &[host, other] : m_hosts) {
        if (!isAlive(other, now) || other.report.isLeaving)
            continue;
        alive.push_back(other.report.callerAddress);
        if (other.report.isServing)
            serving.push_back(other.report.callerAddress);
    }
    return serving.empty() ? alive : serving;
}

std::size_t FleetView::liveHosts(Base::TimePoint now) const
{
    std::size_t n = 1;
    for (const auto &[host, other] : m_hosts) {
        if (isAlive(other, now))
            ++n;
    }
    return n;
}

void FleetView::sumUp(Base::TimePoint now)
{
    m_others = {};
    m_others.hosts = liveHosts(now);
    for (const auto &[host, other] : m_hosts) {
        if (!isAlive(other, now))
            continue;
        for (const auto &[server, load] : other.report.load.servers) {
            Routing::ServerLoad &sum = m_others.servers[server];
            sum.running += load.running;
            sum.unreadTokens += load.unreadTokens;
        }
        for (const auto &[customer, amount] : other.report.load.asked)
            m_others.asked[customer] += amount;
        for (const auto &[customer, amount] : other.report.load.received)
            m_others.received[customer] += amount;
    }
}

bool FleetView::isAlive(const Other &other, Base::TimePoint now) const
{
    return now - other.heardAt < aliveFor;
}

} // namespace Gateway
