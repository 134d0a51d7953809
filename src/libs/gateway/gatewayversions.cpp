// What a gateway knows of the software versions that have served.

#include "gateway/boottime.h"
#include "gateway/gateway.h"

#include <memory>
#include <vector>

namespace Gateway {

void Gateway::updateVersions(Base::TimePoint time)
{
    Routing::StreamOrigins &origins = m_memory.streamOrigins();
    origins.setServersCurrentUntil(m_replica->serversCurrentUntil(time), time);
    origins.setVersionsProvedAt(m_replica->serversProvedAt(time));
    if (!m_replica->isKnown() || m_replica->isStoreLost(time))
        return;
    VersionRows::View view;
    for (const auto &[service, versions] : m_replica->servers().versions()) {
        for (const auto &[version, n] : versions)
            view.used.insert({service, version});
    }
    const bool isCurrent = origins.areServersCurrent(time);
    view.needsHistory = isCurrent && m_replica->hasUrgentNeedOfServers(time);
    view.isWriter = isCurrent && m_replica->ownProofAt() && m_fleet.isFirstLeader(time);
    m_versionRows->advance(view, time);
    m_streamRows->advance({view.needsHistory, view.isWriter}, time);
}

void Gateway::proveVersions(Base::TimePoint time)
{
    m_replica->proveServers(time, now());
}

void Gateway::serversRead()
{
    m_services->serversRead();
    m_memory.streamOrigins().setVersionsProvedAt(m_replica->serversProvedAt(now()));
    std::vector<std::shared_ptr<Exchange>> waiting;
    for (const auto &[id, exchange] : m_exchanges) {
        if (exchange->waitsForProof())
            waiting.push_back(exchange);
    }
    for (const auto &exchange : waiting)
        exchange->checkTakeUp();
}

void Gateway::leavingVersionsRead(const Routing::ServerVersions &versions)
{
    m_memory.streamOrigins().setVersions(versions, now());
}

void Gateway::versionsCopied(const std::vector<Routing::VersionAge> &versions,
                             Base::TimePoint currentUntil)
{
    const Base::TimePoint time = now();
    Routing::StreamOrigins &origins = m_memory.streamOrigins();
    origins.setServersCurrentUntil(currentUntil, time);
    for (const Routing::VersionAge &it : versions)
        origins.recordVersion(it.version, time - it.age, time);
    origins.setHistoryKnown(true);
    // All open streams were begun by the only version that has served.
    if (!origins.isAnyMixed(time))
        origins.setStoredKnown(true);
}

std::optional<std::vector<Routing::VersionAge>> Gateway::knownVersions() const
{
    const Routing::StreamOrigins &origins = m_memory.streamOrigins();
    if (!origins.isHistoryKnown() || !origins.isStoredKnown())
        return std::nullopt;
    return origins.versions().ages(bootTimeNow());
}

} // namespace Gateway
