#include "routing/dispatcher.h"

#include "routing/customeraccount.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace Routing {

namespace {

using std::chrono::milliseconds;

/// Shorter beginnings are not reported to the other hosts: there are many of them, and reading one
/// again costs less than reporting it.
constexpr std::uint32_t minReportedTokens = 200;
/// The maximum number of requests that wait at this host. Each holds a body of about ten kilobytes.
constexpr std::size_t maxWaiting = 400;
/// The time from another host's report until the server has read the reported prompt. Servers have
/// up to a third of a second of reading queued, and the report was on its way for a tenth of a
/// second.
constexpr Base::Duration reportedReadingTime = milliseconds(200);
/// The maximum number of waiting requests that one placement pass skips because their best server
/// is full, in search of one whose server has capacity.
constexpr std::size_t maxSkipped = 24;
/// The time between two passes that evict expired prompt parts. Expired parts are ignored in any
/// case, and there are thousands of them.
constexpr Base::Duration evictionInterval = std::chrono::seconds(1);
/// The time between two updates of the saturation. The reports of other hosts change it this often.
constexpr Base::Duration saturationInterval = milliseconds(100);
Base::Duration toDuration(double milliseconds)
{
    return std::chrono::duration_cast<Base::Duration>(
        std::chrono::duration<double, std::milli>(milliseconds));
}

} // namespace

Dispatcher::Dispatcher(const ServiceTraits &traits, const Base::ZoneId &ownZone,
                       const Base::HostId &self)
    : m_pool(traits, self)
    , m_choice(ownZone, self)
{
    setTraits(traits);
}

void Dispatcher::setTraits(const ServiceTraits &traits)
{
    m_pool.setTraits(traits);
    m_shares.setThroughput(traits.isEngine ? traits.sharedTokensPerSecond : 0);
}

void Dispatcher::setServers(const std::vector<RegisteredServer> &servers)
{
    m_pool.setServers(servers);
    peerLoadChanged();
}

void Dispatcher::setPeerLoad(const PeerLoad &peerLoad)
{
    m_peerLoad = &peerLoad;
    m_shares.setPeerLoad(peerLoad);
    peerLoadChanged();
}

void Dispatcher::peerLoadChanged()
{
    if (m_peerLoad)
        m_pool.applyPeerLoad(*m_peerLoad);
}

Decisions Dispatcher::submit(Work work, Base::TimePoint now)
{
    Decisions decisions;
    work.account = accountOf(work.customer, work.residency);
    if (work.tried.empty()) {
        m_shares.recordDemand(work.account, tokensOf(work), now);
        m_overloadGate.recordArrival(now);
    }
    // What is on trial may run where the request may not run otherwise.
    const WaitEstimate estimate = waitEstimate();
    const std::optional<RejectionReason> reason =
        work.trial ? std::nullopt : estimate.unavailability(work, now);
    if (reason) {
        decisions.rejected.push_back(makeRejection(work, *reason, now));
        return decisions;
    }
    // A returning request was admitted before, and a server may have spent time on it. If it were
    // rejected now, its caller could not be told that it has not run. So was a stream that its
    // caller takes up.
    const bool isRetry = !work.tried.empty();
    work.isContinuation = work.isContinuation && m_pool.hasSeveralVersions();
    const Admission admission = isRetry || work.isContinuation
                                    ? Admission::WithinShare
                                    : m_shares.admission(work.customer, now);
    // The refusal comes first: looking at a hundred servers would cost an overloaded host more than
    // the rest of the refusal.
    if (isRefused(admission)) {
        const ShareLimit limit =
            admission == Admission::OverRate ? ShareLimit::Rate : ShareLimit::AheadOfOthers;
        decisions.rejected.push_back(makeRejection(work, limit, now));
        return decisions;
    }
    if (!isRetry && !m_pool.isEngine() && !m_overloadGate.admit(now)) {
        decisions.rejected.push_back(makeRejection(work, RejectionReason::TooLate, now));
        return decisions;
    }
    if (!isRetry && !work.isContinuation) {
        work.residency =
            m_shares.regionsLeftFor(work.customer, work.residency, m_pool.regions(), now);
    }
    if (work.residency.allowsNone()) {
        decisions.rejected.push_back(makeRejection(work, ShareLimit::AheadOfOthers, now));
        return decisions;
    }
    if (work.trial && placeOnTrial(work, admission, now, decisions)) {
        m_shares.recordAdmitted(work.customer, tokensOf(work), now);
        return decisions;
    }
    if (work.trial) {
        if (const std::optional<RejectionReason> reason = estimate.unavailability(work, now)) {
            decisions.rejected.push_back(makeRejection(work, *reason, now));
            return decisions;
        }
    }
    const bool onlyWithCapacity = isRetry || admission != Admission::WithinShare;
    // Waiting requests mostly wait for servers that are full, so a new request may overtake them.
    const std::optional<ServerChoice::Candidate> candidate =
        m_choice.select(m_pool, work, now, admission, onlyWithCapacity);
    const bool mayOvertake = work.isContinuation || (candidate && !isAwaited(*candidate->state));
    if (candidate && candidate->hasRoom && mayOvertake) {
        if (!isRetry)
            m_shares.recordAdmitted(work.customer, tokensOf(work), now);
        place(std::move(work), *candidate, now, decisions);
        return decisions;
    }
    if (admission != Admission::WithinShare) {
        decisions.rejected.push_back(makeRejection(work, ShareLimit::SpareCapacity, now));
        return decisions;
    }
    if (m_waiting.size() >= maxWaiting) {
        decisions.rejected.push_back(makeRejection(work, RejectionReason::QueueFull, now));
        return decisions;
    }
    if (now + estimate.expectedWait(work, now) > WaitEstimate::latestPlacement(work)) {
        // A server that has to read more of the prompt is better than none.
        if (const std::optional<ServerChoice::Candidate> any =
                m_choice.select(m_pool, work, now, admission, true)) {
            if (!isRetry)
                m_shares.recordAdmitted(work.customer, tokensOf(work), now);
            place(std::move(work), *any, now, decisions);
            return decisions;
        }
        decisions.rejected.push_back(makeRejection(work, RejectionReason::TooLate, now));
        return decisions;
    }
    if (candidate)
        addQueued(*candidate);
    if (!isRetry)
        m_shares.recordAdmitted(work.customer, tokensOf(work), now);
    m_waiting.push(std::move(work));
    return decisions;
}

