#include "gateway/entryhostselector.h"

#include <algorithm>
#include <utility>

namespace Gateway {

void EntryBoard::update(const std::vector<MemberState> &others, const MemberState &self,
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

std::vector<std::string> EntryBoard::addresses() const
{
    std::vector<std::string> addresses;
    for (const Routing::EntryHost &it : m_selection.chosen())
        addresses.push_back(it.address);
    return addresses;
}

double EntryBoard::trafficShare(const Base::HostId &self, Base::TimePoint now) const
{
    // Half by what is forwarded: callers may stay with a host that is not named to them. Half in
    // equal parts to the hosts that are named, since those get what is to come.
    const double named = static_cast<double>(m_selection.chosen().size());
    const double ofNamed = m_selection.isChosen(self) ? 1.0 / named : 0.0;
    if (m_fleetLoad <= 0)
        return ofNamed;
    const double ofLoad = std::min(1.0, load(now) / m_fleetLoad);
    return (ofLoad + ofNamed) / 2;
}

} // namespace Gateway
