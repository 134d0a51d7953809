#include "routing/serverset.h"

#include "base/hash.h"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace Routing {

namespace {

/// The span covers five reports to the other hosts, of which one or two may be lost.
constexpr Base::Duration recentChangeSpan = std::chrono::milliseconds(1000);

/// More changes than this are not reported. The other hosts find that their sets differ and copy
/// the whole set, from each other: a report goes to each host of a zone five times a second.
constexpr std::size_t maxReportedChanges = 500;

/// Separates a server's name from its start. Names on the platform do not contain it; a name that
/// did would still be unambiguous, since the start is a number.
constexpr char startSeparator = '@';

/// A reported warm-up that ends this much later than the known one is a new one. Smaller
/// differences come from the time that reports are on their way.
constexpr Base::Duration warmUpTolerance = std::chrono::milliseconds(500);

RegisteredServer serverOf(const Base::ServerId &id)
{
    RegisteredServer server;
    server.id = id;
    return server;
}

/// The part of one server in the fingerprint of a set, which is the sum of them.
std::uint64_t fingerprintOf(const RegisteredServer &server)
{
    const std::uint64_t hash =
        Base::stableHash(server.address, Base::stableHash(server.id.value()));
    return Base::stableHash(server.softwareVersion, hash);
}

} // namespace

Base::ServerId idOf(const ServerStart &start)
{
    if (start.at == Base::Milliseconds(0))
        return Base::ServerId(start.name);
    return Base::ServerId(start.name + startSeparator + std::to_string(start.at.count()));
}

ServerChanges ServerSet::apply(const std::vector<RegisteredServer> &listed, Base::TimePoint now)
{
    if (m_isStoreUnreachable) {
        m_isStoreUnreachable = false;
        m_storeRegainedAt = now;
    }
    ServerChanges changes;
    std::set<Base::ServerId> present;
    m_leavingVersions.clear();
    for (const RegisteredServer &server : listed) {
        if (isOutdated(server.start))
            continue;
        supersede(server.start, changes);
        present.insert(server.id);
        if (server.isLeaving) {
            ++m_leavingVersions[server.service][server.softwareVersion];
            if (m_left.insert(server.id).second && erase(server.id))
                changes.leaving.push_back(server.id);
            continue;
        }
        if (m_left.count(server.id) > 0)
            continue;
        const bool hasNewWarmUp = recordEntryWarmUp(server, now);
        if (insert(server))
            changes.found.push_back(server.id);
        else if (hasNewWarmUp)
            changes.warmingUp.push_back(server.id);
    }
    m_isKnown = true;
    if (!isInGracePeriod(now) && isMassExpiry(present, now))
        m_storeRegainedAt = now;
    if (isInGracePeriod(now)) {
        recordChanges(changes, now);
        return changes;
    }
    for (auto it = m_servers.begin(); it != m_servers.end();) {
        if (present.count(it->first) > 0) {
            ++it;
            continue;
        }
        // The id may be used again: a server whose heartbeats were delayed registers itself again.
        changes.gone.push_back(it->first);
        subtractFromSums(it->second);
        it = m_servers.erase(it);
    }
    recordChanges(changes, now);
    return changes;
}

ServerChanges ServerSet::applyChanges(const std::vector<ServerChange> &changes, Base::TimePoint now)
{
    ServerChanges applied;
    for (const ServerChange &change : changes) {
        if (change.kind == ServerChange::Kind::Found) {
            if (isOutdated(change.server.start))
                continue;
            supersede(change.server.start, applied);
        }
        // The other host may not have noticed the outage in which the entry expired. An outage that
        // lasts longer than the grace period concerns this host alone, since the other host reads
        // the store.
        const bool isNewlyUnreachable = m_isStoreUnreachable && now - m_storeLostAt < m_gracePeriod;
        if (change.kind == ServerChange::Kind::Gone && (isInGracePeriod(now) || isNewlyUnreachable))
            continue;
        const bool isKnown = usable(change.server.id) != nullptr;
        if (change.kind == ServerChange::Kind::Found && recordReportedWarmUp(change.server, now)
            && isKnown)
            applied.warmingUp.push_back(change.server.id);
        if (!applyChange(change))
            continue;
        switch (change.kind) {
        case ServerChange::Kind::Found:
            applied.found.push_back(change.server.id);
            break;
        case ServerChange::Kind::Leaving:
            applied.leaving.push_back(change.server.id);
            break;
        case ServerChange::Kind::Gone:
            applied.gone.push_back(change.server.id);
            break;
        }
    }
    recordChanges(applied, now);
    return applied;
}

