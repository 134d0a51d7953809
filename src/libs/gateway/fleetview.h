#pragma once

#include "base/time.h"
#include "gateway/fleetdigest.h"
#include "gateway/hostreport.h"
#include "gateway/storeprotocol.h"
#include "routing/fleetload.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Gateway {

/// A report that is due: its scope and the addresses that it is sent to.
struct DueReport
{
    ReportScope scope = ReportScope::Host;
    std::vector<std::string> receivers;
};

/// This host's view of the other gateway hosts: which of them are alive, where callers reach them,
/// and what work they have at the backend servers. Has no sockets.
///
/// The store lists the hosts that may exist; their reports show which of them are alive. A host
/// that has been silent for 1.4 s is not named to callers and its load is not counted. It is still
/// sent reports for 45 s, so that both ends of a broken link find each other again.
///
/// In a small fleet each host reports to every other host. In a larger fleet this would take
/// thousands of datagrams a second, so the hosts of an availability zone report to one of them, the
/// zone's leader. Leaders exchange summaries of their zones and send the summary of the fleet to
/// the hosts of their own zone. In a very large fleet, that summary names the essential hosts only,
/// and hosts that forward nothing get it without the loads. The leader also reads the store for its
/// zone, so that the number of store calls does not grow with the number of hosts. The leader is
/// the first live host by name among those whose calls the store accepts. When the leader changes,
/// the hosts of its zone use the last summary until the new leader has received reports from all of
/// them.
class FleetView
{
public:
    FleetView(const Base::HostId &self, const Base::ZoneId &zone)
        : m_self(self)
        , m_zone(zone)
    {}

    /// Adds the hosts that the store lists to the receivers of reports.
    void addHostRows(const std::vector<HostRow> &hosts, Base::TimePoint now);
    /// Adds a receiver of reports whose availability zone is not known yet.
    void addAddress(const std::string &peerAddress, Base::TimePoint now);
    /// Takes in a report of another host. Returns false if the report is this host's own or not
    /// newer than the last one of its sender.
    bool receive(const HostReport &report, Base::TimePoint now);
    /// Returns whether \a report is the first one of its sender, or of a new start of it.
    bool isNewStart(const HostReport &report) const;
    /// Forgets hosts, summaries and receivers that are too old.
    void advance(Base::TimePoint now);
    /// This host is leaving: it does not lead its zone any more, and reports to all hosts for a
    /// while.
    void setLeaving(Base::TimePoint now);
    /// Sets whether this host cannot rely on the store now (StoreReplica::isStoreLost()).
    void setStoreLost(bool isLost, Base::TimePoint now);

    /// Returns the zone of a receiver of reports; an empty one if it is not known.
    Base::ZoneId zoneOf(const std::string &peerAddress) const;
    /// Whether reports go through leaders and cover all hosts. In a small fleet a host only
    /// receives reports of hosts that it has found or that have found it.
    bool isLarge() const { return m_receivers.size() >= largeFleetHosts; }
    /// Whether there are so many hosts that only leaders know all of them, and other hosts must not
    /// all turn to one host or to the store at the same moment.
    bool isVeryLarge() const { return possibleHosts() > veryLargeFleetHosts; }
    /// Whether the leader of this zone sends the loads of all hosts to this one, since it forwards
    /// requests or callers may be told of it.
    bool receivesLoads(Base::TimePoint now) const;
    /// Whether this host is the first one by name of the hosts of its zone that may be running.
    bool isFirstOfZone(Base::TimePoint now) const;
    /// Returns the peer address of the host to ask for a whole copy of the store's data. This is
    /// \a announcer, which has told of newer data, or, if that is empty, the host that leads this
    /// zone or may do so. In a very large fleet, if \a inTurns, it is the host of this zone from
    /// which this one takes copies, so that each host hands them to a few others only. Empty if no
    /// host is known.
    std::string copySource(const std::string &announcer, bool inTurns, Base::TimePoint now) const;
    /// Whether this host is the leader of its zone.
    bool isLeader(Base::TimePoint now) const;
    /// Whether this host is the first one by its zone and its name among those that may decide for
    /// the whole fleet: the leaders of zones, or all hosts of a small fleet. Hosts may disagree for
    /// some seconds.
    bool isFirstLeader(Base::TimePoint now) const;
    /// Returns the reports that this host sends in one report interval.
    std::vector<DueReport> dueReports(Base::TimePoint now) const;
    /// Adds what a report of its scope to \a receivers has beyond the sender's own data: members,
    /// echoes and loads of other hosts.
    void addOtherHosts(HostReport &report, const std::vector<std::string> &receivers,
                       Base::TimePoint now) const;
    /// Records that this host's own load was sent in the report with \a sequence.
    void recordSentReport(std::uint64_t sequence, const Routing::HostLoad &load,
                          Base::TimePoint now);
    /// Returns when this host sent the report that \a report echoes; empty if \a report echoes none
    /// or one that is no longer remembered.
    std::optional<Base::TimePoint> echoedSendTime(const HostReport &report) const;

