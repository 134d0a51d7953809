#include "routing/serverpool.h"

#include "base/hash.h"

#include <algorithm>
#include <utility>

namespace Routing {

ServerPool::ServerPool(const ServiceTraits &traits, const Base::HostId &self)
    : m_cost(traits)
    , m_warmUpLimiter(self)
{
    setTraits(traits);
}

void ServerPool::setTraits(const ServiceTraits &traits)
{
    m_cost.setTraits(traits);
    m_warmUpLimiter.setWarmUp(traits.warmUp);
}

void ServerPool::setServers(const std::vector<RegisteredServer> &servers)
{
    std::map<Base::ServerId, ServerState> next;
    for (const RegisteredServer &server : servers) {
        const auto known = m_servers.find(server.id);
        if (known != m_servers.end())
            next[server.id] = std::move(known->second);
        ServerState &state = next[server.id];
        state.server = server;
        state.region = m_zoneRegions.regionOf(server.zone);
    }
    m_servers = std::move(next);
    m_hasSeveralVersions = std::any_of(servers.begin(), servers.end(), [&](const auto &it) {
        return it.softwareVersion != servers.front().softwareVersion;
    });
    updateEvacuated();
    m_index.setServers(isLarge() ? servers : std::vector<RegisteredServer>());
}

void ServerPool::recordUse(ServerState &state, std::uint64_t hash, Base::TimePoint now,
                           Base::TimePoint readBy)
{
    state.cache.recordUse(hash, now, readBy);
    if (isLarge())
        m_index.recordUse(state.server.id, hash, now);
}

void ServerPool::evictExpired(Base::TimePoint now)
{
    for (auto &[id, state] : m_servers)
        state.cache.evictExpired(now);
    m_index.evictExpired(now);
}

void ServerPool::setWarmUntil(const Base::ServerId &server, Base::TimePoint until)
{
    if (ServerState *state = find(server))
        state->warmUntil = std::max(state->warmUntil, until);
}

void ServerPool::setEvacuatedZones(const std::set<Base::ZoneId> &zones, Base::TimePoint now)
{
    m_evacuatedZones = zones;
    for (auto &[id, state] : m_servers) {
        // All hosts see an idle zone at the same moment, and its servers may be cold.
        const bool isRestored = state.isEvacuated && zones.count(state.server.zone) == 0;
        if (isRestored)
            presumeCold(state, now);
    }
    updateEvacuated();
}

void ServerPool::updateEvacuated()
{
    for (auto &[id, state] : m_servers)
        state.isEvacuated = m_evacuatedZones.count(state.server.zone) > 0;
}

void ServerPool::applyPeerLoad(const PeerLoad &load)
{
    m_warmUpLimiter.setHosts(load.possibleHosts);
    // Of thousands of servers, only some run anything.
    for (const Base::ServerId &id : m_loadedByPeers) {
        if (ServerState *const state = find(id))
            state->peerLoad = ServerLoad();
    }
    m_loadedByPeers.clear();
    for (const auto &[id, ofServer] : load.servers) {
        ServerState *const state = find(id);
        if (!state)
            continue;
        state->peerLoad = ofServer;
        m_loadedByPeers.push_back(id);
    }
}

void ServerPool::updatePaces(Base::TimePoint now)
{
    m_areServersUnlike = isEngine() && m_notices && m_notices->tellsAnyMachineLoad()
                         && std::any_of(m_servers.begin(), m_servers.end(), [&](const auto &it) {
                                return m_notices->tellsMachineLoad(it.first);
                            });
    if (!m_areServersUnlike)
        return;
    std::map<Base::ServerId, StartTimes> times;
    for (const auto &[id, state] : m_servers) {
        const StartTimes own = state.starts.value(now);
        const StartTimes &others = state.peerLoad.starts;
        times[id] = {own.took + others.took, own.expected + others.expected};
    }
    m_pace.update(times, now);
    for (auto &[id, state] : m_servers)
        state.pace = m_pace.pace(id);
}

double ServerPool::slowestPace() const
{
    double slowest = 1;
    for (const auto &[id, state] : m_servers)
        slowest = std::max(slowest, state.pace);
    return slowest;
}

ServerLoad ServerPool::reportedLoad(const ServerState &state, Base::TimePoint now) const
{
    ServerLoad load = state.own;
    if (m_areServersUnlike)
        load.starts = state.starts.value(now);
    return load;
}

void ServerPool::presumeCold(ServerState &state, Base::TimePoint now) const
{
    state.warmUntil = std::max(state.warmUntil, now + m_warmUpLimiter.presumedWarmUp());
}

ServerState *ServerPool::find(const Base::ServerId &id)
{
    const auto it = m_servers.find(id);
    return it == m_servers.end() ? nullptr : &it->second;
}

ServerSnapshot ServerPool::snapshotOf(const ServerState &state, Base::TimePoint now) const
{
    ServerSnapshot snapshot;
    snapshot.slots = state.server.slots;
    snapshot.load.running = state.own.running + state.peerLoad.running;
    snapshot.load.unreadTokens = state.own.unreadTokens + state.peerLoad.unreadTokens;
    snapshot.slowness = std::max(state.health.slowness(now), state.pace);
    return snapshot;
}

bool ServerPool::wantsRequests(const ServerState &state, Base::TimePoint now) const
{
    return !m_notices || m_notices->wantsRequests(state.server.id, now);
}

bool ServerPool::hasEligibleServer() const
{
    return hasEligibleServer(Work());
}

bool ServerPool::hasEligibleServer(const Work &work) const
{
    return std::any_of(m_servers.begin(), m_servers.end(), [&](const auto &it) {
        return isCompatible(it.second, work) && !it.second.isEvacuated
               && !(m_notices && m_notices->isLeaving(it.first));
    });
}

bool ServerPool::isUsable(const ServerState &state, Base::TimePoint now) const
{
    if (state.isEvacuated || !state.health.isUsable(now) || !wantsRequests(state, now))
        return false;
    return now >= state.warmUntil
           || m_warmUpLimiter.isAllowed(state.server.id, state.lastSentAt, now);
}

bool ServerPool::hasRoom(const ServerState &state, Admission admission, Base::TimePoint now) const
{
    return isUsable(state, now) && m_cost.hasRoom(snapshotOf(state, now), admission);
}

bool ServerPool::hasAnyRoom(const Residency &residency, Base::TimePoint now) const
{
    return std::any_of(m_servers.begin(), m_servers.end(), [&](const auto &it) {
        return residency.allows(it.second.region)
               && hasRoom(it.second, Admission::WithinShare, now);
    });
}

std::size_t ServerPool::willingServers(const Work &work, Base::TimePoint now) const
{
    if (!isBound(work)) {
        std::size_t unwilling = 0;
        if (m_notices) {
            for (const Base::ServerId &id : m_notices->unwilling(now))
                unwilling += m_servers.count(id);
        }
        return m_servers.size() - unwilling;
    }
    const auto willing = std::count_if(m_servers.begin(), m_servers.end(), [&](const auto &it) {
        return isCompatible(it.second, work) && wantsRequests(it.second, now);
    });
    return static_cast<std::size_t>(willing);
}

PlainWork ServerPool::plainWork(Base::TimePoint now) const
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

double ServerPool::saturation(Base::TimePoint now) const
{
    double sum = 0;
    double usable = 0;
    std::size_t i = 0;
    const std::size_t stride = m_servers.size() / maxScannedServers + 1;
    for (const auto &[id, state] : m_servers) {
        if (i++ % stride != 0 || !isUsable(state, now))
            continue;
        usable += 1;
        if (!hasRoom(state, Admission::SpareCapacity, now))
            sum += hasRoom(state, Admission::WithinShare, now) ? 1 : 2;
    }
    return usable > 0 ? sum / usable : 0;
}

Base::Duration ServerPool::commonBackoff(Base::TimePoint now) const
{
    return commonBackoff(Work(), now);
}

Base::Duration ServerPool::commonBackoff(const Work &work, Base::TimePoint now) const
{
    Base::Duration shortest = Base::Duration::max();
    for (const auto &[id, state] : m_servers) {
        if (!isCompatible(state, work) || state.isEvacuated
            || (m_notices && m_notices->isLeaving(id)))
            continue;
        const Base::Duration left =
            m_notices ? m_notices->backoffLeft(id, now) : Base::Duration::zero();
        if (left == Base::Duration::zero())
            return Base::Duration::zero();
        shortest = std::min(shortest, left);
    }
    return shortest == Base::Duration::max() ? Base::Duration::zero() : shortest;
}

bool ServerPool::mayKeepAlone(const ServerState &state, const Work &work, Base::TimePoint now) const
{
    return isCompatible(state, work) && !state.isEvacuated && now >= state.warmUntil
           && wantsRequests(state, now);
}

const ServerState *ServerPool::selectByRendezvous(std::uint64_t beginning, const Work &work,
                                                  const Base::RegionId &region,
                                                  Base::TimePoint now) const
{
    const ServerState *selected = nullptr;
    std::pair<bool, std::uint64_t> lowest;
    for (const auto &[id, state] : m_servers) {
        if (!mayKeepAlone(state, work, now))
            continue;
        const std::pair order(state.region != region, Base::stableHash(id.value(), beginning));
        if (selected && order >= lowest)
            continue;
        selected = &state;
        lowest = order;
    }
    return selected;
}

} // namespace Routing
