#pragma once

#include "base/time.h"
#include "gateway/hostreport.h"
#include "routing/entryselection.h"
#include "routing/forwardingmeter.h"
#include "routing/residency.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace Gateway {

/// Selects the entry hosts, which are the hosts that callers are told to use, and computes this
/// host's share of the fleet's traffic.
///
/// Each region has entry hosts of its own: callers in another region would send every request and
/// get every event over the link between the regions, and a request may have to stay in its
/// caller's region.
class EntryHostSelector
{
public:
    explicit EntryHostSelector(Routing::ZoneRegions zones)
        : m_zones(std::move(zones))
    {}

    void setCostFactor(double factor) { m_forwarding.setCostFactor(factor); }
    void addRequest(Base::TimePoint now) { m_forwarding.addRequest(now); }
    void addEvents(std::size_t count, Base::TimePoint now) { m_forwarding.addEvents(count, now); }
    /// Returns the processor time that this host's forwarding takes.
    Routing::MilliCores load(Base::TimePoint now) const { return m_forwarding.load(now); }

    /// Updates the selection. \a others are the hosts that may be named besides \a self, which is
    /// this host.
    void update(const std::vector<MemberState> &others, const MemberState &self,
                Base::TimePoint now);
    /// Returns the selected addresses for callers in \a region as "IP:PORT", in the order of
    /// preference: those of the region, or else of the regions that \a residency allows, or else
    /// all.
    std::vector<std::string> addresses(const Base::RegionId &region,
                                       const Routing::Residency &residency) const;
    /// Returns this host's present or expected share of the fleet's traffic, from 0 to 1.
    double trafficShare(const Base::HostId &self, Base::TimePoint now) const;

private:
    /// Returns the number of selected hosts of all regions.
    std::size_t selectedHosts() const;
    bool isSelected(const Base::HostId &host) const;

    Routing::ZoneRegions m_zones;
    std::map<Base::RegionId, Routing::EntrySelection> m_selections;
    Routing::ForwardingMeter m_forwarding;
    /// Total load of the forwarding of all hosts.
    double m_fleetLoad = 0;
};

} // namespace Gateway