bool Dispatcher::placeOnTrial(const Work &work, Admission admission, Base::TimePoint now,
                              Decisions &decisions)
{
    Work trial = work;
    trial.softwareVersion = work.trial->version;
    trial.onlyServers = work.trial->servers;
    trial.barredVersions.clear();
    const std::optional<ServerChoice::Candidate> candidate =
        m_choice.select(m_pool, trial, now, admission, true);
    if (!candidate || !candidate->hasRoom)
        return false;
    place(std::move(trial), *candidate, now, decisions);
    return true;
}

void Dispatcher::recordRejected(const Work &work, Base::TimePoint now)
{
    m_shares.recordDemand(accountOf(work.customer, work.residency), tokensOf(work), now);
}

void Dispatcher::withdraw(WorkId id)
{
    m_waiting.remove(id);
}

Decisions Dispatcher::advance(Base::TimePoint now)
{
    Decisions decisions;
    if (now - m_evictedAt >= evictionInterval) {
        m_evictedAt = now;
        m_pool.evictExpired(now);
    }
    if (now - m_saturationAt >= saturationInterval) {
        m_saturationAt = now;
        m_pool.updatePaces(now);
        m_shares.setSaturation(m_pool.saturation(now));
        m_overloadGate.recordWork(m_pool.plainWork(now), now);
    }
    placeWaiting(now, decisions);
    resolveOverdue(now, decisions);
    return decisions;
}

std::optional<ServiceUse> Dispatcher::use(Base::TimePoint now) const
{
    return m_pool.isEngine() ? std::nullopt : std::optional(m_overloadGate.use(now));
}

Base::Duration Dispatcher::expectedStart(WorkId id) const
{
    const auto it = m_placed.find(id);
    return it == m_placed.end() ? Base::Duration::zero() : it->second.expected;
}

Base::Duration Dispatcher::usualStart(WorkId id) const
{
    const auto it = m_placed.find(id);
    return it == m_placed.end() || !m_pool.isEngine() ? Base::Duration::zero() : it->second.usual;
}

void Dispatcher::report(HostLoad &load, Base::TimePoint now)
{
    for (const auto &[id, state] : m_pool.servers()) {
        if (state.own.running > 0)
            load.servers[id] = m_pool.reportedLoad(state, now);
    }
    m_shares.report(load, now);
    load.partUses.insert(load.partUses.end(), m_partUses.begin(), m_partUses.end());
    m_partUses.clear();
}

void Dispatcher::applyPartUses(const std::vector<PartUse> &uses, Base::TimePoint now)
{
    for (const PartUse &use : uses) {
        if (ServerState *const server = m_pool.find(use.server))
            m_pool.recordUse(*server, use.hash, now, now + reportedReadingTime);
    }
}

