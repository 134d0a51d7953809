#include "node/node.h"

#include "node/nodeconstants.h"

#include <algorithm>
#include <utility>

namespace Node {

namespace {

/// Interval at which the entry side checks for due digests, deadlines and retries.
constexpr Base::Duration entryAdvanceInterval = std::chrono::milliseconds(20);

} // namespace

Base::Result<std::unique_ptr<Node>> Node::create(const NodeSettings &settings,
                                                 const Environment &environment)
{
    std::unique_ptr<Node> node(new Node(settings, environment));
    Base::Result<void> initialized = node->initialize();
    if (!initialized)
        return initialized.error();
    return node;
}

Node::Node(const NodeSettings &settings, const Environment &environment)
    : m_settings(settings)
    , m_environment(environment)
{}

Base::Result<void> Node::initialize()
{
    BOOST_LEAF_AUTO(table, Storage::TableGateway::create(m_settings.table, m_environment.table,
                                                         m_environment.random));
    m_table = std::move(table);
    BOOST_LEAF_AUTO(membership,
                    Coordination::Membership::create(m_settings.membership, m_settings.self));
    m_membership = std::make_unique<Coordination::Membership>(std::move(membership));
    BOOST_LEAF_AUTO(
        configuration,
        Coordination::ConfigurationReplica::create(
            m_settings.configuration, *m_table, m_environment.objects, m_operations,
            m_settings.self.host.value() + '-' + std::to_string(m_settings.self.incarnation)));
    m_configuration =
        std::make_unique<Coordination::ConfigurationReplica>(std::move(configuration));
    BOOST_LEAF_AUTO(claims, Claims::ClaimRegistry::create(m_settings.claims, m_settings.self.host,
                                                          m_settings.self.incarnation, *m_table,
                                                          m_operations, m_environment.random));
    m_claims = std::make_unique<Claims::ClaimRegistry>(std::move(claims));
    BOOST_LEAF_AUTO(sweeper,
                    Claims::ClaimSweeper::create(m_settings.sweep, *m_table, m_operations));
    m_sweeper = std::make_unique<Claims::ClaimSweeper>(std::move(sweeper));
    m_homeOrders = std::make_unique<HomeOrderCache>(*m_membership);
    m_homes = std::make_unique<PoolHomes>(HomeContext{m_settings, m_environment, *m_membership,
                                                      *m_configuration, m_directory, *m_homeOrders,
                                                      *this});
    BOOST_LEAF_AUTO(
        entry, EntryRequests::create({m_settings, m_environment, *m_membership, *m_configuration,
                                      m_directory, *m_claims, *m_homes, *m_homeOrders, *this}));
    m_entryRequests = std::move(entry);
    return {};
}

void Node::handle(const Event &event, Base::TimePoint now)
{
    std::visit([&](const auto &it) { on(it, now); }, event);
    processPendingWork(now);
}

void Node::advance(Base::TimePoint now)
{
    m_membership->advance(now);
    m_configuration->advance(now);
    if (const std::optional<Base::HostId> peer = m_configuration->duePull(now))
        post(*peer, ConfigurationPull{m_configuration->configuration().version()});
    m_claims->advance(now);
    if (now >= m_sweeper->nextDue())
        m_sweeper->advance(now, m_environment.wallClock.now(), isSweeper());
    sendHeartbeats(now);
    if (now >= m_nextEntryAdvance) {
        m_nextEntryAdvance = now + entryAdvanceInterval;
        m_entryRequests->advance(now);
    }
    m_homes->advance(now);
    processPendingWork(now);
}

Base::TimePoint Node::nextDue() const
{
    return std::min({m_membership->nextDue(), m_configuration->nextDue(), m_claims->nextDue(),
                     m_sweeper->nextDue(), m_table->nextDue(), m_homes->nextDue(),
                     m_nextEntryAdvance});
}

bool Node::isDrained(Base::TimePoint now) const
{
    if (!m_isLeaving || m_entryRequests->size() > 0 || !m_idleSince)
        return false;
    // A table that is down must not block the exit forever. A claim whose end is not written is
    // read as "may have run", which is safe.
    return m_claims->unsettled() == 0 || now - *m_idleSince >= claimSettleTimeout;
}

bool Node::isSweeper() const
{
    return !m_isLeaving
           && m_homeOrders->home(Base::PoolId(claimSweepPool), 0) == m_settings.self.host;
}

NodeStatus Node::status() const
{
    NodeStatus status;
    status.isReady = isReady();
    status.isLeaving = m_isLeaving;
    status.version = m_configuration->configuration().version();
    status.liveRouters = m_membership->usableRouters().size();
    status.openRequests = m_entryRequests->size();
    status.waitingHere = m_homes->waiting();
    return status;
}

void Node::post(const Base::HostId &to, const PeerMessage &message)
{
    if (to == m_settings.self.host) {
        m_localMessages.push_back(message);
        return;
    }
    const auto it = m_membership->others().find(to);
    if (it != m_membership->others().end())
        m_environment.peers.send(to, it->second.peerAddress, message);
}

void Node::deliverLocally(Base::TimePoint now)
{
    while (!m_localMessages.empty()) {
        const PeerMessage message = std::move(m_localMessages.front());
        m_localMessages.pop_front();
        std::visit([&](const auto &it) { receive(m_settings.self.host, it, now); }, message);
    }
}

void Node::deliverTableOutcomes(Base::TimePoint now)
{
    m_table->advance(now);
    for (const Storage::TableOutcome &outcome : m_table->takeOutcomes()) {
        const bool isTaken =
            m_configuration->handle(outcome, now) || m_claims->handle(outcome, now);
        if (!isTaken)
            m_sweeper->handle(outcome, now);
    }
}

void Node::processPendingWork(Base::TimePoint now)
{
    deliverTableOutcomes(now);
    for (const Claims::ClaimOutcome &outcome : m_claims->takeOutcomes())
        m_entryRequests->handleClaimOutcome(outcome, now);
    answerTargetWrites(now);
    for (const Base::HostId &home : m_entryRequests->takeUnresponsiveHomes())
        m_membership->recordUnreachable(home, now);
    applyMembershipView(now);
    deliverLocally(now);
    m_homes->balance(now);
    deliverLocally(now);
    if (m_isLeaving && m_entryRequests->size() == 0 && !m_idleSince)
        m_idleSince = now;
    if (m_entryRequests->size() > 0)
        m_idleSince.reset();
    // Sends the table operations that were queued while this event was processed.
    m_table->advance(now);
}

void Node::on(const CallerRequest &event, Base::TimePoint now)
{
    m_entryRequests->open(event, now);
}

void Node::on(const CallerDisconnected &event, Base::TimePoint now)
{
    m_entryRequests->handleCallerDisconnected(event.caller, now);
}

void Node::on(const CallerBlocked &event, Base::TimePoint)
{
    m_entryRequests->handleCallerBlocked(event.caller);
}

void Node::on(const CallerUnblocked &event, Base::TimePoint now)
{
    m_entryRequests->handleCallerUnblocked(event.caller, now);
}

void Node::on(const EntryHostsRequested &event, Base::TimePoint)
{
    const Base::ZoneId near = event.zone.isEmpty() ? m_settings.self.zone : event.zone;
    EntryHostList list;
    list.maxAge = m_settings.entryListMaxAge;
    if (!m_isLeaving)
        list.hosts.push_back({m_settings.self.callerAddress, m_settings.self.zone});
    for (const auto &[host, member] : m_membership->others()) {
        if (!member.isAlive || member.state == Coordination::MemberState::Leaving)
            continue;
        list.hosts.push_back({member.callerAddress, member.zone});
    }
    std::stable_sort(list.hosts.begin(), list.hosts.end(),
                     [&](const EntryHost &a, const EntryHost &b) {
                         return (a.zone == near) > (b.zone == near);
                     });
    m_environment.callers.sendEntryHosts(event.caller, list);
}

void Node::on(const TargetsRequested &event, Base::TimePoint)
{
    TargetList list;
    list.version = m_configuration->configuration().version();
    for (const auto &[name, target] : m_configuration->configuration().targets())
        list.targets.push_back(target);
    m_environment.callers.sendTargets(event.caller, list);
}

void Node::on(const TargetWriteRequested &event, Base::TimePoint now)
{
    m_configuration->writeTarget(event.caller, event.target, event.seen, now);
}

void Node::on(const StatusRequested &event, Base::TimePoint)
{
    m_environment.callers.sendStatus(event.caller, status());
}

void Node::on(const PeerMessageArrived &event, Base::TimePoint now)
{
    std::visit([&](const auto &it) { receive(event.from, it, now); }, event.message);
}

void Node::on(const PeerUnreachable &event, Base::TimePoint now)
{
    m_membership->recordUnreachable(event.host, now);
}

void Node::on(const BackendHead &event, Base::TimePoint now)
{
    m_entryRequests->handleBackendHead(event, now);
}

void Node::on(const BackendPart &event, Base::TimePoint now)
{
    m_entryRequests->handleBackendPart(event, now);
}

void Node::on(const BackendFinished &event, Base::TimePoint now)
{
    m_entryRequests->handleBackendFinished(event, now);
}

void Node::on(const BackendFailed &event, Base::TimePoint now)
{
    m_entryRequests->handleBackendFailed(event, now);
}

void Node::on(const BackendLoad &event, Base::TimePoint now)
{
    m_homes->recordLoad(event, now);
}

void Node::on(const Storage::TableOutcome &event, Base::TimePoint now)
{
    m_table->handle(event, now);
}

void Node::on(const Storage::ObjectOutcome &event, Base::TimePoint now)
{
    m_configuration->handle(event, now);
}

void Node::on(const HostListArrived &event, Base::TimePoint now)
{
    m_membership->seed(event.listing, now);
    if (m_directory.update(event.listing))
        m_isDirectoryChanged = true;
}

void Node::on(const ShutdownRequested &, Base::TimePoint)
{
    if (m_isLeaving)
        return;
    m_isLeaving = true;
    m_membership->beginLeaving();
}

void Node::receive(const Base::HostId &from, const Coordination::Heartbeat &message,
                   Base::TimePoint now)
{
    m_membership->receive(message, now);
    m_configuration->recordPeerVersion(from, message.configurationVersion, now);
    const auto changes =
        m_configuration->changesToPush(message.configurationVersion, changesPerPush, now);
    if (!changes.empty())
        post(from, ConfigurationPush{changes});
}

void Node::receive(const Base::HostId &, const PermitRequest &message, Base::TimePoint now)
{
    if (PoolHome *pool = m_homes->home(message.pool, message.shard))
        pool->request(message, now);
}

void Node::receive(const Base::HostId &from, const PermitGrant &message, Base::TimePoint now)
{
    m_entryRequests->handleGrant(from, message, now);
}

void Node::receive(const Base::HostId &, const PermitRefusal &message, Base::TimePoint now)
{
    m_entryRequests->handleRefusal(message, now);
}

void Node::receive(const Base::HostId &, const PermitCancel &message, Base::TimePoint now)
{
    if (PoolHome *pool = m_homes->home(message.pool, message.shard))
        pool->cancel(message, now);
}

void Node::receive(const Base::HostId &, const PermitRelease &message, Base::TimePoint now)
{
    if (PoolHome *pool = m_homes->home(message.pool, message.shard))
        pool->release(message, now);
}

void Node::receive(const Base::HostId &, const ServiceCharge &message, Base::TimePoint now)
{
    if (PoolHome *pool = m_homes->home(message.pool, message.shard))
        pool->charge(message, now);
}

void Node::receive(const Base::HostId &from, const PermitHeld &message, Base::TimePoint now)
{
    if (PoolHome *pool = m_homes->home(message.pool, message.shard))
        pool->adoptPermit(from, message, now);
}

void Node::receive(const Base::HostId &from, const PermitQuery &message, Base::TimePoint)
{
    m_entryRequests->handlePermitQuery(from, message);
}

void Node::receive(const Base::HostId &from, const WaitingDigest &message, Base::TimePoint)
{
    m_homes->answerDigest(from, message);
}

void Node::receive(const Base::HostId &from, const WaitingReply &message, Base::TimePoint now)
{
    m_entryRequests->reconcile(from, message, now);
}

void Node::receive(const Base::HostId &from, const Coordination::LedgerDelta &message,
                   Base::TimePoint)
{
    m_homes->merge(from, message);
}

void Node::receive(const Base::HostId &, const ConfigurationPush &message, Base::TimePoint)
{
    m_configuration->applyChanges(message.changes);
}

void Node::receive(const Base::HostId &, const ConfigurationSnapshot &message, Base::TimePoint)
{
    m_configuration->applySnapshot(message.configuration);
}

void Node::receive(const Base::HostId &from, const ConfigurationPull &message, Base::TimePoint)
{
    const auto changes = m_configuration->changesAfter(message.version, changesPerPush);
    if (changes.empty())
        post(from, ConfigurationSnapshot{m_configuration->configuration()});
    else
        post(from, ConfigurationPush{changes});
}

void Node::receive(const Base::HostId &from, const WorkAsk &message, Base::TimePoint now)
{
    m_homes->answerWorkAsk(from, message, now);
}

void Node::receive(const Base::HostId &, const WorkHandover &message, Base::TimePoint now)
{
    m_homes->acceptHandover(message, now);
}

void Node::applyMembershipView(Base::TimePoint now)
{
    const bool isViewChanged = m_appliedView != m_membership->viewVersion();
    if (!isViewChanged && !m_isDirectoryChanged)
        return;
    m_appliedView = m_membership->viewVersion();
    m_isDirectoryChanged = false;
    m_directory.markLeaving(*m_membership);
    m_configuration->setPolling(m_membership->zonePoller() == m_settings.self.host);
    m_table->setFleetSize(m_membership->usableRouters().size());
    m_homes->refresh(now);
    m_entryRequests->moveToCurrentHome(now);
}

void Node::sendHeartbeats(Base::TimePoint now)
{
    m_membership->setStretch(m_environment.peers.stretch(now));
    std::optional<Coordination::Heartbeat> heartbeat = m_membership->dueHeartbeat(now);
    if (!heartbeat)
        return;
    heartbeat->configurationVersion = m_configuration->configuration().version();
    heartbeat->pools = m_homes->summaries();
    m_membership->omitUnchanged(*heartbeat);
    for (const auto &[host, member] : m_membership->others())
        post(host, *heartbeat);
    m_homes->refreshClassClaims();
}

void Node::answerTargetWrites(Base::TimePoint)
{
    for (const Coordination::TargetWriteResult &result : m_configuration->takeWriteResults()) {
        using Coordination::TargetWriteStatus;
        if (result.status == TargetWriteStatus::Accepted) {
            on(TargetsRequested{result.handle}, {});
            continue;
        }
        Failure failure;
        failure.currentVersion = result.version;
        failure.type = result.status == TargetWriteStatus::LostRace ? FailureType::LostRace
                                                                    : FailureType::PlatformDown;
        failure.message = result.status == TargetWriteStatus::LostRace
                              ? "the target was changed meanwhile"
                              : "the platform's table did not answer";
        if (result.status == TargetWriteStatus::Unknown)
            failure.ran = Ran::Unknown;
        if (failure.type == FailureType::PlatformDown)
            failure.retryAfter = claimRetryAfter;
        failure.requestId = m_entryRequests->newRequestId();
        m_environment.callers.fail(result.handle, failure);
    }
}

} // namespace Node