    /// Returns a time at or after which each other host that may be running has reported that it
    /// knows the servers of \a fingerprint. Empty if there is none, if this host knows no other
    /// one, and in a large fleet, where reports of hosts are summed up.
    std::optional<Base::TimePoint> agreedSince(std::uint64_t fingerprint,
                                               Base::TimePoint now) const;

    /// Returns the other hosts that are alive, serve and are not leaving. If none of them serves,
    /// returns all that are alive and not leaving.
    std::vector<MemberState> servingMembers(Base::TimePoint now) const;
    /// Returns the number of live hosts, including this one.
    std::size_t liveHosts(Base::TimePoint now) const;
    /// Returns the age of the newest report of another host; empty if there is none.
    std::optional<Base::Duration> newestReportAge(Base::TimePoint now) const;
    /// Returns the other hosts of this zone that are alive and not leaving.
    std::vector<MemberState> membersOfZone(Base::TimePoint now) const;
    /// Returns the load of all other live hosts as of the last updateTotals().
    const Routing::PeerLoad &others() const { return m_others; }
    /// Recomputes others() from the loads of the hosts that are alive.
    void updateTotals(Base::TimePoint now);
    /// Adds the uses of prompt parts that a leader relays with a report of this scope. Each use is
    /// relayed once per scope.
    void addRelayedUses(HostReport &report);

private:
    struct ReceivedReport
    {
        HostReport report;
        Base::TimePoint at;
    };
    struct Receiver
    {
        /// Both are empty if they are not known.
        Base::HostId host;
        Base::ZoneId zone;
        Base::TimePoint until;
        /// The time since which the receiver is known.
        Base::TimePoint since;
    };
    struct SentReport
    {
        std::uint64_t sequence = 0;
        Base::TimePoint at;
        Routing::HostLoad load;
    };

    /// Whether \a latest was received within the liveness timeout.
    bool isAlive(const ReceivedReport &latest, Base::TimePoint now) const;
    /// Whether a report of \a host itself was received within the liveness timeout.
    bool hasRecentReport(const Base::HostId &host, Base::TimePoint now) const;
    /// Returns all other hosts that are alive and known, by their own reports or by those of a
    /// leader. The result is valid until the next report is received.
    const Members &liveMembers(Base::TimePoint now) const;
    Members computeLiveMembers(Base::TimePoint now) const;
    /// Adds to a summary how many hosts there are, and which.
    void addMembers(HostReport &report, Base::TimePoint now) const;
    /// Returns the number of hosts that may be running, including this one.
    std::size_t possibleHosts() const;
    /// Parts the hosts of this zone into those that need the loads of all hosts, because they
    /// forward requests or callers may be told of them, and the others.
    std::vector<DueReport> fleetReports(Base::TimePoint now) const;
    /// Returns the leader of \a zone: the first host by name of those that reach the store, or of
    /// all hosts if none reaches it. Empty if this host is the leader, or no other host of the zone
    /// is known to be alive.
    std::optional<MemberState> leaderOf(const Base::ZoneId &zone, Base::TimePoint now) const;
    /// Returns the peer addresses of the receivers in \a zone, and of those whose zone is not
    /// known.
    std::vector<std::string> receiversIn(const Base::ZoneId &zone) const;
    std::vector<std::string> allReceivers() const;
    void addReceiver(const std::string &peerAddress, const Base::HostId &host,
                     const Base::ZoneId &zone, Base::TimePoint now);
    /// Returns the receivers of a report by which hosts find out who leads their zone, and that a
    /// leader has changed. In a small fleet these are all. In a very large one they are the first
    /// few hosts by name of this zone, unless they are silent, and if this host is one of them,
    /// also all hosts of its zone and the first few of the others: if all hosts that start together
    /// reported to all, the datagrams would grow with the square of the fleet.
    std::vector<std::string> announceReceivers(Base::TimePoint now) const;
    /// Returns the first few hosts by name of each zone that may be running, with this one.
    std::map<Base::ZoneId, std::vector<std::pair<Base::HostId, std::string>>>
    likelyLeaders(Base::TimePoint now) const;
    /// Whether other hosts of this zone may exist, but none of them has reported within the
    /// liveness timeout.
    bool isCutOffFromZone(Base::TimePoint now) const;
    /// Postpones this host's summaries until it has been the leader long enough to receive the
    /// reports of its zone. From then on it discards the fleet reports of former leaders.
    void updateGatherPeriod(Base::TimePoint now);
    /// Returns the newest report on the fleet from a leader of this zone. Null if there is no
    /// recent one, or if this host is the leader and has gathered the reports of its zone.
    const ReceivedReport *newestFleetReport(Base::TimePoint now) const;
    /// Returns the newest report on each zone from its leader.
    std::map<Base::ZoneId, const ReceivedReport *> newestZoneReports(Base::TimePoint now) const;
    /// Adds the work of all other zones to \a sum, counting each host once: by the report of the
    /// zone's leader, or else by the reports of the zone's hosts.
    void addOtherZones(Routing::HostLoad &sum, Base::TimePoint now) const;

