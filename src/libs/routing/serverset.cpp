#include "routing/serverset.h"

#include "base/hash.h"

namespace Routing {

ServerChanges ServerSet::apply(const std::vector<RegisteredServer> &listed, Base::TimePoint now)
{
    if (m_isStoreAway) {
        m_isStoreAway = false;
        m_storeBackAt = now;
    }
    ServerChanges changes;
    std::set<Base::ServerId> present;
    for (const RegisteredServer &server : listed) {
        present.insert(server.id);
        if (server.isLeaving) {
            if (m_ended.insert(server.id).second && m_servers.erase(server.id) > 0)
                changes.leaving.push_back(server.id);
            continue;
        }
        if (m_ended.count(server.id) > 0)
            continue;
        const auto [it, isNew] = m_servers.insert_or_assign(server.id, server);
        if (isNew)
            changes.found.push_back(server.id);
    }
    m_isKnown = true;
    if (keepsMissing(now))
        return changes;
    for (auto it = m_servers.begin(); it != m_servers.end();) {
        if (present.count(it->first) > 0) {
            ++it;
            continue;
        }
        // Not ended for good: a server whose heartbeats were held up registers itself again.
        changes.gone.push_back(it->first);
        it = m_servers.erase(it);
    }
    return changes;
}

void ServerSet::storeFailed(Base::TimePoint)
{
    m_isStoreAway = true;
}

const RegisteredServer *ServerSet::usable(const Base::ServerId &id) const
{
    const auto it = m_servers.find(id);
    return it == m_servers.end() ? nullptr : &it->second;
}

std::uint64_t ServerSet::fingerprint() const
{
    std::uint64_t hash = m_servers.size();
    for (const auto &[id, server] : m_servers)
        hash = Base::stableHash(server.address, Base::stableHash(id.value(), hash));
    return hash;
}

bool ServerSet::keepsMissing(Base::TimePoint now) const
{
    return m_storeBackAt != Base::TimePoint::min() && now - m_storeBackAt < m_returnGrace;
}

} // namespace Routing
