#pragma once

#include "base/time.h"
#include "gateway/hostreport.h"
#include "gateway/storeprotocol.h"
#include "routing/fleetload.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Gateway {

/// A report that is due: to whom and of whose work.
struct ReportOrder
{
    ReportScope scope = ReportScope::Host;
    std::vector<std::string> receivers;
};

/// The other gateway hosts as this one knows them: who is alive, where callers reach them, and
/// what work they have at the backend servers. Has no sockets.
///
/// The store tells who may be there, reports tell who is. A host that is silent for a second is
/// not named to callers and its load is not counted; it is still sent reports for a while, so
/// that both ends of a cut link find each other again.
///
/// On a small fleet each host reports to each other one. On a larger one that would be thousands
/// of datagrams a second, so the hosts of a zone report to one of them, its leader; leaders tell
/// each other of their zones, and their zones of the fleet. The leader also reads the store for its
/// zone, so that calls to it do not grow with the hosts. It is the first live host by name that the
/// store takes calls of. When another one leads, the hosts of its zone go on with the last sums
/// until it has heard of them all.
class FleetView
{
public:
    FleetView(const Base::HostId &self, const Base::ZoneId &zone)
        : m_self(self)
        , m_zone(zone)
    {}

    /// Rows of the store: hosts to send reports to.
    void learn(const std::vector<HostRow> &hosts, Base::TimePoint now);
    /// An address that may be a host's, of a zone that is not known.
    void learnAddress(const std::string &peerAddress, Base::TimePoint now);
    /// False if it is this host's own or older than one already received.
    bool receive(const HostReport &report, Base::TimePoint now);
    void advance(Base::TimePoint now);
    void setLeaving(Base::TimePoint now);
    /// Whether this host's last call to the store failed.
    void setStoreLost(bool isLost, Base::TimePoint now);

    /// Whether reports go through leaders, and tell of all hosts. On a small fleet a host hears
    /// only of those that it has found, or that have found it.
    bool isLarge() const { return m_receivers.size() >= largeFleet; }
    /// Whether this host leads its zone.
    bool isLeader(Base::TimePoint now) const;
    std::vector<ReportOrder> dueReports(Base::TimePoint now) const;
    /// Fills in what a report of \a scope has beyond the sender's own: members, echoes, loads.
    void addOthers(HostReport &report, Base::TimePoint now) const;
    /// This host's own load was sent under \a sequence.
    void reported(std::uint64_t sequence, const Routing::HostLoad &load, Base::TimePoint now);
    /// When the report that \a report echoes was sent; empty if it echoes none that is remembered.
    std::optional<Base::TimePoint> echoedAt(const HostReport &report) const;

    /// The other hosts that are alive, serve, and do not leave; all that are alive and do not
    /// leave if none of them serves.
    std::vector<MemberState> servingMembers(Base::TimePoint now) const;
    std::size_t liveHosts(Base::TimePoint now) const;
    /// Age of the newest report of another host; empty if there is none.
    std::optional<Base::Duration> newestReportAge(Base::TimePoint now) const;
    /// The other hosts of this zone that are alive and do not leave.
    std::vector<MemberState> membersOfZone(Base::TimePoint now) const;
    const Routing::PeerLoad &others() const { return m_others; }
    /// Sums up the loads of the hosts that are alive.
    void sumUp(Base::TimePoint now);
    /// Adds the uses of prompt parts that a leader passes on with a report of this scope, once.
    void addPassedOn(HostReport &report);

private:
    struct Heard
    {
        HostReport report;
        Base::TimePoint at;
    };
    struct Receiver
    {
        /// Empty if it is not known.
        Base::ZoneId zone;
        Base::TimePoint until;
    };
    struct Sent
    {
        std::uint64_t sequence = 0;
        Base::TimePoint at;
        Routing::HostLoad load;
    };

    bool isAlive(const Heard &heard, Base::TimePoint now) const;
    /// Whether \a host itself was heard of late.
    bool isHeard(const Base::HostId &host, Base::TimePoint now) const;
    /// All other hosts that are alive, heard of directly or through a leader.
    std::map<Base::HostId, MemberState> liveMembers(Base::TimePoint now) const;
    /// The first host by name of those that reach the store, or of all if none does. Empty if no
    /// other host of the zone is known to be alive, or this one leads.
    std::optional<MemberState> leaderOf(const Base::ZoneId &zone, Base::TimePoint now) const;
    std::vector<std::string> receiversOf(const Base::ZoneId &zone) const;
    std::vector<std::string> allReceivers() const;
    /// Whether other hosts of this zone are known, but none was heard of late.
    bool hearsNobodyOfZone(Base::TimePoint now) const;
    /// Puts off telling sums until this host leads and has had time to hear its zone; from then on
    /// it needs no former leader's.
    void updateGathering(Base::TimePoint now);
    /// The fleet's load as a leader of this zone told it last, if lately; null if none did, or this
    /// host leads and has reports of its zone.
    const Heard *fleetReport(Base::TimePoint now) const;
    /// The newest sum of each zone that a leader told of.
    std::map<Base::ZoneId, const Heard *> zoneReports(Base::TimePoint now) const;
    /// Adds the work of all other zones, each host's once: what its zone's leader told, or what the
    /// hosts of the zone did if none has told.
    void addOtherZones(Routing::HostLoad &sum, Base::TimePoint now) const;

    /// From this many other hosts on, reports go through leaders.
    static constexpr std::size_t largeFleet = 12;

    Base::HostId m_self;
    Base::ZoneId m_zone;
    bool m_isLeaving = false;
    bool m_isStoreLost = false;
    Base::TimePoint m_announceUntil = Base::TimePoint::min();
    /// Leading, this host does not tell sums until then.
    Base::TimePoint m_gathersUntil = Base::TimePoint::max();
    mutable Base::TimePoint m_isLeaderAt = Base::TimePoint::min();
    mutable bool m_wasLeader = true;
    std::map<Base::HostId, Heard> m_hosts;
    /// The last report of a zone or the fleet of each host that sent one.
    std::map<Base::HostId, Heard> m_summaries;
    std::map<std::string, Receiver> m_receivers;
    std::deque<Sent> m_sent;
    /// Heard from hosts of this zone; other leaders are still to be told.
    std::vector<Routing::PartUse> m_usesForLeaders;
    /// Heard from anybody; the hosts of this zone are still to be told.
    std::vector<Routing::PartUse> m_usesForZone;
    Routing::PeerLoad m_others;
};

} // namespace Gateway