bool ServerSet::applyChange(const ServerChange &change)
{
    const Base::ServerId &id = change.server.id;
    switch (change.kind) {
    case ServerChange::Kind::Found:
        return m_left.count(id) == 0 && insert(change.server);
    case ServerChange::Kind::Leaving:
        return m_left.insert(id).second && erase(id);
    case ServerChange::Kind::Gone:
        return erase(id);
    }
    return false;
}

bool ServerSet::insert(const RegisteredServer &server)
{
    const auto [it, isNew] = m_servers.try_emplace(server.id, server);
    if (isNew) {
        addToSums(server);
        return true;
    }
    RegisteredServer &known = it->second;
    // A reading of the store repeats thousands of entries that have not changed.
    const bool hasSameSums = known.address == server.address && known.service == server.service
                             && known.softwareVersion == server.softwareVersion;
    if (!hasSameSums) {
        subtractFromSums(known);
        addToSums(server);
    }
    known = server;
    return false;
}

bool ServerSet::erase(const Base::ServerId &id)
{
    const auto it = m_servers.find(id);
    if (it == m_servers.end())
        return false;
    subtractFromSums(it->second);
    m_servers.erase(it);
    return true;
}

void ServerSet::addToSums(const RegisteredServer &server)
{
    m_fingerprint += fingerprintOf(server);
    ++m_versions[server.service][server.softwareVersion];
}

void ServerSet::subtractFromSums(const RegisteredServer &server)
{
    m_fingerprint -= fingerprintOf(server);
    auto &versions = m_versions[server.service];
    if (--versions[server.softwareVersion] == 0)
        versions.erase(server.softwareVersion);
    if (versions.empty())
        m_versions.erase(server.service);
}

bool ServerSet::isOutdated(const ServerStart &start) const
{
    const auto latest = m_latestStarts.find(start.name);
    return latest != m_latestStarts.end() && start.at < latest->second;
}

void ServerSet::supersede(const ServerStart &start, ServerChanges &changes)
{
    const auto [latest, isNew] = m_latestStarts.try_emplace(start.name, start.at);
    if (latest->second == start.at)
        return;
    const Base::ServerId previous = idOf({start.name, latest->second});
    latest->second = start.at;
    if (erase(previous))
        changes.gone.push_back(previous);
}

void ServerSet::recordChanges(const ServerChanges &changes, Base::TimePoint now)
{
    while (!m_recent.empty() && now - m_recent.front().at >= recentChangeSpan)
        m_recent.pop_front();
    for (const Base::ServerId &id : changes.leaving)
        m_recent.push_back({{ServerChange::Kind::Leaving, serverOf(id)}, now});
    for (const Base::ServerId &id : changes.gone)
        m_recent.push_back({{ServerChange::Kind::Gone, serverOf(id)}, now});
    for (const std::vector<Base::ServerId> &ids : {changes.found, changes.warmingUp}) {
        for (const Base::ServerId &id : ids) {
            if (const RegisteredServer *server = usable(id))
                m_recent.push_back({{ServerChange::Kind::Found, *server}, now});
        }
    }
    for (const std::vector<Base::ServerId> &ids : {changes.leaving, changes.gone}) {
        for (const Base::ServerId &id : ids)
            m_warmUntil.erase(id);
    }
    if (m_recent.size() > maxReportedChanges) {
        m_recent.clear();
        m_overflowedAt = now;
    }
}

