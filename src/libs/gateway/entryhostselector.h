#pragma once

#include "base/time.h"
#include "gateway/hostreport.h"
#include "routing/entryselection.h"
#include "routing/forwardingmeter.h"

#include <string>
#include <vector>

namespace Gateway {

/// Selects the entry hosts, which are the hosts that callers are told to use, and computes this
/// host's share of the fleet's traffic.
class EntryHostSelector
{
public:
    void setCostFactor(double factor) { m_forwarding.setCostFactor(factor); }
    void addRequest(Base::TimePoint now) { m_forwarding.addRequest(now); }
    void addEvents(std::size_t count, Base::TimePoint now) { m_forwarding.addEvents(count, now); }
    /// Returns the processor time that this host's forwarding takes.
    Routing::MilliCores load(Base::TimePoint now) const { return m_forwarding.load(now); }

    /// Updates the selection. \a others are the hosts that may be named besides \a self, which is
    /// this host.
    void update(const std::vector<MemberState> &others, const MemberState &self,
                Base::TimePoint now);
    /// Returns the selected addresses as "IP:PORT", in the order of preference.
    std::vector<std::string> addresses() const;
    /// Returns this host's present or expected share of the fleet's traffic, from 0 to 1.
    double trafficShare(const Base::HostId &self, Base::TimePoint now) const;

private:
    Routing::EntrySelection m_selection;
    Routing::ForwardingMeter m_forwarding;
    /// Total load of the forwarding of all hosts.
    double m_fleetLoad = 0;
};

} // namespace Gateway
