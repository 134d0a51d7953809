#pragma once

#include "base/result.h"
#include "gateway/fleetview.h"
#include "gateway/gatewaysettings.h"
#include "gateway/httplistener.h"
#include "gateway/storeclient.h"
#include "gateway/storecopyclient.h"
#include "gateway/storecopyhandler.h"
#include "gateway/storeintervals.h"
#include "routing/configurationlease.h"
#include "routing/serverset.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Gateway {

class EventLog;

/// Is notified of changes in a StoreReplica.
class StoreReplicaListener
{
public:
    virtual ~StoreReplicaListener() = default;
    /// A newer configuration is in force.
    virtual void configurationApplied() = 0;
    /// Servers came or went. If \a notifiesZone, this host has read the change from the store
    /// itself, and the other hosts of its zone should be notified at once.
    virtual void serversChanged(const Routing::ServerChanges &changes, bool notifiesZone) = 0;
    /// This host has read from the store that servers of these versions leave.
    virtual void leavingVersionsRead(const Routing::ServerVersions &versions) = 0;
    /// Another host has told which versions have served, with the list of servers, which counts as
    /// current until \a currentUntil.
    virtual void versionsCopied(const std::vector<Routing::VersionAge> &versions,
                                Base::TimePoint currentUntil) = 0;
    /// Returns which versions have served, for a copy; empty if this host does not know them all.
    virtual std::optional<std::vector<Routing::VersionAge>> knownVersions() const = 0;
    /// The slots and warm-up times of servers may have changed. No server came or went by this
    /// call.
    virtual void serversRead() = 0;
    /// The set of server entries that cannot be read has changed.
    virtual void unreadableEntriesChanged(const std::set<std::string> &entries) = 0;
    /// The operator has evacuated zones or taken evacuations back.
    virtual void evacuationsChanged() = 0;
    /// The operator has ordered roll-outs or withdrawn orders, or it is known up to a newer version
    /// of the store what was ordered.
    virtual void rolloutOrdersChanged() = 0;
    /// A call of the store has ended; \a isGood unless it failed.
    virtual void storeCallFinished(const char *call, bool isGood) = 0;
};

/// This host's replica of the store's data: the configuration with its lease, and the backend
/// servers.
///
/// The data has three sources. The leader of the zone reads the store. The other hosts take proofs
/// that their data is current, and changes of servers, from the reports of hosts that read the
/// store. At a start, or when a report announces newer data, they fetch whole copies over HTTP from
/// the peer address of another host. A host that gets no copy asks the store.
///
/// Neither a copy nor a proof ever replaces newer data. Configurations are compared by their
/// versions, lists of servers by the store's version at their reading, and proofs by the time at
/// which the question was sent whose answer is the proof. \sa Routing::ConfigurationLease
class StoreReplica final : public StoreListener, public StoreCopyListener, public StoreCopySource
{
public:
    struct Dependencies
    {
        boost::asio::io_context &io;
        const StoreProtocol &protocol;
        FleetView &fleet;
        EventLog &log;
        std::string &readBuffer;
        CallerShare &callers;
        StoreReplicaListener &listener;
    };

    /// Creates a replica that listens on the peer address. Fails with CannotListen. The parts must
    /// outlive the replica.
    static Base::Result<std::unique_ptr<StoreReplica>> create(const GatewaySettings &settings,
                                                              const Dependencies &dependencies);

    /// Does the work that is due. Must be called every few tens of milliseconds.
    void advance(Base::TimePoint now);
    void checkConnections(Base::TimePoint now) { m_peerListener->checkTime(now); }
    /// Applies the bounds, which may change while the process runs.
    void applySettings(const GatewaySettings &settings);
    /// Prepares for this host's shutdown: removes its row from the store and closes peer
    /// connections after their next answer.
    void leave();

    const std::shared_ptr<const Routing::RouteTable> &table() const { return m_table; }
    /// Version of the configuration in force; 0 if there is none.
    std::uint64_t version() const { return m_table ? m_table->version() : 0; }
    const Routing::ServerSet &servers() const { return m_servers; }
    const Routing::ConfigurationLease &lease() const { return m_lease; }
    const Routing::EvacuatedZones &evacuatedZones() const { return m_evacuatedZones; }
    const Routing::RolloutOrders &rolloutOrders() const { return m_rolloutOrders; }
    /// Version of the store up to which it is known what the operator has set.
    std::uint64_t operatorVersion() const { return m_operatorVersion; }
    /// Version of the store at which the servers were listed.
    std::uint64_t serversVersion() const { return m_serversVersion; }
    /// Time of the question whose answer last proved to this host itself that the store's data is
    /// current; empty if it does not read the store.
    const std::optional<Base::TimePoint> &ownProofAt() const { return m_ownProofAt; }
    /// Returns the time at which this host's list of servers was last known to be that of the
    /// store, or the one that all hosts had.
    Base::TimePoint serversProvedAt(Base::TimePoint now) const;
    /// Returns until when this host's list of servers counts as current.
    Base::TimePoint serversCurrentUntil(Base::TimePoint now) const;
    /// Asks the store for a proof that this host's list of servers is that of \a time or later.
    void proveServers(Base::TimePoint time, Base::TimePoint now);
    /// Whether this host needs each change of the servers at once. In a very large fleet, a host
    /// that forwards nothing does not.
    bool hasUrgentNeedOfServers(Base::TimePoint now) const;
    /// Whether a configuration, the backend servers and the evacuated zones are known.
    bool isKnown() const { return m_table && m_servers.isKnown() && m_evacuatedZones.isKnown(); }
    /// Whether the store does not take this host's calls, or has come back so recently that entries
    /// may still be missing. Another host should then read the store for the zone.
    bool isStoreLost(Base::TimePoint now) const;
    /// Returns the state of the store's data for a report of this host.
    StoreState storeState(Base::TimePoint now) const;
    /// Takes in a report of another host: news of an outage of the store from any host, all other
    /// data only from hosts of this zone.
    void applyReport(const HostReport &report, Base::TimePoint now);