bool ServerSet::recordEntryWarmUp(const RegisteredServer &server, Base::TimePoint now)
{
    if (server.warmingUp <= Base::Milliseconds(0))
        return false;
    const auto known = m_servers.find(server.id);
    // The entry is read several times until the server writes it again. Only a time that has grown
    // tells of a new warm-up.
    if (known != m_servers.end() && server.warmingUp <= known->second.warmingUp)
        return false;
    Base::TimePoint &until = m_warmUntil[server.id];
    if (now + server.warmingUp <= until)
        return false;
    until = now + server.warmingUp;
    return true;
}

bool ServerSet::recordReportedWarmUp(const RegisteredServer &server, Base::TimePoint now)
{
    if (server.warmingUp <= Base::Milliseconds(0))
        return false;
    const auto known = m_warmUntil.find(server.id);
    if (known != m_warmUntil.end() && now + server.warmingUp <= known->second + warmUpTolerance)
        return false;
    m_warmUntil[server.id] = now + server.warmingUp;
    return true;
}

RegisteredServer ServerSet::withRemainingWarmUp(const RegisteredServer &server,
                                                Base::TimePoint now) const
{
    RegisteredServer it = server;
    const Base::Duration left = std::max(Base::Duration::zero(), warmUntil(server.id) - now);
    it.warmingUp = std::chrono::ceil<Base::Milliseconds>(left);
    return it;
}

Base::TimePoint ServerSet::warmUntil(const Base::ServerId &id) const
{
    const auto it = m_warmUntil.find(id);
    return it == m_warmUntil.end() ? Base::TimePoint{} : it->second;
}

std::vector<ServerChange> ServerSet::asChanges(Base::TimePoint now) const
{
    std::vector<ServerChange> changes;
    for (const auto &[id, server] : m_servers)
        changes.push_back({ServerChange::Kind::Found, withRemainingWarmUp(server, now)});
    return changes;
}

std::vector<ServerChange> ServerSet::recentChanges(Base::TimePoint now) const
{
    std::vector<ServerChange> changes;
    if (m_overflowedAt && now - *m_overflowedAt < recentChangeSpan)
        return changes;
    for (const TimedChange &it : m_recent) {
        if (now - it.at >= recentChangeSpan)
            continue;
        changes.push_back(it.change);
        ServerChange &change = changes.back();
        if (change.kind == ServerChange::Kind::Found)
            change.server = withRemainingWarmUp(change.server, now);
    }
    return changes;
}

void ServerSet::storeFailed(Base::TimePoint now)
{
    if (!std::exchange(m_isStoreUnreachable, true))
        m_storeLostAt = now;
}

void ServerSet::outageReported(Base::TimePoint lostAt)
{
    m_peerOutageAt = std::max(m_peerOutageAt, lostAt);
}

std::optional<Base::TimePoint> ServerSet::storeUnreachableSince() const
{
    return m_isStoreUnreachable ? std::optional(m_storeLostAt) : std::nullopt;
}

const RegisteredServer *ServerSet::usable(const Base::ServerId &id) const
{
    const auto it = m_servers.find(id);
    return it == m_servers.end() ? nullptr : &it->second;
}

bool ServerSet::isMassExpiry(const std::set<Base::ServerId> &present, Base::TimePoint now) const
{
    // In a longer outage, this host would notice a part of it itself, or the other host is cut off
    // from the store.
    const bool isOutageRecent =
        m_peerOutageAt != Base::TimePoint::min() && now - m_peerOutageAt < m_gracePeriod;
    if (!isOutageRecent)
        return false;
    const auto missing = std::count_if(m_servers.begin(), m_servers.end(), [&](const auto &it) {
        return present.count(it.first) == 0;
    });
    // Another host may be cut off from a store that works well. Then only a server or two end in
    // the meantime, and keeping those would send requests to servers that are gone.
    return 2 * static_cast<std::size_t>(missing) > m_servers.size();
}

bool ServerSet::isInGracePeriod(Base::TimePoint now) const
{
    return m_storeRegainedAt != Base::TimePoint::min() && now - m_storeRegainedAt < m_gracePeriod;
}

} // namespace Routing
