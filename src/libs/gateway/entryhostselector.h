#pragma once

#include "base/time.h"
#include "gateway/hostreport.h"
#include "routing/entryselection.h"
#include "routing/forwardingmeter.h"

#include <string>
#include <vector>

namespace Gateway {

/// Which hosts callers are told of, and what part of the fleet's traffic is this host's.
class EntryBoard
{
public:
    void setCostFactor(double factor) { m_forwarding.setCostFactor(factor); }
    void addRequest(Base::TimePoint now) { m_forwarding.addRequest(now); }
    void addEvents(std::size_t count, Base::TimePoint now) { m_forwarding.addEvents(count, now); }
    /// What this host's forwarding takes of its processor.
    Routing::MilliCores load(Base::TimePoint now) const { return m_forwarding.load(now); }

    /// \a others are those that may be named beside \a self, this host.
    void update(const std::vector<MemberState> &others, const MemberState &self,
                Base::TimePoint now);
    /// "IP:PORT" for callers, in the order of preference.
    std::vector<std::string> addresses() const;
    /// Part of the fleet's traffic that is this host's, or may soon be, 0 to 1.
    double trafficShare(const Base::HostId &self, Base::TimePoint now) const;

private:
    Routing::EntrySelection m_selection;
    Routing::ForwardingMeter m_forwarding;
    /// What the forwarding of all hosts takes.
    double m_fleetLoad = 0;
};

} // namespace Gateway
