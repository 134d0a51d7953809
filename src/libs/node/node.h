#pragma once

#include "base/ids.h"
#include "base/result.h"
#include "base/time.h"
#include "claims/claimregistry.h"
#include "claims/claimsweeper.h"
#include "coordination/configurationreplica.h"
#include "coordination/membership.h"
#include "coordination/serviceledger.h"
#include "node/entryrequests.h"
#include "node/environment.h"
#include "node/event.h"
#include "node/homeordercache.h"
#include "node/nodesettings.h"
#include "node/outbox.h"
#include "node/poolhomes.h"
#include "node/serverdirectory.h"
#include "storage/operationids.h"
#include "storage/tablegateway.h"

#include <deque>
#include <map>
#include <memory>
#include <utility>

namespace Node {

/// The deterministic core of one router process: it makes all scheduling decisions and handles
/// all coordination with other routers. It has no threads, sockets, clock reads or global state.
///
/// The caller passes in each event together with the current time. The node acts through the
/// interfaces of its Environment. The same events at the same times, with the same random
/// numbers, lead to the same actions.
///
/// A node has two roles. As the entry host it holds the requests of the callers connected to it
/// (EntryRequests). As the home of pool shards it queues work and grants permits to send that
/// work to backend servers (PoolHomes). A pool is the set of backend servers that can run the
/// same model or service.
class Node final : private Outbox
{
public:
    /// Fails if one of the policies in \a settings is invalid.
    static Base::Result<std::unique_ptr<Node>> create(const NodeSettings &settings,
                                                      const Environment &environment);

    /// Processes one event and everything that follows from it at \a now.
    void handle(const Event &event, Base::TimePoint now);
    /// Runs all timers that are due at \a now. Must be called at nextDue() or earlier.
    void advance(Base::TimePoint now);
    /// Returns the time at which advance() must be called at the latest.
    Base::TimePoint nextDue() const;

    /// Returns whether the node knows its configuration and the backend servers, so that it can
    /// serve requests.
    bool isReady() const { return m_configuration->isReady() && m_directory.isKnown(); }
    /// Returns whether the process can exit: shutdown was requested, every request has its final
    /// answer, and the claims of finished work are written to the table or claimSettleTimeout
    /// has passed.
    bool isDrained(Base::TimePoint now) const;
    NodeStatus status() const;

    const Coordination::Membership &membership() const { return *m_membership; }
    const Settings::Configuration &configuration() const
    {
        return m_configuration->configuration();
    }
    const ServerDirectory &directory() const { return m_directory; }
    const PoolHomes &homes() const { return *m_homes; }

private:
    Node(const NodeSettings &settings, const Environment &environment);
    Base::Result<void> initialize();

    void post(const Base::HostId &to, const PeerMessage &message) override;
    /// Processes the messages that this router sent to itself.
    void deliverLocally(Base::TimePoint now);
    /// Processes the results of the last event: outcomes, view changes, local messages and
    /// handovers of work between shards.
    void processPendingWork(Base::TimePoint now);

    void on(const CallerRequest &event, Base::TimePoint now);
    void on(const CallerDisconnected &event, Base::TimePoint now);
    void on(const CallerBlocked &event, Base::TimePoint now);
    void on(const CallerUnblocked &event, Base::TimePoint now);
    void on(const EntryHostsRequested &event, Base::TimePoint now);
    void on(const TargetsRequested &event, Base::TimePoint now);
    void on(const TargetWriteRequested &event, Base::TimePoint now);
    void on(const StatusRequested &event, Base::TimePoint now);
    void on(const PeerMessageArrived &event, Base::TimePoint now);
    void on(const PeerUnreachable &event, Base::TimePoint now);
    void on(const BackendHead &event, Base::TimePoint now);
    void on(const BackendPart &event, Base::TimePoint now);
    void on(const BackendFinished &event, Base::TimePoint now);
    void on(const BackendFailed &event, Base::TimePoint now);
    void on(const BackendLoad &event, Base::TimePoint now);
    void on(const Storage::TableOutcome &event, Base::TimePoint now);
    void on(const Storage::ObjectOutcome &event, Base::TimePoint now);
    void on(const HostListArrived &event, Base::TimePoint now);
    void on(const ShutdownRequested &event, Base::TimePoint now);

    void receive(const Base::HostId &from, const Coordination::Heartbeat &message,
                 Base::TimePoint now);
    void receive(const Base::HostId &from, const PermitRequest &message, Base::TimePoint now);
    void receive(const Base::HostId &from, const PermitGrant &message, Base::TimePoint now);
    void receive(const Base::HostId &from, const PermitRefusal &message, Base::TimePoint now);
    void receive(const Base::HostId &from, const PermitCancel &message, Base::TimePoint now);
    void receive(const Base::HostId &from, const PermitRelease &message, Base::TimePoint now);
    void receive(const Base::HostId &from, const ServiceCharge &message, Base::TimePoint now);
    void receive(const Base::HostId &from, const PermitHeld &message, Base::TimePoint now);
    void receive(const Base::HostId &from, const PermitQuery &message, Base::TimePoint now);
    void receive(const Base::HostId &from, const WaitingDigest &message, Base::TimePoint now);
    void receive(const Base::HostId &from, const WaitingReply &message, Base::TimePoint now);
    void receive(const Base::HostId &from, const Coordination::LedgerDelta &message,
                 Base::TimePoint now);
    void receive(const Base::HostId &from, const ConfigurationPush &message, Base::TimePoint now);
    void receive(const Base::HostId &from, const ConfigurationSnapshot &message,
                 Base::TimePoint now);
    void receive(const Base::HostId &from, const ConfigurationPull &message, Base::TimePoint now);
    void receive(const Base::HostId &from, const WorkAsk &message, Base::TimePoint now);
    void receive(const Base::HostId &from, const WorkHandover &message, Base::TimePoint now);

    /// Returns whether this router is the one that deletes old claims.
    bool isSweeper() const;
    /// Updates homes and entry requests after the set of usable routers or the directory of
    /// backend servers has changed.
    void applyMembershipView(Base::TimePoint now);
    void sendHeartbeats(Base::TimePoint now);
    /// Passes the outcomes of table operations to the components that started them.
    void deliverTableOutcomes(Base::TimePoint now);
    void answerTargetWrites(Base::TimePoint now);

    NodeSettings m_settings;
    Environment m_environment;
    Storage::OperationIds m_operations;
    ServerDirectory m_directory;
    std::unique_ptr<Storage::TableGateway> m_table;
    std::unique_ptr<Coordination::Membership> m_membership;
    std::unique_ptr<Coordination::ConfigurationReplica> m_configuration;
    std::unique_ptr<Claims::ClaimRegistry> m_claims;
    std::unique_ptr<Claims::ClaimSweeper> m_sweeper;
    std::unique_ptr<EntryRequests> m_entryRequests;
    std::unique_ptr<HomeOrderCache> m_homeOrders;
    std::unique_ptr<PoolHomes> m_homes;
    std::deque<PeerMessage> m_localMessages;
    std::uint64_t m_appliedView = 0;
    bool m_isDirectoryChanged = false;
    bool m_isLeaving = false;
    /// Time at which no request was open any more after shutdown was requested.
    std::optional<Base::TimePoint> m_idleSince;
    Base::TimePoint m_nextEntryAdvance{};
};

} // namespace Node
