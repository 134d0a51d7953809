#include "node/poolhome.h"

#include <algorithm>
#include <utility>

namespace Node {

namespace {

/// A permit without a report for this long is queried at its entry host. A lost release leaves a
/// slot of a backend server idle for up to this long.
constexpr Base::Duration permitQueryInterval = std::chrono::seconds(3);

/// A customer counts towards the floor of the ledger once its backlog has lasted this long.
/// Customers with little demand join and leave at the floor. If they counted, the floor would
/// stay still while all other customers advance, and the clamp on debts would make those others
/// equal.
constexpr Base::Duration persistentBacklogAge = std::chrono::seconds(2);
constexpr Base::Duration backlogCheckInterval = std::chrono::milliseconds(250);

Base::Milliseconds toMilliseconds(Base::Duration duration)
{
    return std::chrono::duration_cast<Base::Milliseconds>(duration);
}

Scheduling::WaitingWork toWaitingWork(const PermitRequest &request, Base::TimePoint now)
{
    Scheduling::WaitingWork work;
    work.request = request.attempt.request;
    work.attempt = request.attempt.number;
    work.customer = request.customer;
    work.workClass = request.workClass;
    work.arrivedAt = now - request.waited;
    work.startBy = now + request.startWithin;
    if (request.deadlineWithin)
        work.deadline = now + *request.deadlineWithin;
    work.expectedCost = request.expectedCost;
    work.prefix = request.prefix;
    return work;
}

PermitRequest toRequest(const Scheduling::WaitingWork &work, const Base::PoolId &pool,
                        std::uint32_t shard, Base::TimePoint now)
{
    PermitRequest request;
    request.attempt = {work.request, work.attempt};
    request.pool = pool;
    request.shard = shard;
    request.customer = work.customer;
    request.workClass = work.workClass;
    request.waited = toMilliseconds(now - work.arrivedAt);
    request.startWithin = toMilliseconds(work.startBy - now);
    if (work.deadline)
        request.deadlineWithin = toMilliseconds(*work.deadline - now);
    request.expectedCost = work.expectedCost;
    request.prefix = work.prefix;
    return request;
}

} // namespace

Base::Result<std::unique_ptr<PoolHome>>
PoolHome::create(const NodeSettings &settings, const Base::PoolId &pool, std::uint32_t shard,
                 Coordination::ServiceLedger &ledger, Outbox &outbox, Base::RandomSource &random)
{
    BOOST_LEAF_AUTO(queue, Scheduling::FairQueue::create(settings.queue));
    BOOST_LEAF_AUTO(admission, Scheduling::AdmissionPolicy::create(settings.admission));
    return std::unique_ptr<PoolHome>(new PoolHome(settings, pool, shard, ledger, outbox, random,
                                                  std::move(queue), std::move(admission)));
}

PoolHome::PoolHome(const NodeSettings &settings, const Base::PoolId &pool, std::uint32_t shard,
                   Coordination::ServiceLedger &ledger, Outbox &outbox, Base::RandomSource &random,
                   Scheduling::FairQueue queue, Scheduling::AdmissionPolicy admission)
    : m_settings(settings)
    , m_pool(pool)
    , m_shard(shard)
    , m_ledger(&ledger)
    , m_outbox(&outbox)
    , m_random(&random)
    , m_queue(std::move(queue))
    , m_admission(std::move(admission))
{}

void PoolHome::setServers(const std::vector<const Server *> &servers)
{
    for (auto &[id, state] : m_servers)
        state.isUsable = false;
    for (const Server *server : servers) {
        const auto it = m_servers.find(server->id);
        if (it != m_servers.end() && it->second.server.incarnation == server->incarnation) {
            it->second.server = *server;
            it->second.isUsable = true;
            continue;
        }
        auto limiter = Scheduling::ConcurrencyLimiter::create(m_settings.concurrency);
        if (!limiter)
            continue;
        const std::size_t inUse = it == m_servers.end() ? 0 : it->second.inUse;
        m_servers.insert_or_assign(server->id, ServerState{*server, *limiter, inUse, true});
    }
    for (auto it = m_servers.begin(); it != m_servers.end();) {
        const bool isGone = !it->second.isUsable && it->second.inUse == 0;
        if (isGone)
            m_selector.forgetServer(it->first);
        it = isGone ? m_servers.erase(it) : std::next(it);
    }
}

void PoolHome::setClassClaims(const Settings::Configuration &configuration)
{
    m_classClaims.clear();
    for (const auto &[name, target] : configuration.targets()) {
        if (target.target.claim)
            m_classClaims[name] = *target.target.claim;
    }
}

void PoolHome::request(const PermitRequest &request, Base::TimePoint now)
{
    const Base::HostId &entry = request.attempt.request.entry;
    const auto permit = m_permits.find(request.attempt);
    if (permit != m_permits.end()) {
        // The grant was lost. It is sent again, else the entry host would wait forever.
        m_outbox->post(entry, PermitGrant{request.attempt, m_pool, m_shard, permit->second.server});
        return;
    }
    if (m_waitingByEntry[entry].contains(request.attempt))
        return;
    // Replaces an older attempt of the same request whose cancel message was lost.
    if (const auto older = m_queue.remove(request.attempt.request))
        removeWaiting(*older);
    m_waitingByEntry[entry].add(request.attempt);
    const Scheduling::WaitingWork work = toWaitingWork(request, now);
    const auto refusal = m_admission.refusalFor(work, poolState(work.customer), now, *m_random);
    if (refusal) {
        refuse(work, *refusal);
        return;
    }
    if (m_queue.waitingCount(work.customer) == 0) {
        const std::optional<Base::CustomerId> least = m_queue.leastServed(*m_ledger);
        std::vector<Base::CustomerId> others = m_persistentlyBacklogged;
        if (others.empty() && least)
            others.push_back(*least);
        m_ledger->becomeBacklogged(work.customer, others);
        m_backloggedSince[work.customer] = now;
    }
    m_queue.push(work);
    dispatch(now);
}

void PoolHome::cancel(const PermitCancel &cancel, Base::TimePoint now)
{
    if (m_waitingByEntry[cancel.attempt.request.entry].remove(cancel.attempt))
        m_queue.remove(cancel.attempt.request);
    const auto it = m_permits.find(cancel.attempt);
    if (it == m_permits.end())
        return;
    endPermit(it);
    dispatch(now);
}

void PoolHome::release(const PermitRelease &release, Base::TimePoint now)
{
    const auto it = m_permits.find(release.attempt);
    if (it == m_permits.end())
        return;
    recordService(it->second, release.units);
    const auto server = m_servers.find(it->second.server);
    if (server != m_servers.end()) {
        Scheduling::PermitReport report;
        report.outcome = release.outcome;
        if (release.firstToken)
            report.firstToken = *release.firstToken;
        report.whole = release.whole;
        report.served = it->second.served;
        server->second.limiter.recordPermit(report, server->second.inUse, now);
    }
    if (release.outcome != Scheduling::PermitOutcome::NotUsed)
        m_drain.recordUse(release.whole);
    if (release.outcome == Scheduling::PermitOutcome::Completed) {
        m_holds.recordCost(it->second.workClass, it->second.expected, it->second.served);
    }
    endPermit(it);
    dispatch(now);
}

void PoolHome::charge(const ServiceCharge &charge, Base::TimePoint now)
{
    const auto it = m_permits.find(charge.attempt);
    if (it == m_permits.end())
        return;
    Permit &permit = it->second;
    permit.confirmedAt = now;
    const auto server = m_servers.find(permit.server);
    if (server != m_servers.end())
        server->second.limiter.recordProgress(now);
    recordService(permit, charge.units);
}

void PoolHome::recordService(Permit &permit, Base::ServiceUnits total)
{
    // A total that is not larger comes from a reordered or duplicated message.
    if (total <= permit.served)
        return;
    const Base::ServiceUnits units = total - permit.served;
    permit.served = total;
    m_ledger->charge(permit.customer, units);
    const Base::ServiceUnits freed = std::min(permit.held, units);
    m_ledger->releaseHold(permit.customer, freed);
    permit.held -= freed;
}

void PoolHome::adoptPermit(const Base::HostId &entry, const PermitHeld &held, Base::TimePoint now)
{
    const auto server = m_servers.find(held.server);
    if (server == m_servers.end() || m_permits.count(held.attempt) > 0)
        return;
    m_permits[held.attempt] = {entry, held.server, held.customer, held.workClass,
                               0,     0,           held.units,    now};
    ++server->second.inUse;
    ++m_inUseByClass[held.workClass];
}

void PoolHome::recordLoad(const BackendLoad &load, Base::TimePoint now)
{
    const auto it = m_servers.find(load.server);
    if (it == m_servers.end())
        return;
    if (load.isReachable)
        it->second.limiter.recordLoad(load.report, now);
    else
        it->second.limiter.recordUnreachable(now);
    dispatch(now);
}

void PoolHome::dropEntryHost(const Base::HostId &entry, Base::TimePoint now)
{
    const auto waiting = m_waitingByEntry.find(entry);
    if (waiting != m_waitingByEntry.end()) {
        for (const AttemptId &attempt : waiting->second.attempts())
            m_queue.remove(attempt.request);
        m_waitingByEntry.erase(waiting);
    }
    for (auto it = m_permits.begin(); it != m_permits.end();) {
        const auto current = it++;
        if (current->second.entry == entry)
            endPermit(current);
    }
    dispatch(now);
}

void PoolHome::advance(Base::TimePoint now)
{
    const std::optional<Base::Duration> median = medianTimeToFirstToken();
    for (auto &[id, state] : m_servers) {
        state.limiter.setPeerTimeToFirstToken(median);
        state.limiter.advance(state.inUse, now);
    }
    for (const Scheduling::WaitingWork &work : m_queue.takeExpired(now)) {
        refuse(work, m_admission.refuse(Scheduling::RefusalReason::DeadlinePassed,
                                        poolState(work.customer), *m_random));
    }
    queryPermits(now);
    updatePersistentlyBacklogged(now);
    dispatch(now);
}

std::vector<PermitRequest> PoolHome::takeForHandover(std::size_t count, std::uint32_t to,
                                                     Base::TimePoint now)
{
    std::vector<PermitRequest> requests;
    while (requests.size() < count) {
        const std::optional<Scheduling::WaitingWork> work = m_queue.takeNext(*m_ledger, *this, now);
        if (!work)
            break;
        removeWaiting(*work);
        requests.push_back(toRequest(*work, m_pool, to, now));
    }
    return requests;
}

Coordination::PoolSummary PoolHome::summary() const
{
    std::size_t freePermits = 0;
    for (const Scheduling::ServerCandidate &candidate : serversWithFreePermits())
        freePermits += candidate.limit - candidate.inUse;
    return {m_pool, m_shard, static_cast<std::uint32_t>(m_queue.size()),
            static_cast<std::uint32_t>(freePermits), m_drain.rate(permitLimit())};
}

std::size_t PoolHome::permitLimit() const
{
    std::size_t limit = 0;
    for (const auto &[id, state] : m_servers) {
        if (state.isUsable)
            limit += state.limiter.limit();
    }
    return limit;
}

std::vector<Base::ServerId> PoolHome::servers() const
{
    std::vector<Base::ServerId> ids;
    for (const auto &[id, state] : m_servers)
        ids.push_back(id);
    return ids;
}

std::vector<ServerUsage> PoolHome::serverUsage() const
{
    std::vector<ServerUsage> uses;
    for (const auto &[id, state] : m_servers) {
        if (state.isUsable)
            uses.push_back({id, state.inUse, state.limiter.limit()});
    }
    return uses;
}

Base::ServiceUnits PoolHome::fairnessGap() const
{
    std::vector<Base::ServiceUnits> positions;
    for (const Base::CustomerId &customer : m_queue.backloggedCustomers())
        positions.push_back(m_ledger->position(customer));
    if (positions.empty())
        return 0;
    const auto [least, most] = std::minmax_element(positions.begin(), positions.end());
    return *most - *least;
}

bool PoolHome::isOverClaim(const Base::ClassId &workClass) const
{
    const auto claim = m_classClaims.find(workClass);
    if (claim == m_classClaims.end())
        return false;
    const auto inUse = m_inUseByClass.find(workClass);
    const double used = inUse == m_inUseByClass.end() ? 0 : static_cast<double>(inUse->second);
    return used >= claim->second * static_cast<double>(permitLimit());
}

std::optional<Base::Duration> PoolHome::medianTimeToFirstToken() const
{
    std::vector<Base::Duration> times;
    for (const auto &[id, state] : m_servers) {
        if (const auto minimum = state.limiter.minTimeToFirstToken())
            times.push_back(*minimum);
    }
    if (times.size() < 2)
        return std::nullopt;
    const auto middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
    std::nth_element(times.begin(), middle, times.end());
    return *middle;
}

void PoolHome::dispatch(Base::TimePoint now)
{
    while (!m_queue.isEmpty()) {
        const std::vector<Scheduling::ServerCandidate> candidates = serversWithFreePermits();
        if (candidates.empty())
            return;
        const std::optional<Scheduling::WaitingWork> work = m_queue.takeNext(*m_ledger, *this, now);
        if (!work)
            return;
        const std::optional<std::size_t> chosen = m_selector.choose(candidates, work->prefix, now);
        if (!chosen) {
            m_queue.push(*work);
            return;
        }
        grant(*work, candidates[*chosen].server, now);
    }
}

std::vector<Scheduling::ServerCandidate> PoolHome::serversWithFreePermits() const
{
    std::vector<Scheduling::ServerCandidate> candidates;
    for (const auto &[id, state] : m_servers) {
        const std::size_t limit = state.limiter.limit();
        if (!state.isUsable || state.inUse >= limit)
            continue;
        candidates.push_back({id, state.inUse, limit, state.server.zone == m_settings.self.zone});
    }
    return candidates;
}

void PoolHome::grant(const Scheduling::WaitingWork &work, const Base::ServerId &server,
                     Base::TimePoint now)
{
    const AttemptId attempt{work.request, work.attempt};
    removeWaiting(work);
    const Base::ServiceUnits held = m_holds.hold(work.workClass, work.expectedCost);
    m_permits[attempt] = {
        work.request.entry, server, work.customer, work.workClass, held, work.expectedCost, 0, now};
    m_ledger->hold(work.customer, held);
    ++m_servers.at(server).inUse;
    ++m_inUseByClass[work.workClass];
    if (work.prefix != 0)
        m_selector.recordPrefix(work.prefix, server, now);
    m_outbox->post(work.request.entry, PermitGrant{attempt, m_pool, m_shard, server});
}

void PoolHome::endPermit(std::map<AttemptId, Permit>::iterator it)
{
    const Permit &permit = it->second;
    m_ledger->releaseHold(permit.customer, permit.held);
    m_queue.invalidatePosition(permit.customer);
    const auto server = m_servers.find(permit.server);
    if (server != m_servers.end() && server->second.inUse > 0)
        --server->second.inUse;
    std::size_t &inUse = m_inUseByClass[permit.workClass];
    inUse -= std::min<std::size_t>(inUse, 1);
    m_permits.erase(it);
}

Scheduling::PoolState PoolHome::poolState(const Base::CustomerId &customer) const
{
    Scheduling::PoolState state;
    state.waiting = m_queue.size();
    state.waitingOfCustomer = m_queue.waitingCount(customer);
    state.backloggedCustomers = m_queue.backloggedCount();
    if (state.waitingOfCustomer == 0)
        ++state.backloggedCustomers;
    for (const auto &[id, server] : m_servers) {
        if (server.isUsable)
            ++state.usableServers;
    }
    state.freePermits = summary().freePermits;
    state.drainRate = m_drain.rate(permitLimit());
    return state;
}

void PoolHome::refuse(const Scheduling::WaitingWork &work,
                      const Scheduling::AdmissionRefusal &refusal)
{
    removeWaiting(work);
    m_outbox->post(work.request.entry,
                   PermitRefusal{{work.request, work.attempt}, refusal.reason, refusal.retryAfter});
}

void PoolHome::removeWaiting(const Scheduling::WaitingWork &work)
{
    const auto it = m_waitingByEntry.find(work.request.entry);
    if (it == m_waitingByEntry.end())
        return;
    it->second.remove({work.request, work.attempt});
    if (it->second.count() == 0)
        m_waitingByEntry.erase(it);
}

void PoolHome::updatePersistentlyBacklogged(Base::TimePoint now)
{
    if (now < m_nextBacklogCheck)
        return;
    m_nextBacklogCheck = now + backlogCheckInterval;
    std::erase_if(m_backloggedSince,
                  [&](const auto &entry) { return m_queue.waitingCount(entry.first) == 0; });
    m_persistentlyBacklogged.clear();
    for (const auto &[customer, since] : m_backloggedSince) {
        if (now - since >= persistentBacklogAge)
            m_persistentlyBacklogged.push_back(customer);
    }
    m_ledger->clampDebts(m_persistentlyBacklogged);
}

WaitingReply PoolHome::compare(const Base::HostId &entry, const WaitingDigest &digest) const
{
    WaitingReply reply{m_pool, m_shard, digest.number, false, {}};
    const auto it = m_waitingByEntry.find(entry);
    const std::size_t count = it == m_waitingByEntry.end() ? 0 : it->second.count();
    const std::uint64_t hash = count == 0 ? 0 : it->second.hash();
    reply.isMatch = count == digest.count && hash == digest.hash;
    if (!reply.isMatch && count > 0)
        reply.attempts.assign(it->second.attempts().begin(), it->second.attempts().end());
    return reply;
}

void PoolHome::queryPermits(Base::TimePoint now)
{
    if (now < m_nextQuery)
        return;
    m_nextQuery = now + permitQueryInterval;
    std::map<Base::HostId, PermitQuery> queries;
    for (auto &[attempt, permit] : m_permits) {
        if (now - permit.confirmedAt < permitQueryInterval)
            continue;
        // The permit is not queried again for one interval: an entry host does not reply for a
        // permit that is in use.
        permit.confirmedAt = now;
        PermitQuery &query = queries[permit.entry];
        query.pool = m_pool;
        query.shard = m_shard;
        query.attempts.push_back(attempt);
    }
    for (const auto &[entry, query] : queries)
        m_outbox->post(entry, query);
}

} // namespace Node
