#pragma once

#include "base/time.h"
#include "gateway/hostreport.h"
#include "gateway/storeprotocol.h"
#include "routing/fleetload.h"

#include <map>
#include <string>
#include <vector>

namespace Gateway {

/// The other gateway hosts as this one knows them: who is alive, where callers reach them, and
/// what work they have at the backend servers. Has no sockets.
///
/// The store tells who may be there, reports tell who is. A host that is silent for a second is
/// not named to callers and its load is not counted; it is still sent reports for a while, so
/// that both ends of a cut link find each other again.
class FleetView
{
public:
    explicit FleetView(const Base::HostId &self)
        : m_self(self)
    {}

    /// Rows of the store: hosts to send reports to.
    void learn(const std::vector<HostRow> &hosts, Base::TimePoint now);
    /// An address that may be a host's.
    void learnAddress(const std::string &peerAddress, Base::TimePoint now);
    void receive(const HostReport &report, Base::TimePoint now);
    void advance(Base::TimePoint now);

    /// Where reports go.
    std::vector<std::string> receivers() const;
    /// Callers' addresses of the other hosts that are alive, serve, and do not leave; of all
    /// that are alive and do not leave if none of them serves.
    std::vector<std::string> servingAddresses(Base::TimePoint now) const;
    std::size_t liveHosts(Base::TimePoint now) const;
    const Routing::OthersLoad &others() const { return m_others; }
    /// Sums up the loads of the hosts that are alive.
    void sumUp(Base::TimePoint now);

private:
    struct Other
    {
        HostReport report;
        Base::TimePoint heardAt;
    };

    bool isAlive(const Other &other, Base::TimePoint now) const;

    Base::HostId m_self;
    std::map<Base::HostId, Other> m_hosts;
    /// Until when reports are sent to an address.
    std::map<std::string, Base::TimePoint> m_receivers;
    Routing::OthersLoad m_others;
};

} // namespace Gateway