void Dispatcher::place(Work work, const ServerChoice::Candidate &candidate, Base::TimePoint now,
                       Decisions &decisions)
{
    ServerState &state = *candidate.state;
    Placed placed;
    placed.server = state.server.id;
    placed.unreadTokens = candidate.unreadTokens;
    placed.at = now;
    state.lastSentAt = now;
    const ServerSnapshot snapshot = m_pool.snapshotOf(state, now);
    const double fetching = candidate.fetch ? candidate.fetch->milliseconds : 0;
    const double expected =
        m_pool.cost().startMilliseconds(snapshot, candidate.unreadTokens) + fetching;
    const std::uint32_t fetched = candidate.fetch ? candidate.fetch->tokens : 0;
    const PlacementInputs inputs{candidate.unreadTokens,     fetched,
                                 snapshot.load.unreadTokens, snapshot.load.running,
                                 snapshot.slowness,          state.health.failureShare(now)};
    placed.expected = toDuration(expected);
    ServerSnapshot usual = snapshot;
    usual.slowness = 1;
    placed.usual =
        toDuration(m_pool.cost().startMilliseconds(usual, candidate.unreadTokens) + fetching);
    ++state.own.running;
    state.own.unreadTokens += candidate.unreadTokens;
    if (m_pool.isEngine())
        recordPartUses(state, work, now, now + placed.expected);
    if (candidate.fetch) {
        placed.fetch = candidate.fetch;
        placed.fetch->milliseconds =
            m_pool.cost().fetchMilliseconds(candidate.fetch->tokens, false);
        m_pool.find(candidate.fetch->from)->outgoingFetchMilliseconds += placed.fetch->milliseconds;
    }
    m_shares.recordSent(work.account, tokensOf(work), now);
    decisions.placements.push_back({work.id, state.server.id, inputs,
                                    candidate.fetch ? candidate.fetch->from : Base::ServerId()});
    const WorkId id = work.id;
    placed.work = std::move(work);
    m_placed[id] = std::move(placed);
}

void Dispatcher::recordPartUses(ServerState &state, const Work &work, Base::TimePoint now,
                                Base::TimePoint readBy)
{
    for (const PrefixHash &prefix : sharedPrefixHashes(work.parts)) {
        m_pool.recordUse(state, prefix.hash, now, readBy);
        if (prefix.tokensSoFar >= minReportedTokens && state.cache.shouldReport(prefix.hash, now))
            m_partUses.push_back({state.server.id, prefix.hash});
    }
}

void Dispatcher::addQueued(const ServerChoice::Candidate &candidate)
{
    candidate.state->queuedTokens += candidate.unreadTokens;
    m_queuedFor.push_back(candidate.state->server.id);
}

void Dispatcher::clearQueued()
{
    for (const Base::ServerId &id : m_queuedFor) {
        if (ServerState *const state = m_pool.find(id))
            state->queuedTokens = 0;
    }
    m_queuedFor.clear();
}

void Dispatcher::placeWaiting(Base::TimePoint now, Decisions &decisions)
{
    std::vector<Work> skipped;
    // Requests that are bound to full regions. They must not keep others from servers elsewhere.
    std::vector<Work> bound;
    std::vector<Residency> fullRegions;
    m_placedWaitingAt = now;
    clearQueued();
    while (!m_waiting.isEmpty() && skipped.size() < maxSkipped) {
        if (!m_pool.hasAnyRoom(now))
            break;
        std::optional<Work> work = m_waiting.takeNext(
            [&](const Base::CustomerId &customer) { return m_shares.received(customer, now); });
        if (!work)
            break;
        if (std::ranges::find(fullRegions, work->residency) != fullRegions.end()) {
            bound.push_back(std::move(*work));
            continue;
        }
        const std::optional<ServerChoice::Candidate> candidate =
            m_choice.select(m_pool, *work, now, Admission::WithinShare);
        if (candidate && candidate->hasRoom) {
            place(std::move(*work), *candidate, now, decisions);
            continue;
        }
        if (candidate)
            addQueued(*candidate);
        if (work->residency.isRestricted() && !m_pool.hasAnyRoom(work->residency, now))
            fullRegions.push_back(work->residency);
        skipped.push_back(std::move(*work));
    }
    skipped.insert(skipped.end(), std::make_move_iterator(bound.begin()),
                   std::make_move_iterator(bound.end()));
    for (Work &work : skipped)
        m_waiting.push(std::move(work));
}

void Dispatcher::resolveOverdue(Base::TimePoint now, Decisions &decisions)
{
    const std::vector<Work> overdue = m_waiting.takeIf([&](const Work &work) {
        return now > WaitEstimate::latestPlacement(work)
               || waitEstimate().unavailability(work, now);
    });
    for (const Work &work : overdue) {
        // Any server is better than none, since the best one will not be free in time.
        if (const std::optional<ServerChoice::Candidate> candidate =
                m_choice.select(m_pool, work, now, Admission::WithinShare, true)) {
            place(work, *candidate, now, decisions);
            continue;
        }
        if (work.tried.empty())
            m_shares.recordAdmitted(work.customer, -tokensOf(work), now);
        const RejectionReason reason =
            waitEstimate().unavailability(work, now).value_or(RejectionReason::TooLate);
        decisions.rejected.push_back(makeRejection(work, reason, now));
    }
}

Rejection Dispatcher::makeRejection(const Work &work, RejectionReason reason, Base::TimePoint now)
{
    return {work.id,
            reason,
            ShareLimit::None,
            waitEstimate().retryAfter(work, now),
            m_shares.received(work.customer, now),
            m_shares.shareLevel(now)};
}

Rejection Dispatcher::makeRejection(const Work &work, ShareLimit limit, Base::TimePoint now)
{
    Rejection rejection = makeRejection(work, RejectionReason::BeyondShare, now);
    rejection.shareLimit = limit;
    return rejection;
}

} // namespace Routing