    /// Reports are sent five times a second. Three or more in a row are not lost by chance, and a
    /// host that is down must leave the entry list before many callers try it.
    static constexpr Base::Duration livenessTimeout = std::chrono::milliseconds(1400);
    /// Number of known other hosts from which on reports go through leaders.
    static constexpr std::size_t largeFleetHosts = 12;
    /// Number of known other hosts up to which an announcement goes to all.
    static constexpr std::size_t maxAnnounceReceivers = 96;
    /// Number of hosts that may be running from which on isVeryLarge().
    static constexpr std::size_t veryLargeFleetHosts = 320;
    /// Number of hosts of a zone that are taken for its next leaders. The leader is mostly the
    /// first one, and several of them may be lost at the same moment.
    static constexpr std::size_t likelyLeadersOfZone = 4;
    /// Number of the first hosts of a zone by name that take whole copies of the store's data from
    /// its leader.
    static constexpr std::size_t copiesOfLeader = 8;
    /// Number of hosts that get the same digest. It echoes the reports of these hosts only, so that
    /// its size does not grow with the zone.
    static constexpr std::size_t receiversOfDigest = 16;

    Base::HostId m_self;
    Base::ZoneId m_zone;
    bool m_isLeaving = false;
    bool m_isStoreLost = false;
    /// Before this time, this host reports to all hosts if it does not lead its zone.
    Base::TimePoint m_announceUntil = Base::TimePoint::min();
    /// While this host is the leader, it sends no summaries before this time.
    Base::TimePoint m_gatherUntil = Base::TimePoint::max();
    /// Time of the cached answer of isLeader(), and the answer.
    mutable Base::TimePoint m_leaderCheckedAt = Base::TimePoint::min();
    mutable bool m_isCachedLeader = true;
    /// The members as of a time and of the last change of reports.
    mutable Members m_cachedMembers;
    mutable std::optional<Base::TimePoint> m_membersCachedAt;
    /// The essential ones of these members, for reports on a very large fleet.
    mutable std::optional<std::vector<MemberState>> m_cachedEssentials;
    /// The last report of each other host, of any scope.
    std::map<Base::HostId, ReceivedReport> m_hosts;
    /// The last report on a zone or on the fleet from each host that has sent one.
    std::map<Base::HostId, ReceivedReport> m_summaries;
    /// The hosts that reports are sent to, by peer address.
    std::map<std::string, Receiver> m_receivers;
    std::deque<SentReport> m_sentReports;
    /// Uses of prompt parts reported by hosts of this zone, to be relayed to the other leaders.
    std::vector<Routing::PartUse> m_usesForLeaders;
    /// Uses of prompt parts reported by any host, to be relayed to the hosts of this zone.
    std::vector<Routing::PartUse> m_usesForZone;
    Routing::PeerLoad m_others;
};

} // namespace Gateway
