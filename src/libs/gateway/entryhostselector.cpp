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
    std::vector<Routing::EntryHost> hosts;
    hosts.reserve(members.size());
    m_fleetLoad = 0;
    for (const MemberState &it : members) {
        hosts.push_back({it.host, it.zone, it.callerAddress, it.capacity, it.load});
        m_fleetLoad += it.load;
    }
    m_selection.update(std::move(hosts), now);
}

std::vector<std::string> EntryHostSelector::addresses() const
{
    std::vector<std::string> addresses;
    for (const Routing::EntryHost &it : m_selection.chosen())
        addresses.push_back(it.address);
    return addresses;
}

double EntryHostSelector::trafficShare(const Base::HostId &self, Base::TimePoint now) const
{
    // One half of the share follows the forwarded traffic, since callers may stay with a host that
    // is not named to them. The other half is the same for all named hosts, since they get the
    // traffic to come.
    const double namedHosts = static_cast<double>(m_selection.chosen().size());
    const double namedShare = m_selection.isChosen(self) ? 1.0 / namedHosts : 0.0;
    if (m_fleetLoad <= 0)
        return namedShare;
    const double loadShare = std::min(1.0, load(now) / m_fleetLoad);
    return (loadShare + namedShare) / 2;
}

} // namespace Gateway
