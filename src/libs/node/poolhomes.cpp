#include "node/poolhomes.h"

#include "node/nodeconstants.h"

#include <algorithm>
#include <iterator>
#include <set>

namespace Node {

PoolHomes::PoolHomes(const HomeContext &context)
    : m_context(context)
    , m_ledgerInterval(context.settings.ledgerInterval)
{}

PoolHome *PoolHomes::home(const Base::PoolId &pool, std::uint32_t shard)
{
    const Key key{pool, shard};
    const auto it = m_homes.find(key);
    if (it != m_homes.end())
        return it->second.get();
    const ServerDirectory &directory = m_context.directory;
    if (!directory.hasPool(pool) || shard >= directory.shards(pool))
        return nullptr;
    Coordination::ServiceLedger *poolLedger = ledger(pool);
    if (!poolLedger)
        return nullptr;
    auto created = PoolHome::create(m_context.settings, pool, shard, *poolLedger, m_context.outbox,
                                    m_context.environment.random);
    if (!created)
        return nullptr;
    PoolHome &added = *(m_homes[key] = std::move(*created));
    added.setServers(directory.usable(pool, shard));
    added.setClassClaims(m_context.configuration.configuration());
    return &added;
}

void PoolHomes::merge(const Base::HostId &from, const Coordination::LedgerDelta &delta)
{
    Coordination::ServiceLedger *poolLedger = ledger(delta.pool);
    if (!poolLedger)
        return;
    const bool isFolded = poolLedger->merge(delta) == Coordination::MergeResult::SenderIsFolded;
    if (isFolded || delta.isSnapshotRequest)
        m_context.outbox.post(from, poolLedger->snapshot());
}

void PoolHomes::answerDigest(const Base::HostId &from, const WaitingDigest &digest)
{
    // A router that does not know the pool yet also replies; else it would count as failed.
    const PoolHome *knownHome = home(digest.pool, digest.shard);
    const WaitingReply unknown{digest.pool, digest.shard, digest.number, false, {}};
    m_context.outbox.post(from, knownHome ? knownHome->compare(from, digest) : unknown);
}

void PoolHomes::answerWorkAsk(const Base::HostId &, const WorkAsk &ask, Base::TimePoint now)
{
    PoolHome *donor = home(ask.pool, ask.shard);
    if (!donor)
        return;
    Scheduling::HandoverPlanner &planner = m_planners[{ask.pool, ask.shard}];
    const std::size_t count = planner.answer(ask.asker, ask.count, donor->waiting(), now);
    handOver(*donor, {ask.asker, count}, true, now);
}

void PoolHomes::acceptHandover(const WorkHandover &handover, Base::TimePoint now)
{
    PoolHome *receiver = home(handover.pool, handover.shard);
    if (!receiver)
        return;
    if (handover.isAnswer)
        m_planners[{handover.pool, handover.shard}].recordAnswer(handover.from,
                                                                 handover.requests.size(), now);
    for (const PermitRequest &request : handover.requests)
        receiver->request(request, now);
}

void PoolHomes::recordLoad(const BackendLoad &load, Base::TimePoint now)
{
    for (auto &[key, home] : m_homes)
        home->recordLoad(load, now);
}

void PoolHomes::refresh(Base::TimePoint now)
{
    for (auto &[key, home] : m_homes)
        home->setServers(m_context.directory.usable(key.first, key.second));
    dropLostEntryHosts(now);
    removeUnusedHomes();
}

void PoolHomes::refreshClassClaims()
{
    for (auto &[key, home] : m_homes)
        home->setClassClaims(m_context.configuration.configuration());
}

void PoolHomes::balance(Base::TimePoint now)
{
    for (auto &[key, home] : m_homes) {
        if (m_context.directory.shards(key.first) > 1)
            balanceShard(key, *home, now);
    }
}

void PoolHomes::balanceShard(const Key &key, PoolHome &home, Base::TimePoint now)
{
    const Coordination::PoolSummary own = home.summary();
    const bool isIdle = own.waiting == 0 && own.freePermits > 0;
    const bool isBacklogged = own.waiting > 0 && own.freePermits == 0;
    if (!isIdle && !isBacklogged)
        return;
    Scheduling::HandoverPlanner &planner = m_planners[key];
    if (isIdle) {
        const auto ask =
            planner.ask(key.second, own.freePermits, own.drainRate, shards(key.first, now), now);
        const auto order = ask ? homeOrder(key.first, ask->shard) : std::vector<Base::HostId>();
        if (!order.empty())
            m_context.outbox.post(order.front(), WorkAsk{key.first, ask->shard, key.second,
                                                         static_cast<std::uint32_t>(ask->count)});
        return;
    }
    for (const Scheduling::Handover &handover : planner.planForPendingAsks(home.waiting(), now))
        handOver(home, handover, false, now);
    for (const Scheduling::Handover &handover :
         planner.plan(key.second, shards(key.first, now), now))
        handOver(home, handover, false, now);
}

void PoolHomes::handOver(PoolHome &home, const Scheduling::Handover &handover, bool isAnswer,
                         Base::TimePoint now)
{
    WorkHandover message;
    message.pool = home.pool();
    message.shard = handover.shard;
    message.from = home.shard();
    message.isAnswer = isAnswer;
    message.requests = home.takeForHandover(handover.count, handover.shard, now);
    if (message.requests.empty() && !isAnswer)
        return;
    const std::vector<Base::HostId> &order = homeOrder(message.pool, message.shard);
    if (!order.empty())
        m_context.outbox.post(order.front(), message);
}

void PoolHomes::advance(Base::TimePoint now)
{
    if (now >= m_nextAdvance) {
        m_nextAdvance = now + homeAdvanceInterval;
        for (auto &[key, home] : m_homes)
            home->advance(now);
    }
    pollLoads(now);
    sendLedgers(now);
}

Base::TimePoint PoolHomes::nextDue() const
{
    return std::min({m_nextLoadPoll, m_ledgerInterval.nextDue(), m_nextAdvance});
}

std::vector<Coordination::PoolSummary> PoolHomes::summaries() const
{
    std::vector<Coordination::PoolSummary> summaries;
    for (const auto &[key, home] : m_homes)
        summaries.push_back(home->summary());
    return summaries;
}

std::vector<Scheduling::ShardSummary> PoolHomes::shards(const Base::PoolId &pool,
                                                        Base::TimePoint now) const
{
    std::vector<Scheduling::ShardSummary> summaries;
    for (std::uint32_t shard = 0; shard < m_context.directory.shards(pool); ++shard) {
        Scheduling::ShardSummary summary;
        summary.shard = shard;
        summary.receivedAt = now;
        const auto own = m_homes.find({pool, shard});
        const std::vector<Base::HostId> &order = homeOrder(pool, shard);
        const Base::HostId homeHost = order.empty() ? Base::HostId() : order.front();
        const auto member = m_context.membership.others().find(homeHost);
        if (homeHost == m_context.settings.self.host && own != m_homes.end()) {
            const Coordination::PoolSummary reported = own->second->summary();
            summary = {shard, reported.waiting, reported.freePermits, reported.drainRate, now};
        } else if (member != m_context.membership.others().end()) {
            summary.receivedAt = member->second.lastHeardAt;
            for (const Coordination::PoolSummary &reported : member->second.pools) {
                if (reported.pool != pool || reported.shard != shard)
                    continue;
                summary = {shard, reported.waiting, reported.freePermits, reported.drainRate,
                           member->second.lastHeardAt};
            }
        }
        summaries.push_back(summary);
    }
    return summaries;
}

std::size_t PoolHomes::waiting() const
{
    std::size_t waiting = 0;
    for (const auto &[key, home] : m_homes)
        waiting += home->waiting();
    return waiting;
}

Coordination::ServiceLedger *PoolHomes::ledger(const Base::PoolId &pool)
{
    const auto it = m_ledgers.find(pool);
    if (it != m_ledgers.end())
        return it->second.get();
    const Coordination::RouterIdentity &self = m_context.settings.self;
    auto created = Coordination::ServiceLedger::create(m_context.settings.ledger, self.host,
                                                       self.incarnation, pool);
    if (!created)
        return nullptr;
    auto &added = m_ledgers[pool];
    added = std::make_unique<Coordination::ServiceLedger>(std::move(*created));
    return added.get();
}

const std::vector<Base::HostId> &PoolHomes::homeOrder(const Base::PoolId &pool,
                                                      std::uint32_t shard) const
{
    return m_context.homeOrders.order(pool, shard);
}

void PoolHomes::dropLostEntryHosts(Base::TimePoint now)
{
    for (const auto &[host, member] : m_context.membership.others()) {
        const Base::Incarnation served = m_entryIncarnations[host];
        const bool isRestarted = served != 0 && member.incarnation != served;
        m_entryIncarnations[host] = member.isAlive ? member.incarnation : 0;
        if (member.isAlive && !isRestarted)
            continue;
        for (auto &[key, home] : m_homes)
            home->dropEntryHost(host, now);
    }
}

void PoolHomes::removeUnusedHomes()
{
    // After a shard has moved to another home, the old one is kept until its queue is empty and
    // its last permit is released.
    std::erase_if(m_homes, [&](const auto &entry) {
        const auto &[key, home] = entry;
        const std::vector<Base::HostId> &order = homeOrder(key.first, key.second);
        const bool isHome = !order.empty() && order.front() == m_context.settings.self.host;
        const bool isUnused = !isHome && home->waiting() == 0 && home->permitsInUse() == 0;
        if (isUnused)
            m_planners.erase(key);
        return isUnused;
    });
}

void PoolHomes::sendLedgers(Base::TimePoint now)
{
    if (!m_ledgerInterval.take(now, m_context.environment.peers.stretch(now)))
        return;
    for (auto &[pool, poolLedger] : m_ledgers)
        sendLedger(pool, *poolLedger, now);
}

void PoolHomes::sendLedger(const Base::PoolId &pool, Coordination::ServiceLedger &ledger,
                           Base::TimePoint now)
{
    ledger.advance(now);
    const std::optional<Coordination::LedgerDelta> delta = ledger.takeDelta(ledgerEntriesPerDelta);
    if (!delta)
        return;
    // The homes of the pool order their queues by the ledger, and each standby needs it to take
    // over from its home.
    constexpr std::ptrdiff_t homeAndStandby = 2;
    std::set<Base::HostId> receivers;
    for (std::uint32_t shard = 0; shard < m_context.directory.shards(pool); ++shard) {
        const std::vector<Base::HostId> &order = homeOrder(pool, shard);
        const auto count = std::min<std::ptrdiff_t>(std::ssize(order), homeAndStandby);
        receivers.insert(order.begin(), order.begin() + count);
    }
    receivers.erase(m_context.settings.self.host);
    for (const Base::HostId &receiver : receivers)
        m_context.outbox.post(receiver, *delta);
}

void PoolHomes::pollLoads(Base::TimePoint now)
{
    if (now < m_nextLoadPoll)
        return;
    m_nextLoadPoll = now + m_context.settings.loadPollInterval;
    for (const auto &[key, home] : m_homes) {
        for (const Base::ServerId &id : home->servers()) {
            if (const Server *server = m_context.directory.server(id))
                m_context.environment.backends.pollLoad(id, server->address);
        }
    }
}

} // namespace Node
