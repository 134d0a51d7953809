#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "routing/fleetload.h"
#include "routing/overloadgate.h"
#include "routing/promptcachemodel.h"
#include "routing/residency.h"
#include "routing/servercost.h"
#include "routing/serverhealth.h"
#include "routing/serverindex.h"
#include "routing/servernotices.h"
#include "routing/serverpace.h"
#include "routing/serverset.h"
#include "routing/warmuplimiter.h"
#include "routing/work.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace Routing {

/// What this host knows of one server, and what it has sent there.
struct ServerState
{
    RegisteredServer server;
    /// The region of the server's zone; empty if it is not known.
    Base::RegionId region;
    ServerLoad own;
    /// The sum over all other hosts. It is looked up once for each report and not for each
    /// decision, because a decision looks at all servers.
    ServerLoad peerLoad;
    ServerHealth health;
    /// What the first events of this host's recent requests took.
    StartTimeSum starts;
    /// The ratio of the server's time to that of a usual one, as observed by all hosts.
    double pace = 1;
    PromptCacheModel cache;
    /// The prompt tokens of requests that wait here for this server because no other one would
    /// serve them sooner.
    std::uint64_t queuedTokens = 0;
    /// The time that the server needs for the transfers that this host ordered other servers to
    /// make from it and that are not complete yet.
    double outgoingFetchMilliseconds = 0;
    /// Until this time, the server may be warming up.
    Base::TimePoint warmUntil{};
    /// The time of this host's last request to the server.
    Base::TimePoint lastSentAt{};
    bool isEvacuated = false;
};

/// The servers of one service, and which of them may get requests of this host now.
///
/// A server gets none while it is in an evacuated zone, in a cooldown after a failure, warming up
/// beyond this host's part, or while it has announced that it wants none.
class ServerPool
{
public:
    ServerPool(const ServiceTraits &traits, const Base::HostId &self);

    void setTraits(const ServiceTraits &traits);
    const ServerCost &cost() const { return m_cost; }
    bool isEngine() const { return m_cost.traits().isEngine; }

    /// Sets the regions of the zones. Must be called before setServers().
    void setZoneRegions(const ZoneRegions &regions)
    {
        m_zoneRegions = regions;
        m_regions = regions.regions();
    }
    void setServers(const std::vector<RegisteredServer> &servers);
    void setWarmUntil(const Base::ServerId &server, Base::TimePoint until);
    void setEvacuatedZones(const std::set<Base::ZoneId> &zones, Base::TimePoint now);
    void setNotices(const ServerNotices &notices) { m_notices = &notices; }
    /// Applies the load of the other hosts.
    void applyPeerLoad(const PeerLoad &load);
    /// Updates the pace of each server. Must be called several times a second.
    void updatePaces(Base::TimePoint now);
    /// Returns the highest pace of all servers; 1 if servers are taken for alike.
    double slowestPace() const;
    /// Returns the load of this host on the server, for a report.
    ServerLoad reportedLoad(const ServerState &state, Base::TimePoint now) const;
    /// Presumes that the server starts again, although its entry does not say so yet.
    void presumeCold(ServerState &state, Base::TimePoint now) const;

    /// Records that a prompt with the prefix \a hash was sent to the server, which will have read
    /// it by \a readBy.
    void recordUse(ServerState &state, std::uint64_t hash, Base::TimePoint now,
                   Base::TimePoint readBy);
    /// Forgets expired prompt parts.
    void evictExpired(Base::TimePoint now);
    /// Returns whether choices look at some of the servers only.
    bool isLarge() const { return m_servers.size() > maxScannedServers; }
    /// The servers by their places on rings; empty unless isLarge().
    const ServerIndex &index() const { return m_index; }

    std::map<Base::ServerId, ServerState> &servers() { return m_servers; }
    const std::map<Base::ServerId, ServerState> &servers() const { return m_servers; }
    /// Returns the server with this id; null if it is not in the pool.
    ServerState *find(const Base::ServerId &id);

