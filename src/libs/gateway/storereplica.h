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

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Gateway {

class EventLog;

/// Told what changes in a StoreReplica.
class StoreReplicaListener
{
public:
    virtual ~StoreReplicaListener() = default;
    /// A newer configuration is in force.
    virtual void configurationTaken() = 0;
    /// Servers came or went. Other hosts of the zone are to hear of it at once if \a isNews.
    virtual void serversChanged(const Routing::ServerChanges &changes, bool isNews) = 0;
    /// Slots and warm-up of servers may be others; none came or went by this.
    virtual void serversRead() = 0;
    virtual void unreadableEntriesChanged(const std::set<std::string> &entries) = 0;
    virtual void storeCallFinished(const char *call, bool isGood) = 0;
};

/// What this host knows of the store: the configuration with its lease, and the backend servers.
///
/// It comes from three places. The host that leads its zone reads the store. The others take proofs
/// and changes of servers from its reports, and whole copies, at a start or where a report tells of
/// something newer, over HTTP at its peer address. Who gets no copy asks the store.
///
/// A copy or a proof never takes a host back: a configuration counts by its version, a list of
/// servers by the store's version at its reading, and a proof by the moment at which the question
/// was sent whose answer proved it. \sa Routing::ConfigurationLease
class StoreReplica final : public StoreListener, public StoreCopyListener, public StoreCopySource
{
public:
    struct Parts
    {
        boost::asio::io_context &io;
        const StoreProtocol &protocol;
        FleetView &fleet;
        EventLog &log;
        std::string &readBuffer;
        StoreReplicaListener &listener;
    };

    /// Fails with CannotListen. The parts outlive the replica.
    static Base::Result<std::unique_ptr<StoreReplica>> create(const GatewaySettings &settings,
                                                              const Parts &parts);

    /// Does what is due. Call it every few ten milliseconds.
    void advance(Base::TimePoint now);
    void checkConnections(Base::TimePoint now) { m_peers->checkTime(now); }
    /// Takes the bounds, which may change while the process runs.
    void takeSettings(const GatewaySettings &settings);
    /// This host leaves.
    void leave();

    const std::shared_ptr<const Routing::RouteTable> &table() const { return m_table; }
    std::uint64_t version() const { return m_table ? m_table->version() : 0; }
    const Routing::ServerSet &servers() const { return m_servers; }
    const Routing::ConfigurationLease &lease() const { return m_lease; }
    bool isKnown() const { return m_table && m_servers.isKnown(); }
    /// Whether another host should read the store for the zone.
    bool isStoreLost(Base::TimePoint now) const;
    /// What a report of this host tells.
    StoreKnowledge knowledge(Base::TimePoint now) const;
    /// Takes what another host of the zone knows.
    void takeReport(const HostReport &report, Base::TimePoint now);

    void configurationRead(std::shared_ptr<const Routing::RouteTable> table,
                           const std::string &text) override;
    void configurationConfirmed(Base::TimePoint askedAt) override;
    void serversRead(const std::vector<Routing::RegisteredServer> &servers,
                     Base::TimePoint askedAt) override;
    void storeFailed() override;
    void unreadableEntriesChanged(const std::set<std::string> &entries) override;
    void storeCallFinished(const char *call, bool isGood) override;
    void hostsRead(const std::vector<HostRow> &hosts) override;
    std::vector<HostRow> rowsToRefresh() const override;

    void configurationCopied(const ConfigurationCopy &copy, Base::TimePoint askedAt) override;
    void serversCopied(const HostReport &report, Base::TimePoint askedAt) override;
    void copyFailed(StoreData what) override;

    std::optional<ConfigurationCopy> configurationCopy() const override;
    std::optional<HostReport> serversCopy() const override;

private:
    StoreReplica(const GatewaySettings &settings, const Parts &parts);
    Base::Result<void> listen(const Settings::Address &peerAddress);
    StoreClient::ReaderRole readingDuty(Base::TimePoint now) const;
    /// Whether a host that has just started leaves the store alone and waits for a copy.
    bool waitsForCopy(Base::TimePoint now) const;
    void takeTable(std::shared_ptr<const Routing::RouteTable> table, const std::string &text);
    /// The changes that make this host's servers those of \a copy.
    std::vector<Routing::ServerChange>
    changesTo(const std::vector<Routing::ServerChange> &copy) const;

    Parts m_parts;
    HostRow m_self;
    Base::Milliseconds m_keyRevocation;
    StoreIntervals m_times;
    ConnectionLimits m_limits;
    StoreClient m_store;
    StoreCopyClient m_copies;
    StoreCopyHandler m_handler;
    std::unique_ptr<HttpListener> m_peers;
    std::shared_ptr<const Routing::RouteTable> m_table;
    /// The store's answer that the table was read from.
    std::string m_tableText;
    Routing::ConfigurationLease m_lease;
    Routing::ServerSet m_servers;
    Base::TimePoint m_startedAt;
    /// Of this host's own last readings of the store.
    std::optional<Base::TimePoint> m_ownProofAt;
    /// When the servers were last known to be the store's.
    Base::TimePoint m_serversProvedAt{};
    bool m_hasReadHosts = false;
    bool m_hasCopyFailed = false;
};

} // namespace Gateway
