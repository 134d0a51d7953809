#include "gateway/entryhostselector.h"

#include <algorithm>
#include <utility>

namespace Gateway {

void EntryHostSelector::update(const std::vector<MemberState> &others, const MemberState &self,
                               Base::TimePoint now)
{
    std::vector<MemberState> members = others;
    if (self.isServing || (members.empty() && !self.isLeaving))
        members.push_back(self);
    std::map<Base::RegionId, std::vector<Routing::EntryHost>> hosts;
    // A region whose hosts are all lost has no entry hosts.
    for (const auto &[region, selection] : m_selections)
        hosts[region];
    m_fleetLoad = 0;
    for (const MemberState &it : members) {
        hosts[m_zones.regionOf(it.zone)].push_back(
            {it.host, it.zone, it.callerAddress, it.capacity, it.load});
        m_fleetLoad += it.load;
    }
    for (auto &[region, ofRegion] : hosts)
        m_selections[region].update(std::move(ofRegion), now);
}

std::vector<std::string> EntryHostSelector::addresses(const Base::RegionId &region,
                                                      const Routing::Residency &residency) const
{
    std::vector<std::string> own;
    std::vector<std::string> allowed;
    std::vector<std::string> all;
    for (const auto &[it, selection] : m_selections) {
        for (const Routing::EntryHost &host : selection.chosen()) {
            if (it == region)
                own.push_back(host.address);
            if (residency.allows(it))
                allowed.push_back(host.address);
            all.push_back(host.address);
        }
    }
    if (!own.empty())
        return own;
    return allowed.empty() ? all : allowed;
}

std::size_t EntryHostSelector::selectedHosts() const
{
    std::size_t n = 0;
    for (const auto &[region, selection] : m_selections)
        n += selection.chosen().size();
    return n;
}

bool EntryHostSelector::isSelected(const Base::HostId &host) const
{
    return std::ranges::any_of(m_selections,
                               [&](const auto &it) { return it.second.isChosen(host); });
}

double EntryHostSelector::trafficShare(const Base::HostId &self, Base::TimePoint now) const
{
    // One half of the share follows the forwarded traffic, since callers may stay with a host that
    // is not named to them. The other half is the same for all named hosts, since they get the
    // traffic to come.
    const double namedHosts = static_cast<double>(selectedHosts());
    const double namedShare = isSelected(self) ? 1.0 / namedHosts : 0.0;
    if (m_fleetLoad <= 0)
        return namedShare;
    const double loadShare = std::min(1.0, load(now) / m_fleetLoad);
    return (loadShare + namedShare) / 2;
}

} // namespace Gateway
