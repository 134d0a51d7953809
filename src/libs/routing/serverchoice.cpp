#include "routing/serverchoice.h"

#include "base/hash.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <tuple>
#include <utility>

namespace Routing {

namespace {

/// A server in another availability zone adds two network trips of about half a millisecond each,
/// and its traffic is billed. This weight of a few milliseconds decides only between servers that
/// are otherwise equal.
constexpr double otherZoneMilliseconds = 4;
/// A server in another region adds two round trips of about 25 ms, and all traffic between two
/// regions shares one slow link.
constexpr double otherRegionMilliseconds = 50;
/// The cost of a failed attempt for a caller: the time of the failed attempt and of the second one.
constexpr double failureMilliseconds = 1200;
/// The exponent of the share of attempts that a server of a plain application answers, in its
/// weight. A server that fails half of its requests gets a sixteenth of what others get.
constexpr double failureExponent = 4;
/// The cost added to every server other than the rendezvous server of a beginning that is not
/// cached anywhere. Hosts that see the same beginning at the same moment thus choose the same
/// server, unless it is busy.
constexpr double nonRendezvousMilliseconds = 60;
/// Nothing is fetched from a server whose share of failed attempts is this or higher.
constexpr double maxSourceFailureShare = 0.15;

/// Servers of a large pool that follow a beginning on the ring and are looked at. Some of them may
/// not be usable.
constexpr std::size_t ringServers = 8;
/// Further servers of a large pool that are looked at, three in four of them in the own zone. If
/// none has capacity, this number grows by a factor, and one in four are in the own zone: once for
/// most requests, and to the whole pool for those that few servers may run.
constexpr std::size_t smallestSample = 32;
constexpr std::size_t sampleGrowth = 8;

bool wasTried(const Work &work, const Base::ServerId &server)
{
    return std::find(work.tried.begin(), work.tried.end(), server) != work.tried.end();
}

} // namespace

ServerChoice::ServerChoice(const Base::ZoneId &ownZone, const Base::HostId &self)
    : m_ownZone(ownZone)
    , m_hostHash(Base::stableHash(self.value()))
{}

std::optional<ServerChoice::Candidate> ServerChoice::select(ServerPool &pool, const Work &work,
                                                            Base::TimePoint now,
                                                            Admission admission,
                                                            bool onlyWithCapacity)
{
    if (pool.servers().empty())
        return std::nullopt;
    if (!pool.isEngine())
        return drawPlainServer(pool, work, now);
    const std::vector<PrefixHash> prefixes = sharedPrefixHashes(work.parts);
    const std::size_t largestSample =
        isBound(work) ? pool.servers().size() : smallestSample * sampleGrowth;
    std::optional<Candidate> best;
    for (std::size_t sample = smallestSample;; sample *= sampleGrowth) {
        collect(pool, work, prefixes, sample);
        best = selectCollected(pool, work, prefixes, now, admission, onlyWithCapacity);
        const bool isLast = !pool.isLarge() || sample >= largestSample;
        if (isLast || (best && best->hasRoom))
            return best;
    }
}

void ServerChoice::collect(ServerPool &pool, const Work &work,
                           const std::vector<PrefixHash> &prefixes, std::size_t sample)
{
    m_collected.clear();
    if (!pool.isLarge() || sample >= pool.servers().size()) {
        for (auto &[id, state] : pool.servers())
            m_collected.push_back(&state);
        return;
    }
    const ServerIndex &index = pool.index();
    m_collectedIds.clear();
    index.appendKeepers(prefixes, m_collectedIds);
    if (!prefixes.empty())
        index.appendSuccessors(prefixes.back().hash, ringServers, m_collectedIds);
    if (work.onlyServers)
        m_collectedIds.insert(m_collectedIds.end(), work.onlyServers->begin(),
                              work.onlyServers->end());
    // If the first servers have no capacity, the own zone may have none.
    const std::size_t otherZones = sample > smallestSample ? sample - sample / 4 : sample / 4;
    index.appendSuccessors(m_ownZone, nextDraw(), sample - otherZones, m_collectedIds);
    index.appendSuccessors(nextDraw(), otherZones, m_collectedIds);
    std::ranges::sort(m_collectedIds);
    m_collectedIds.erase(std::unique(m_collectedIds.begin(), m_collectedIds.end()),
                         m_collectedIds.end());
    for (const Base::ServerId &id : m_collectedIds) {
        if (ServerState *const state = pool.find(id))
            m_collected.push_back(state);
    }
}

std::uint64_t ServerChoice::nextDraw()
{
    const std::uint64_t both[] = {m_hostHash, ++m_draws};
    return Base::stableHash(std::string_view(reinterpret_cast<const char *>(both), sizeof(both)));
}

const ServerState *ServerChoice::rendezvousServer(ServerPool &pool, const Work &work,
                                                  std::uint64_t beginning,
                                                  Base::TimePoint now) const
{
    if (!pool.isLarge())
        return pool.selectByRendezvous(beginning, work, m_ownRegion, now);
    std::vector<Base::ServerId> ids;
    pool.index().appendSuccessors(beginning, ringServers, ids);
    const ServerState *selected = nullptr;
    for (const Base::ServerId &id : ids) {
        const ServerState *const state = pool.find(id);
        if (!state || !pool.mayKeepAlone(*state, work, now))
            continue;
        if (state->region == m_ownRegion)
            return state;
        selected = selected ? selected : state;
    }
    return selected;
}

std::optional<ServerChoice::Candidate>
ServerChoice::selectCollected(ServerPool &pool, const Work &work,
                              const std::vector<PrefixHash> &prefixes, Base::TimePoint now,
                              Admission admission, bool onlyWithCapacity)
{
    m_cachedTokens.clear();
    for (const ServerState *state : m_collected)
        m_cachedTokens.push_back(state->cache.cachedTokens(prefixes, now));
    if (m_cachedTokens.empty())
        return std::nullopt;
    const std::uint32_t maxCached = *std::max_element(m_cachedTokens.begin(), m_cachedTokens.end());
    const bool isNew = !prefixes.empty() && maxCached < prefixes.back().tokensSoFar;
    const CachedPrefix prompt{
        maxCached, isNew ? rendezvousServer(pool, work, prefixes.back().hash, now) : nullptr,
        PrefixFetch(pool.cost(), sourcesFor(pool, work, prefixes, now))};
    const std::uint32_t minCached =
        admission == Admission::CachedOnly ? maxUsableCached(pool, work, now) : 0;
    std::optional<Candidate> best;
    auto cachedHere = m_cachedTokens.begin();
    for (ServerState *const state : m_collected) {
        const std::uint32_t cached = *cachedHere++;
        if (!ServerPool::isCompatible(*state, work) || !pool.isUsable(*state, now))
            continue;
        const ServerSnapshot snapshot = pool.snapshotOf(*state, now);
        const bool hasCapacity = pool.cost().hasRoom(snapshot, admission);
        if (!hasCapacity && onlyWithCapacity)
            continue;
        if (cached < minCached)
            continue;
        Candidate candidate = evaluate(pool, *state, snapshot, work, cached, prompt, now);
        candidate.hasRoom = hasCapacity;
        if (!best || candidate.milliseconds < best->milliseconds)
            best = std::move(candidate);
    }
    return best;
}

std::uint32_t ServerChoice::maxUsableCached(const ServerPool &pool, const Work &work,
                                            Base::TimePoint now) const
{
    std::uint32_t tokens = 0;
    auto cachedHere = m_cachedTokens.begin();
    for (const ServerState *state : m_collected) {
        const std::uint32_t cached = *cachedHere++;
        if (cached > tokens && ServerPool::isCompatible(*state, work) && pool.isUsable(*state, now))
            tokens = cached;
    }
    return tokens;
}

std::optional<ServerChoice::Candidate>
ServerChoice::drawPlainServer(ServerPool &pool, const Work &work, Base::TimePoint now) const
{
    ServerState *drawn = nullptr;
    std::tuple<bool, bool, double> lowest;
    const std::uint64_t seed = m_hostHash + work.id;
    for (auto &[id, state] : pool.servers()) {
        if (!ServerPool::isCompatible(state, work)
            || !pool.hasRoom(state, Admission::WithinShare, now))
            continue;
        // The lowest of exponential draws belongs to each server in proportion to its weight.
        const double uniform =
            (static_cast<double>(Base::stableHash(id.value(), seed)) + 1)
            / (static_cast<double>(std::numeric_limits<std::uint64_t>::max()) + 2);
        const double weight = std::pow(1 - state.health.failureShare(now), failureExponent)
                              / state.health.slowness(now);
        const std::tuple order(wasTried(work, id), state.region != m_ownRegion,
                               -std::log(uniform) / weight);
        if (drawn && order >= lowest)
            continue;
        drawn = &state;
        lowest = order;
    }
    if (!drawn)
        return std::nullopt;
    const CachedPrefix prompt{0, nullptr, PrefixFetch(pool.cost(), {})};
    Candidate candidate =
        evaluate(pool, *drawn, pool.snapshotOf(*drawn, now), work, 0, prompt, now);
    candidate.hasRoom = true;
    return candidate;
}

ServerChoice::Candidate ServerChoice::evaluate(const ServerPool &pool, ServerState &state,
                                               const ServerSnapshot &snapshot, const Work &work,
                                               std::uint32_t cachedTokens,
                                               const CachedPrefix &prompt,
                                               Base::TimePoint now) const
{
    Candidate candidate;
    candidate.state = &state;
    candidate.fetch = prompt.fetch.plan(state.server.id, state.server.zone, cachedTokens,
                                        state.server.softwareVersion, state.region);
    const std::uint32_t available = cachedTokens + (candidate.fetch ? candidate.fetch->tokens : 0);
    if (pool.isEngine())
        candidate.unreadTokens = work.promptTokens - std::min(available, work.promptTokens);
    double &cost = candidate.milliseconds;
    cost = pool.cost().startMilliseconds(snapshot, candidate.unreadTokens);
    if (candidate.fetch)
        cost += candidate.fetch->milliseconds;
    // Requests that wait for the server are served first. Without this term, a hundred requests
    // with the same beginning would all wait for the server that has it cached, while others are
    // idle.
    if (pool.isEngine())
        cost += pool.cost().readMilliseconds(static_cast<double>(state.queuedTokens));
    cost +=
        pool.cost().rereadMilliseconds(prompt.maxTokens - std::min(available, prompt.maxTokens));
    cost += state.health.failureShare(now) * failureMilliseconds;
    if (prompt.rendezvousServer && &state != prompt.rendezvousServer)
        cost += nonRendezvousMilliseconds;
    if (state.server.zone != m_ownZone)
        cost += otherZoneMilliseconds;
    if (state.region != m_ownRegion)
        cost += otherRegionMilliseconds;
    if (wasTried(work, state.server.id))
        cost += 10 * failureMilliseconds;
    return candidate;
}

std::vector<PrefixSource> ServerChoice::sourcesFor(const ServerPool &pool, const Work &work,
                                                   const std::vector<PrefixHash> &prefixes,
                                                   Base::TimePoint now) const
{
    std::vector<PrefixSource> sources;
    if (prefixes.empty() || !pool.cost().traits().transferMsPerToken)
        return sources;
    for (const ServerState *state : m_collected) {
        // A fetch from a server that failed this request, or other requests recently, would hang or
        // return nothing. The request would then start late at a healthy server.
        const Base::ServerId &id = state->server.id;
        if (!work.residency.allows(state->region) || !state->health.isUsable(now)
            || !pool.wantsRequests(*state, now) || wasTried(work, id)
            || state->health.failureShare(now) >= maxSourceFailureShare)
            continue;
        const std::uint32_t tokens = state->cache.fetchableTokens(prefixes, now);
        if (tokens > 0)
            sources.push_back({id, state->server.zone, tokens, state->outgoingFetchMilliseconds,
                               state->server.softwareVersion, state->region});
    }
    return sources;
}

} // namespace Routing
