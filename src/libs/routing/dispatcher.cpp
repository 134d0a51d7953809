#include "routing/dispatcher.h"

#include "base/hash.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace Routing {

namespace {

using std::chrono::milliseconds;

/// A server in another availability zone adds two network trips of about half a millisecond each,
/// and its traffic is billed. This weight of a few milliseconds decides only between servers that
/// are otherwise equal.
constexpr double otherZoneMilliseconds = 4;
/// The cost of a failed attempt for a caller: the time of the failed attempt and of the second one.
constexpr double failureMilliseconds = 1200;
/// The exponent of the share of attempts that a server of a plain application answers, in its
/// weight. A server that fails half of its requests gets a sixteenth of what others get.
constexpr double failureExponent = 4;
/// The cost added to every server other than the rendezvous server of a beginning that is not
/// cached anywhere. Hosts that see the same beginning at the same moment thus choose the same
/// server, unless it is busy.
constexpr double nonRendezvousMilliseconds = 60;
/// Shorter beginnings are not reported to the other hosts: there are many of them, and reading one
/// again costs less than reporting it.
constexpr std::uint32_t minReportedTokens = 200;
/// The share of its start target for which a request may wait here. A request that waits longer
/// would start late at a server too, and another host or a later time serves its caller better.
constexpr double maxWaitShare = 0.5;
/// The maximum number of requests that wait at this host. Each holds a body of about ten kilobytes.
constexpr std::size_t maxWaiting = 400;
/// Generating a token costs an engine about as much as reading two tokens.
constexpr double generatedTokenWeight = 2;
/// The expected ratio of generated to allowed tokens: callers allow about four times as many tokens
/// as are generated.
constexpr double expectedGeneratedShare = 0.25;
/// The time from another host's report until the server has read the reported prompt. Servers have
/// up to a third of a second of reading queued, and the report was on its way for a tenth of a
/// second.
constexpr Base::Duration reportedReadingTime = milliseconds(200);
/// Nothing is fetched from a server whose share of failed attempts is this or higher.
constexpr double maxSourceFailureShare = 0.15;
/// The maximum number of waiting requests that one placement pass skips because their best server
/// is full, in search of one whose server has capacity.
constexpr std::size_t maxSkipped = 24;
/// The minimum time between two placement passes. A pass takes up to a millisecond of a fast core,
/// and requests end hundreds of times a second.
constexpr Base::Duration placementInterval = milliseconds(10);
/// The time between two passes that evict expired prompt parts. Expired parts are ignored in any
/// case, and there are thousands of them.
constexpr Base::Duration evictionInterval = std::chrono::seconds(1);
/// The time between two updates of the saturation. The reports of other hosts change it this often.
constexpr Base::Duration saturationInterval = milliseconds(100);
constexpr milliseconds minRetryAfter{200};
constexpr milliseconds maxRetryAfter{2000};
/// The longest time after which a caller is told to come back while all servers want no requests.
/// Other servers may come meanwhile.
constexpr milliseconds maxBackoffRetryAfter{30'000};

double tokensOf(const Work &work)
{
    return 1 + work.promptTokens
           + generatedTokenWeight * expectedGeneratedShare * work.outputTokens;
}

/// Returns the time up to which the request may wait here.
Base::TimePoint latestPlacement(const Work &work)
{
    return work.arrivedAt
           + std::chrono::duration_cast<Base::Duration>((work.startBy - work.arrivedAt)
                                                        * maxWaitShare);
}

bool wasTried(const Work &work, const Base::ServerId &server)
{
    return std::find(work.tried.begin(), work.tried.end(), server) != work.tried.end();
}

} // namespace

Dispatcher::Dispatcher(const ServiceTraits &traits, const Base::ZoneId &ownZone,
                       const Base::HostId &self)
    : m_cost(traits)
    , m_warmUpLimiter(self)
    , m_hostHash(Base::stableHash(self.value()))
    , m_ownZone(ownZone)
{
    setTraits(traits);
}

void Dispatcher::setTraits(const ServiceTraits &traits)
{
    m_cost.setTraits(traits);
    m_shares.setThroughput(traits.isEngine ? traits.sharedTokensPerSecond : 0);
    m_warmUpLimiter.setWarmUp(traits.warmUp);
}

void Dispatcher::setServers(const std::vector<RegisteredServer> &servers)
{
    std::map<Base::ServerId, ServerState> next;
    for (const RegisteredServer &server : servers) {
        const auto known = m_servers.find(server.id);
        if (known != m_servers.end())
            next[server.id] = std::move(known->second);
        next[server.id].server = server;
    }
    m_servers = std::move(next);
    updateEvacuated();
    peerLoadChanged();
}

void Dispatcher::setWarmUntil(const Base::ServerId &server, Base::TimePoint until)
{
    const auto it = m_servers.find(server);
    if (it != m_servers.end())
        it->second.warmUntil = std::max(it->second.warmUntil, until);
}

void Dispatcher::setEvacuatedZones(const std::set<Base::ZoneId> &zones, Base::TimePoint now)
{
    m_evacuatedZones = zones;
    for (auto &[id, state] : m_servers) {
        // All hosts see an idle zone at the same moment, and its servers may be cold.
        const bool isRestored = state.isEvacuated && zones.count(state.server.zone) == 0;
        if (isRestored)
            state.warmUntil = std::max(state.warmUntil, now + m_warmUpLimiter.presumedWarmUp());
    }
    updateEvacuated();
}

void Dispatcher::updateEvacuated()
{
    for (auto &[id, state] : m_servers)
        state.isEvacuated = m_evacuatedZones.count(state.server.zone) > 0;
}

void Dispatcher::setPeerLoad(const PeerLoad &peerLoad)
{
    m_peerLoad = &peerLoad;
    m_shares.setPeerLoad(peerLoad);
    peerLoadChanged();
}

void Dispatcher::peerLoadChanged()
{
    if (!m_peerLoad)
        return;
    m_warmUpLimiter.setHosts(m_peerLoad->possibleHosts);
    for (auto &[id, state] : m_servers) {
        const auto it = m_peerLoad->servers.find(id);
        state.peerLoad = it == m_peerLoad->servers.end() ? ServerLoad() : it->second;
    }
}

Decisions Dispatcher::submit(Work work, Base::TimePoint now)
{
    Decisions decisions;
    if (work.tried.empty()) {
        m_shares.recordDemand(work.customer, tokensOf(work), now);
        m_overloadGate.recordArrival(now);
    }
    if (const std::optional<RejectionReason> reason = unavailability(work, now)) {
        decisions.rejected.push_back(makeRejection(work, *reason, now));
        return decisions;
    }
    // A returning request was admitted before, and a server may have spent time on it. If it were
    // rejected now, its caller could not be told that it has not run.
    const bool isRetry = !work.tried.empty();
    const Admission admission =
        isRetry ? Admission::WithinShare : m_shares.admission(work.customer, now);
    // The refusal comes first: looking at a hundred servers would cost an overloaded host more than
    // the rest of the refusal.
    if (isRefused(admission)) {
        const ShareLimit limit =
            admission == Admission::OverRate ? ShareLimit::Rate : ShareLimit::AheadOfOthers;
        decisions.rejected.push_back(makeRejection(work, limit, now));
        return decisions;
    }
    if (!isRetry && !m_cost.traits().isEngine && !m_overloadGate.admit(now)) {
        decisions.rejected.push_back(makeRejection(work, RejectionReason::TooLate, now));
        return decisions;
    }
    const bool onlyWithCapacity = isRetry || admission == Admission::SpareCapacity;
    // Waiting requests mostly wait for servers that are full, so a new request may overtake them.
    const std::optional<Candidate> candidate = selectServer(work, now, admission, onlyWithCapacity);
    if (candidate && candidate->hasRoom) {
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
    if (now + expectedWait(work.customer, now) > latestPlacement(work)) {
        // A server that has to read more of the prompt is better than none.
        if (const std::optional<Candidate> any = selectServer(work, now, admission, true)) {
            if (!isRetry)
                m_shares.recordAdmitted(work.customer, tokensOf(work), now);
            place(std::move(work), *any, now, decisions);
            return decisions;
        }
        decisions.rejected.push_back(makeRejection(work, RejectionReason::TooLate, now));
        return decisions;
    }
    if (candidate)
        candidate->state->queuedTokens += candidate->unreadTokens;
    if (!isRetry)
        m_shares.recordAdmitted(work.customer, tokensOf(work), now);
    m_waiting.push(std::move(work));
    return decisions;
}

void Dispatcher::recordRejected(const Work &work, Base::TimePoint now)
{
    m_shares.recordDemand(work.customer, tokensOf(work), now);
}

void Dispatcher::withdraw(WorkId id)
{
    m_waiting.remove(id);
}

void Dispatcher::started(WorkId id, Base::TimePoint now)
{
    const auto it = m_placed.find(id);
    if (it == m_placed.end() || it->second.isStarted)
        return;
    Placed &placed = it->second;
    placed.isStarted = true;
    releaseFetch(placed);
    m_shares.recordStarted(placed.work.customer, tokensOf(placed.work), now);
    const auto server = m_servers.find(placed.server);
    if (server == m_servers.end())
        return;
    ServerState &state = server->second;
    state.own.unreadTokens -= std::min(state.own.unreadTokens, placed.unreadTokens);
    state.health.recordStart(now - placed.at, placed.expected, now);
}

Decisions Dispatcher::finished(WorkId id, AttemptOutcome outcome, Base::TimePoint now)
{
    Decisions decisions;
    const auto it = m_placed.find(id);
    if (it == m_placed.end())
        return decisions;
    Placed placed = std::move(it->second);
    m_placed.erase(it);
    releaseFetch(placed);
    const auto server = m_servers.find(placed.server);
    if (server != m_servers.end()) {
        ServerState &state = server->second;
        state.own.running -= std::min(state.own.running, 1U);
        if (!placed.isStarted)
            state.own.unreadTokens -= std::min(state.own.unreadTokens, placed.unreadTokens);
        state.health.record(outcome, now);
        if (outcome == AttemptOutcome::Served && !m_cost.traits().isEngine) {
            m_overloadGate.recordAnswer(now);
            state.health.recordStart(now - placed.at, placed.expected, now);
        }
        if (outcome == AttemptOutcome::Unreachable)
            state.cache.clear();
        // The server may be starting again, and its entry tells so only later.
        if (outcome == AttemptOutcome::Unreachable)
            state.warmUntil = std::max(state.warmUntil, now + m_warmUpLimiter.presumedWarmUp());
    }
    if (!m_waiting.isEmpty() && now - m_placedWaitingAt >= placementInterval)
        placeWaiting(now, decisions);
    return decisions;
}

Decisions Dispatcher::advance(Base::TimePoint now)
{
    Decisions decisions;
    if (now - m_evictedAt >= evictionInterval) {
        m_evictedAt = now;
        for (auto &[id, state] : m_servers)
            state.cache.evictExpired(now);
    }
    if (now - m_saturationAt >= saturationInterval) {
        m_saturationAt = now;
        m_shares.setSaturation(saturation(now));
        m_overloadGate.recordWork(plainWork(now), now);
    }
    placeWaiting(now, decisions);
    resolveOverdue(now, decisions);
    return decisions;
}

std::optional<ServiceUse> Dispatcher::use(Base::TimePoint now) const
{
    return m_cost.traits().isEngine ? std::nullopt : std::optional(m_overloadGate.use(now));
}

PlainWork Dispatcher::plainWork(Base::TimePoint now) const
{
    PlainWork work;
    for (const auto &[id, state] : m_servers) {
        if (!isUsable(state, now))
            continue;
        const std::uint32_t running = snapshotOf(state, now).load.running;
        const std::uint32_t busy = std::min(running, state.server.slots);
        work.slots += state.server.slots;
        work.busySlots += busy;
        work.queued += running - busy;
    }
    return work;
}

Base::Duration Dispatcher::expectedStart(WorkId id) const
{
    const auto it = m_placed.find(id);
    return it == m_placed.end() ? Base::Duration::zero() : it->second.expected;
}

void Dispatcher::report(HostLoad &load, Base::TimePoint now)
{
    for (const auto &[id, state] : m_servers) {
        if (state.own.running > 0)
            load.servers[id] = state.own;
    }
    m_shares.report(load, now);
    load.partUses.insert(load.partUses.end(), m_partUses.begin(), m_partUses.end());
    m_partUses.clear();
}

void Dispatcher::applyPartUses(const std::vector<PartUse> &uses, Base::TimePoint now)
{
    for (const PartUse &use : uses) {
        const auto server = m_servers.find(use.server);
        if (server != m_servers.end())
            server->second.cache.recordUse(use.hash, now, now + reportedReadingTime);
    }
}

std::optional<Dispatcher::Candidate> Dispatcher::selectServer(const Work &work, Base::TimePoint now,
                                                              Admission admission,
                                                              bool onlyWithCapacity)
{
    if (m_servers.empty())
        return std::nullopt;
    if (!m_cost.traits().isEngine)
        return drawPlainServer(work, now);
    const std::vector<PrefixHash> prefixes = sharedPrefixHashes(work.parts);
    m_cachedTokens.clear();
    for (const auto &[id, state] : m_servers)
        m_cachedTokens.push_back(state.cache.cachedTokens(prefixes, now));
    const std::uint32_t maxCached = *std::max_element(m_cachedTokens.begin(), m_cachedTokens.end());
    const bool isNew = !prefixes.empty() && maxCached < prefixes.back().tokensSoFar;
    const CachedPrefix prompt{maxCached,
                              isNew ? selectByRendezvous(prefixes.back().hash, now) : nullptr,
                              PrefixFetch(m_cost, sourcesFor(work, prefixes, now))};
    std::optional<Candidate> best;
    auto cachedHere = m_cachedTokens.begin();
    for (auto &[id, state] : m_servers) {
        const std::uint32_t cached = *cachedHere++;
        if (!isUsable(state, now))
            continue;
        const ServerSnapshot snapshot = snapshotOf(state, now);
        const bool hasCapacity = m_cost.hasRoom(snapshot, admission);
        if (!hasCapacity && onlyWithCapacity)
            continue;
        Candidate candidate = evaluate(state, snapshot, work, cached, prompt, now);
        candidate.hasRoom = hasCapacity;
        if (!best || candidate.milliseconds < best->milliseconds)
            best = std::move(candidate);
    }
    return best;
}

std::optional<Dispatcher::Candidate> Dispatcher::drawPlainServer(const Work &work,
                                                                 Base::TimePoint now)
{
    ServerState *drawn = nullptr;
    std::pair<bool, double> lowest;
    const std::uint64_t seed = m_hostHash + work.id;
    for (auto &[id, state] : m_servers) {
        if (!hasRoom(state, Admission::WithinShare, now))
            continue;
        // The lowest of exponential draws belongs to each server in proportion to its weight.
        const double uniform =
            (static_cast<double>(Base::stableHash(id.value(), seed)) + 1)
            / (static_cast<double>(std::numeric_limits<std::uint64_t>::max()) + 2);
        const double weight = std::pow(1 - state.health.failureShare(now), failureExponent)
                              / state.health.slowness(now);
        const std::pair order(wasTried(work, id), -std::log(uniform) / weight);
        if (drawn && order >= lowest)
            continue;
        drawn = &state;
        lowest = order;
    }
    if (!drawn)
        return std::nullopt;
    const CachedPrefix prompt{0, nullptr, PrefixFetch(m_cost, {})};
    Candidate candidate = evaluate(*drawn, snapshotOf(*drawn, now), work, 0, prompt, now);
    candidate.hasRoom = true;
    return candidate;
}

Dispatcher::Candidate Dispatcher::evaluate(ServerState &state, const ServerSnapshot &snapshot,
                                           const Work &work, std::uint32_t cachedTokens,
                                           const CachedPrefix &prompt, Base::TimePoint now) const
{
    Candidate candidate;
    candidate.state = &state;
    candidate.fetch = prompt.fetch.plan(state.server.id, state.server.zone, cachedTokens);
    const std::uint32_t available = cachedTokens + (candidate.fetch ? candidate.fetch->tokens : 0);
    if (m_cost.traits().isEngine)
        candidate.unreadTokens = work.promptTokens - std::min(available, work.promptTokens);
    double &cost = candidate.milliseconds;
    cost = m_cost.startMilliseconds(snapshot, candidate.unreadTokens);
    if (candidate.fetch)
        cost += candidate.fetch->milliseconds;
    // Requests that wait for the server are served first. Without this term, a hundred requests
    // with the same beginning would all wait for the server that has it cached, while others are
    // idle.
    if (m_cost.traits().isEngine)
        cost += m_cost.readMilliseconds(static_cast<double>(state.queuedTokens));
    cost += m_cost.rereadMilliseconds(prompt.maxTokens - std::min(available, prompt.maxTokens));
    cost += state.health.failureShare(now) * failureMilliseconds;
    if (prompt.rendezvousServer && &state != prompt.rendezvousServer)
        cost += nonRendezvousMilliseconds;
    if (state.server.zone != m_ownZone)
        cost += otherZoneMilliseconds;
    if (wasTried(work, state.server.id))
        cost += 10 * failureMilliseconds;
    return candidate;
}

std::vector<PrefixSource> Dispatcher::sourcesFor(const Work &work,
                                                 const std::vector<PrefixHash> &prefixes,
                                                 Base::TimePoint now) const
{
    std::vector<PrefixSource> sources;
    if (prefixes.empty() || !m_cost.traits().transferMsPerToken)
        return sources;
    for (const auto &[id, state] : m_servers) {
        // A fetch from a server that failed this request, or other requests recently, would hang or
        // return nothing. The request would then start late at a healthy server.
        if (!state.health.isUsable(now) || !wantsRequests(state, now) || wasTried(work, id)
            || state.health.failureShare(now) >= maxSourceFailureShare)
            continue;
        const std::uint32_t tokens = state.cache.fetchableTokens(prefixes, now);
        if (tokens > 0)
            sources.push_back({id, state.server.zone, tokens, state.outgoingFetchMilliseconds});
    }
    return sources;
}

void Dispatcher::releaseFetch(Placed &placed)
{
    if (!placed.fetch)
        return;
    const auto source = m_servers.find(placed.fetch->from);
    if (source != m_servers.end()) {
        double &outgoing = source->second.outgoingFetchMilliseconds;
        outgoing = std::max(0.0, outgoing - placed.fetch->milliseconds);
    }
    placed.fetch.reset();
}

const Dispatcher::ServerState *Dispatcher::selectByRendezvous(std::uint64_t beginning,
                                                              Base::TimePoint now) const
{
    const ServerState *selected = nullptr;
    std::uint64_t lowest = 0;
    for (const auto &[id, state] : m_servers) {
        // A server that takes few requests cannot be the only one that keeps a beginning.
        if (state.isEvacuated || now < state.warmUntil || !wantsRequests(state, now))
            continue;
        const std::uint64_t order = Base::stableHash(id.value(), beginning);
        if (selected && order >= lowest)
            continue;
        selected = &state;
        lowest = order;
    }
    return selected;
}

ServerSnapshot Dispatcher::snapshotOf(const ServerState &state, Base::TimePoint now) const
{
    ServerSnapshot snapshot;
    snapshot.slots = state.server.slots;
    snapshot.load.running = state.own.running + state.peerLoad.running;
    snapshot.load.unreadTokens = state.own.unreadTokens + state.peerLoad.unreadTokens;
    snapshot.slowness = state.health.slowness(now);
    return snapshot;
}

bool Dispatcher::wantsRequests(const ServerState &state, Base::TimePoint now) const
{
    return !m_notices || m_notices->wantsRequests(state.server.id, now);
}

bool Dispatcher::hasEligibleServer() const
{
    return std::any_of(m_servers.begin(), m_servers.end(), [this](const auto &it) {
        return !it.second.isEvacuated && !(m_notices && m_notices->isLeaving(it.first));
    });
}

bool Dispatcher::isUsable(const ServerState &state, Base::TimePoint now) const
{
    if (state.isEvacuated || !state.health.isUsable(now) || !wantsRequests(state, now))
        return false;
    return now >= state.warmUntil
           || m_warmUpLimiter.isAllowed(state.server.id, state.lastSentAt, now);
}

bool Dispatcher::hasRoom(const ServerState &state, Admission admission, Base::TimePoint now) const
{
    return isUsable(state, now) && m_cost.hasRoom(snapshotOf(state, now), admission);
}

double Dispatcher::saturation(Base::TimePoint now) const
{
    double sum = 0;
    double usable = 0;
    for (const auto &[id, state] : m_servers) {
        if (!isUsable(state, now))
            continue;
        usable += 1;
        if (!hasRoom(state, Admission::SpareCapacity, now))
            sum += hasRoom(state, Admission::WithinShare, now) ? 1 : 2;
    }
    return usable > 0 ? sum / usable : 0;
}

void Dispatcher::place(Work work, const Candidate &candidate, Base::TimePoint now,
                       Decisions &decisions)
{
    ServerState &state = *candidate.state;
    Placed placed;
    placed.server = state.server.id;
    placed.unreadTokens = candidate.unreadTokens;
    placed.at = now;
    state.lastSentAt = now;
    const ServerSnapshot snapshot = snapshotOf(state, now);
    const double fetching = candidate.fetch ? candidate.fetch->milliseconds : 0;
    const double expected = m_cost.startMilliseconds(snapshot, candidate.unreadTokens) + fetching;
    const std::uint32_t fetched = candidate.fetch ? candidate.fetch->tokens : 0;
    const PlacementInputs inputs{candidate.unreadTokens,     fetched,
                                 snapshot.load.unreadTokens, snapshot.load.running,
                                 snapshot.slowness,          state.health.failureShare(now)};
    placed.expected = std::chrono::duration_cast<Base::Duration>(
        std::chrono::duration<double, std::milli>(expected));
    ++state.own.running;
    state.own.unreadTokens += candidate.unreadTokens;
    if (m_cost.traits().isEngine)
        recordPartUses(state, work, now, now + placed.expected);
    if (candidate.fetch) {
        placed.fetch = candidate.fetch;
        placed.fetch->milliseconds = m_cost.fetchMilliseconds(candidate.fetch->tokens, false);
        const auto source = m_servers.find(candidate.fetch->from);
        source->second.outgoingFetchMilliseconds += placed.fetch->milliseconds;
    }
    m_shares.recordSent(work.customer, tokensOf(work), now);
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
        state.cache.recordUse(prefix.hash, now, readBy);
        if (prefix.tokensSoFar >= minReportedTokens && state.cache.shouldReport(prefix.hash, now))
            m_partUses.push_back({state.server.id, prefix.hash});
    }
}

void Dispatcher::placeWaiting(Base::TimePoint now, Decisions &decisions)
{
    std::vector<Work> skipped;
    m_placedWaitingAt = now;
    for (auto &[id, state] : m_servers)
        state.queuedTokens = 0;
    while (!m_waiting.isEmpty() && skipped.size() < maxSkipped) {
        const bool hasCapacity =
            std::any_of(m_servers.begin(), m_servers.end(), [&](const auto &it) {
                return hasRoom(it.second, Admission::WithinShare, now);
            });
        if (!hasCapacity)
            break;
        std::optional<Work> work = m_waiting.takeNext(
            [&](const Base::CustomerId &customer) { return m_shares.received(customer, now); });
        if (!work)
            break;
        const std::optional<Candidate> candidate = selectServer(*work, now, Admission::WithinShare);
        if (candidate && candidate->hasRoom) {
            place(std::move(*work), *candidate, now, decisions);
            continue;
        }
        if (candidate)
            candidate->state->queuedTokens += candidate->unreadTokens;
        skipped.push_back(std::move(*work));
    }
    for (Work &work : skipped)
        m_waiting.push(std::move(work));
}

void Dispatcher::resolveOverdue(Base::TimePoint now, Decisions &decisions)
{
    const std::vector<Work> overdue = m_waiting.takeIf(
        [&](const Work &work) { return now > latestPlacement(work) || unavailability(work, now); });
    for (const Work &work : overdue) {
        // Any server is better than none, since the best one will not be free in time.
        if (const std::optional<Candidate> candidate =
                selectServer(work, now, Admission::WithinShare, true)) {
            place(work, *candidate, now, decisions);
            continue;
        }
        if (work.tried.empty())
            m_shares.recordAdmitted(work.customer, -tokensOf(work), now);
        const RejectionReason reason = unavailability(work, now).value_or(RejectionReason::TooLate);
        decisions.rejected.push_back(makeRejection(work, reason, now));
    }
}

std::optional<RejectionReason> Dispatcher::unavailability(const Work &work,
                                                          Base::TimePoint now) const
{
    if (!hasEligibleServer())
        return RejectionReason::NoServer;
    const Base::Duration backoff = commonBackoff(now);
    if (backoff > Base::Duration::zero() && now + backoff > latestPlacement(work))
        return RejectionReason::BackedOff;
    return std::nullopt;
}

Base::Duration Dispatcher::commonBackoff(Base::TimePoint now) const
{
    Base::Duration shortest = Base::Duration::max();
    for (const auto &[id, state] : m_servers) {
        if (state.isEvacuated || (m_notices && m_notices->isLeaving(id)))
            continue;
        const Base::Duration left =
            m_notices ? m_notices->backoffLeft(id, now) : Base::Duration::zero();
        if (left == Base::Duration::zero())
            return Base::Duration::zero();
        shortest = std::min(shortest, left);
    }
    return shortest == Base::Duration::max() ? Base::Duration::zero() : shortest;
}

Base::Duration Dispatcher::expectedWait(const Base::CustomerId &customer, Base::TimePoint now) const
{
    // Customers take turns, so the wait of a customer is the time for its own requests multiplied
    // by the number of customers that wait.
    const std::uint64_t own = m_waiting.tokensOf(customer);
    const std::size_t customers = std::max<std::size_t>(m_waiting.customers(), 1);
    const double tokens = std::min(static_cast<double>(own) * static_cast<double>(customers),
                                   static_cast<double>(m_waiting.tokens()));
    return std::chrono::duration_cast<Base::Duration>(
        std::chrono::duration<double, std::milli>(tokens / drainTokensPerMs(now)));
}

double Dispatcher::drainTokensPerMs(Base::TimePoint now) const
{
    const double hosts =
        m_peerLoad ? static_cast<double>(std::max<std::size_t>(m_peerLoad->hosts, 1)) : 1;
    const auto willing = std::count_if(m_servers.begin(), m_servers.end(), [&](const auto &it) {
        return wantsRequests(it.second, now);
    });
    const double servers = static_cast<double>(std::max<std::ptrdiff_t>(willing, 1));
    return std::max(1.0, servers * m_cost.traits().readTokensPerMs / hosts);
}

Base::Milliseconds Dispatcher::retryAfter(Base::TimePoint now) const
{
    const double ms = static_cast<double>(m_waiting.tokens()) / drainTokensPerMs(now);
    const milliseconds drained =
        std::clamp(milliseconds(static_cast<std::int64_t>(ms)), minRetryAfter, maxRetryAfter);
    return std::max(drained, backoffRetryAfter(now));
}

Base::Milliseconds Dispatcher::backoffRetryAfter(Base::TimePoint now) const
{
    return std::min(std::chrono::ceil<milliseconds>(commonBackoff(now)), maxBackoffRetryAfter);
}

Rejection Dispatcher::makeRejection(const Work &work, RejectionReason reason, Base::TimePoint now)
{
    return {work.id,
            reason,
            ShareLimit::None,
            retryAfter(now),
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