    void configurationRead(std::shared_ptr<const Routing::RouteTable> table,
                           const std::string &text) override;
    void configurationConfirmed(Base::TimePoint askedAt) override;
    void evacuationsRead(const std::set<Base::ZoneId> &zones, std::uint64_t version) override;
    void evacuationsChanged(const std::vector<Routing::EvacuationChange> &changes,
                            std::uint64_t version) override;
    void rolloutsRead(const std::vector<Routing::RolloutOrder> &orders,
                      std::uint64_t version) override;
    void rolloutsChanged(const std::vector<Routing::RolloutOrderChange> &changes,
                         std::uint64_t version) override;
    void operatorRead(std::uint64_t version) override;
    void serversRead(const std::vector<Routing::RegisteredServer> &servers,
                     Base::TimePoint askedAt) override;
    std::optional<ListedServers> knownServers() const override;
    void storeFailed() override;
    void unreadableEntriesChanged(const std::set<std::string> &entries) override;
    void storeCallFinished(const char *call, bool isGood) override;
    void hostsRead(const std::vector<HostRow> &hosts) override;
    std::vector<HostRow> rowsToRefresh() const override;

    void configurationCopied(const StoreCopy &copy, Base::TimePoint askedAt) override;
    void serversCopied(const HostReport &report, Base::TimePoint askedAt) override;
    void copyFailed(StoreData what) override;

    std::optional<StoreCopy> copyOf(StoreData what) override;

private:
    /// A report with all servers as it was encoded for other hosts.
    struct EncodedServers
    {
        Base::TimePoint at;
        std::uint64_t fingerprint = 0;
        std::uint64_t serversVersion = 0;
        std::uint64_t operatorVersion = 0;
        std::string report;
    };

    StoreReplica(const GatewaySettings &settings, const Dependencies &dependencies);
    Base::Result<void> listen(const Settings::Address &peerAddress);
    /// Returns for whom this host has to read the store now.
    StoreClient::ReaderRole readingDuty(Base::TimePoint now) const;
    /// Whether a host that has just started waits for a copy instead of asking the store.
    bool waitsForCopy(Base::TimePoint now) const;
    void setTable(std::shared_ptr<const Routing::RouteTable> table, const std::string &text);
    /// Takes the evacuated zones and ordered roll-outs that another host knows.
    std::optional<StoreCopy> configurationCopy() const;
    std::optional<StoreCopy> serversCopy();
    EncodedServers encodedServers(Base::TimePoint now) const;
    /// Schedules another request for a copy in place of a reading of the store. Returns false if
    /// the store is to be read, because there are few hosts or several requests have failed.
    bool retryCopy(StoreData what);
    /// Asks another host for a copy; \a announcer, if not empty, has told of newer data.
    void requestCopy(StoreData what, const std::string &announcer, Base::TimePoint earliestAt);
    void takeOrders(const StoreState &store);
    /// Adds the evacuated zones and ordered roll-outs that this host knows.
    void addOrders(StoreState &store) const;
    void logEvacuations();
    void logRollouts();
    /// Returns the changes that turn this host's servers into those of \a copy.
    std::vector<Routing::ServerChange>
    changesToReach(const std::vector<Routing::ServerChange> &copy) const;

    Dependencies m_dependencies;
    HostRow m_self;
    Base::Milliseconds m_keyRevocation;
    StoreIntervals m_times;
    ConnectionLimits m_limits;
    StoreClient m_store;
    StoreCopyClient m_copyClient;
    StoreCopyHandler m_handler;
    std::unique_ptr<HttpListener> m_peerListener;
    std::shared_ptr<const Routing::RouteTable> m_table;
    /// The store's answer that the table was read from.
    std::string m_tableText;
    Routing::ConfigurationLease m_lease;
    Routing::ServerSet m_servers;
    Routing::EvacuatedZones m_evacuatedZones;
    Routing::RolloutOrders m_rolloutOrders;
    std::uint64_t m_operatorVersion = 0;
    std::uint64_t m_serversVersion = 0;
    /// Version of the store whose servers this host knows from other hosts.
    SettledVersion m_copiedVersion;
    Base::TimePoint m_startedAt;
    /// Time of the question whose answer last proved the configuration current to this host's own
    /// store client.
    std::optional<Base::TimePoint> m_ownProofAt;
    /// Time at which this host's servers were last known to match the store.
    Base::TimePoint m_serversProvedAt{};
    /// Time of the last copy of the servers.
    Base::TimePoint m_serversCopiedAt{};
    std::optional<EncodedServers> m_encodedServers;
    /// Requests for a copy that have failed since the last one that succeeded.
    std::map<StoreData, unsigned> m_failedCopies;
    bool m_hasReadHosts = false;
    bool m_hasCopyFailed = false;
};

} // namespace Gateway