    ServerSnapshot snapshotOf(const ServerState &state, Base::TimePoint now) const;
    /// Returns whether the server has not announced that it wants no requests now.
    bool wantsRequests(const ServerState &state, Base::TimePoint now) const;
    /// Returns the number of servers that may run \a work and have not announced that they want no
    /// requests now.
    std::size_t willingServers(const Work &work, Base::TimePoint now) const;
    /// Returns whether the servers have different software versions.
    bool hasSeveralVersions() const { return m_hasSeveralVersions; }
    /// Returns whether the server may run \a work by its region and by its software version. A
    /// server that may not run it must not keep any of it either.
    static bool isCompatible(const ServerState &state, const Work &work)
    {
        const std::string &version = state.server.softwareVersion;
        return work.residency.allows(state.region)
               && (!work.softwareVersion || *work.softwareVersion == version)
               && (work.barredVersions.empty() || !work.barredVersions.contains(version))
               && (!work.onlyServers || work.onlyServers->contains(state.server.id))
               && work.runningAt != state.server.id;
    }
    /// Returns whether there is a server that stays and is outside of the evacuated zones.
    bool hasEligibleServer() const;
    /// Returns the same for servers that may run \a work.
    bool hasEligibleServer(const Work &work) const;
    /// Returns whether a request may be sent to the server now, full or not.
    bool isUsable(const ServerState &state, Base::TimePoint now) const;
    bool hasRoom(const ServerState &state, Admission admission, Base::TimePoint now) const;
    /// Returns whether any server has room for a request within its customer's share.
    bool hasAnyRoom(Base::TimePoint now) const { return hasAnyRoom(Residency(), now); }
    /// Returns the same for servers in the regions of \a residency.
    bool hasAnyRoom(const Residency &residency, Base::TimePoint now) const;
    /// Returns all regions of the deployment.
    const std::vector<Base::RegionId> &regions() const { return m_regions; }
    /// Returns the work of a plain application's servers that may get requests now.
    PlainWork plainWork(Base::TimePoint now) const;
    /// Returns the mean saturation of the servers that may get requests now. A server counts as 0
    /// with spare capacity, as 1 without, and as 2 if it is full for everybody.
    double saturation(Base::TimePoint now) const;
    /// Returns the time until the first server may want requests again; zero if one wants them now,
    /// or if none of them stays.
    Base::Duration commonBackoff(Base::TimePoint now) const;
    /// Returns the same for servers that may run \a work.
    Base::Duration commonBackoff(const Work &work, Base::TimePoint now) const;
    /// Returns the server that rendezvous hashing selects for \a beginning among those that may run
    /// \a work, or null if there is none. Servers in \a region go before all others.
    const ServerState *selectByRendezvous(std::uint64_t beginning, const Work &work,
                                          const Base::RegionId &region, Base::TimePoint now) const;
    /// Returns whether \a work may be sent to the server as the only one that keeps its beginning.
    /// A server that takes few requests may not.
    bool mayKeepAlone(const ServerState &state, const Work &work, Base::TimePoint now) const;

private:
    void updateEvacuated();

    ServerCost m_cost;
    WarmUpLimiter m_warmUpLimiter;
    ServerPace m_pace;
    /// Whether a server told that it shares its machine with others, so that servers are unlike.
    bool m_areServersUnlike = false;
    bool m_hasSeveralVersions = false;
    ZoneRegions m_zoneRegions;
    std::vector<Base::RegionId> m_regions;
    std::set<Base::ZoneId> m_evacuatedZones;
    const ServerNotices *m_notices = nullptr;
    std::map<Base::ServerId, ServerState> m_servers;
    ServerIndex m_index;
    /// The servers on which other hosts had load in their last reports.
    std::vector<Base::ServerId> m_loadedByPeers;

    /// Up to this number, a choice looks at all servers.
    static constexpr std::size_t maxScannedServers = 256;
};

} // namespace Routing
