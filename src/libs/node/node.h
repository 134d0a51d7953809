#pragma once

#include "base/ids.h"
#include "base/result.h"
#include "base/time.h"
#include "claims/claimbook.h"
#include "claims/claimsweeper.h"
#include "coordination/configurationreplica.h"
#include "coordination/membership.h"
#include "coordination/serviceledger.h"
#include "node/entryrequests.h"
#include "node/environment.h"
#include "node/event.h"
#include "node/homeorders.h"
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

/// One router: all decisions and all coordination of one process, without threads, sockets,
/// clock reads or global state.
///
/// Events go in with the time; actions come out through the interfaces of the Environment.
/// The same events at the same times, with the same random numbers, give the same actions.
class Node final : private Outbox
{
public:
    static Base::Result<std::unique_ptr<Node>> create(const NodeSettings &settings,
                                                      const Environment &environment);

    void handle(const Event &event, Base::TimePoint now);
    /// Does what is due at \a now. Call it at nextDue() or earlier.
    void advance(Base::TimePoint now);
    Base::TimePoint nextDue() const;

    /// Knows its configuration and the backend servers: requests can be served.
    bool isReady() const { return m_configuration->isReady() && m_directory.isKnown(); }
    /// Asked to leave, every request has its final answer, and the claims of finished work are
    /// written, or have had their time to be.
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
    void deliverLocally(Base::TimePoint now);
    void processPendingWork(Base::TimePoint now);

    void on(const CallerRequest &event, Base::TimePoint now);
    void on(const CallerGone &event, Base::TimePoint now);
    void on(const CallerBlocked &event, Base::TimePoint now);
    void on(const CallerReady &event, Base::TimePoint now);
    void on(const EntryHostsAsked &event, Base::TimePoint now);
    void on(const TargetsAsked &event, Base::TimePoint now);
    void on(const TargetWriteAsked &event, Base::TimePoint now);
    void on(const StatusAsked &event, Base::TimePoint now);
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
    void on(const ShutdownAsked &event, Base::TimePoint now);

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

    /// Whether this router is the one that deletes old claims.
    bool isSweeper() const;
    /// Brings homes and entry requests in line with the routers and servers known now.
    void applyMembershipView(Base::TimePoint now);
    void sendHeartbeats(Base::TimePoint now);
    /// Hands the table's outcomes to the parts that asked.
    void deliverTableOutcomes(Base::TimePoint now);
    void answerTargetWrites(Base::TimePoint now);

    NodeSettings m_settings;
    Environment m_environment;
    Storage::OperationIds m_operations;
    ServerDirectory m_directory;
    std::unique_ptr<Storage::TableGateway> m_table;
    std::unique_ptr<Coordination::Membership> m_membership;
    std::unique_ptr<Coordination::ConfigurationReplica> m_configuration;
    std::unique_ptr<Claims::ClaimBook> m_claims;
    std::unique_ptr<Claims::ClaimSweeper> m_sweeper;
    std::unique_ptr<EntryRequests> m_entryRequests;
    std::unique_ptr<HomeOrderCache> m_homeOrders;
    std::unique_ptr<PoolHomes> m_homes;
    std::deque<PeerMessage> m_localMessages;
    std::uint64_t m_appliedView = 0;
    bool m_isDirectoryChanged = false;
    bool m_isLeaving = false;
    /// When the last request ended after the process was asked to leave.
    std::optional<Base::TimePoint> m_idleSince;
    Base::TimePoint m_nextEntryAdvance{};
};

} // namespace Node
