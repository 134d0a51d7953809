#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "routing/customershares.h"
#include "routing/fairwaitqueue.h"
#include "routing/fleetload.h"
#include "routing/overloadgate.h"
#include "routing/prefixfetch.h"
#include "routing/serverchoice.h"
#include "routing/serverpool.h"
#include "routing/waitestimate.h"
#include "routing/work.h"

#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace Routing {

/// Decides what happens to the requests of one service that arrive at this host: each is sent to a
/// server, waits for one, or is rejected.
///
/// A pool may be overloaded by a burst, by a large customer, or because servers are lost. Servers
/// run requests in order of arrival, and one long prompt delays all requests beside it. Therefore
/// each server is kept only just full, and further requests wait here in a fair order. A request
/// that could not start in time behind the waiting ones is rejected at once, together with a time
/// after which capacity is expected.
///
/// A server that asked this host for no requests for a while, or that announced that it leaves,
/// gets none. If no server wants requests in time, they are rejected at once.
///
/// CustomerShares decides how much capacity a customer's requests may use. Within its share, a
/// request waits for a server that is full. Beyond its share, it is placed on a server with little
/// load, or rejected at once.
///
/// While servers of several software versions serve, a stream that its caller takes up may go on at
/// a few of them only. It is within its customer's share, waits before all others, and is not
/// overtaken at these servers.
class Dispatcher
{
public:
    Dispatcher(const ServiceTraits &traits, const Base::ZoneId &ownZone,
               const Base::HostId &self = {});

    void setTraits(const ServiceTraits &traits);
    /// Sets this host's region and the regions of the zones. Must be called before setServers().
    void setRegions(const Base::RegionId &own, const ZoneRegions &regions)
    {
        m_choice.setOwnRegion(own);
        m_pool.setZoneRegions(regions);
    }
    /// Sets the servers that may get requests now.
    void setServers(const std::vector<RegisteredServer> &servers);
    /// Sets the time until which a server warms up. A longer warm-up that is presumed stays.
    void setWarmUntil(const Base::ServerId &server, Base::TimePoint until)
    {
        m_pool.setWarmUntil(server, until);
    }
    /// Sets the zones whose servers get no new requests. Servers of a zone that gets requests again
    /// are presumed to have just started.
    void setEvacuatedZones(const std::set<Base::ZoneId> &zones, Base::TimePoint now)
    {
        m_pool.setEvacuatedZones(zones, now);
    }
    /// Sets what servers announced to this host. \a notices must outlive the dispatcher and may
    /// change.
    void setNotices(const ServerNotices &notices) { m_pool.setNotices(notices); }
    /// Sets the load of the other hosts. \a peerLoad must outlive the dispatcher and may change;
    /// peerLoadChanged() must be called after each change.
    void setPeerLoad(const PeerLoad &peerLoad);
    void peerLoadChanged();

    /// Sets the recent use of a plain application through all other hosts.
    void setPeerUse(const ServiceUse &use) { m_overloadGate.setPeerUse(use); }
    /// Returns the recent use of a plain application through this host; empty for a model pool.
    std::optional<ServiceUse> use(Base::TimePoint now) const;

    /// Handles a request that arrives, or that returns after a failed attempt.
    Decisions submit(Work work, Base::TimePoint now);
    /// Records a request that this host rejected before it reached the dispatcher. It counts as
    /// demand: otherwise the fleet would assume that its customer gets all that it asks for.
    void recordRejected(const Work &work, Base::TimePoint now);
    /// Removes a waiting request that is no longer wanted.
    void withdraw(WorkId id);
    /// Records that the first event of a placed request came.
    void started(WorkId id, Base::TimePoint now);
    /// Records that the server of a placed request has been silent for too long. The attempt goes
    /// on.
    void silent(WorkId id, Base::TimePoint now);
    /// Records that the attempt is over. Waiting requests may then be placed.
    Decisions finished(WorkId id, AttemptOutcome outcome, Base::TimePoint now);
    /// Reconsiders the waiting requests. Called when time has passed or when servers or loads have
    /// changed.
    Decisions advance(Base::TimePoint now);

    /// Returns when callers should come back because all servers asked for no requests; zero if one
    /// of them wants requests, or none of them stays.
    Base::Milliseconds backoffRetryAfter(Base::TimePoint now) const
    {
        return waitEstimate().backoffRetryAfter(Work(), now);
    }
    /// Returns the expected time from the placement of a request to its first event.
    Base::Duration expectedStart(WorkId id) const;
    /// Returns the same for a server that is not slow; zero for a plain application, whose requests
    /// differ too much.
    Base::Duration usualStart(WorkId id) const;
    /// Adds this host's load to \a load.
    void report(HostLoad &load, Base::TimePoint now);
    /// Applies the part uses that another host reported.
    void applyPartUses(const std::vector<PartUse> &uses, Base::TimePoint now);
    std::size_t waiting() const { return m_waiting.size(); }
    /// The levels of CustomerShares, for the log.
    double shareLevel(Base::TimePoint now) { return m_shares.shareLevel(now); }
    double unmetLevel() const { return m_shares.unmetLevel(); }
    const Base::CustomerId &unmetCustomer() const { return m_shares.unmetCustomer(); }
    /// The highest pace of the servers, for the log and the metrics.
    double slowestPace() const { return m_pool.slowestPace(); }
    std::optional<CustomerSample> largestCustomer(Base::TimePoint now) const
    {
        return m_shares.largestHere(now);
    }

private:
    struct Placed
    {
        Work work;
        Base::ServerId server;
        std::uint32_t unreadTokens = 0;
        /// The fetch that the placement includes. Its time is that of the transfer at the source,
        /// without the time in the source's queue.
        std::optional<FetchPlan> fetch;
        bool isStarted = false;
        /// Whether silent() was called, so that the server is not blamed twice.
        bool isSilent = false;
        Base::TimePoint at;
        Base::Duration expected{};
        /// The same at a server of usual pace.
        Base::Duration usual{};
    };
    /// Removes the fetch of a request that has started or ended from the load of the fetch's
    /// source. The server has then fetched what it was to fetch.
    void releaseFetch(Placed &placed);
    void recordPartUses(ServerState &state, const Work &work, Base::TimePoint now,
                        Base::TimePoint readBy);
    WaitEstimate waitEstimate() const
    {
        return {m_pool, m_waiting, m_peerLoad ? m_peerLoad->hosts : 1};
    }
    /// Places \a work at a server of the version that is on trial, if one has capacity.
    bool placeOnTrial(const Work &work, Admission admission, Base::TimePoint now,
                      Decisions &decisions);
    void place(Work work, const ServerChoice::Candidate &candidate, Base::TimePoint now,
               Decisions &decisions);
    /// Counts a waiting request against the server that would serve it soonest.
    void addQueued(const ServerChoice::Candidate &candidate);
    void clearQueued();
    /// Places waiting requests as far as there is capacity.
    void placeWaiting(Base::TimePoint now, Decisions &decisions);
    Rejection makeRejection(const Work &work, RejectionReason reason, Base::TimePoint now);
    /// Rejects a request of a customer that has met \a limit.
    Rejection makeRejection(const Work &work, ShareLimit limit, Base::TimePoint now);
    /// Places each request that has waited too long on any server with capacity, or rejects it if
    /// there is none.
    void resolveOverdue(Base::TimePoint now, Decisions &decisions);
    /// Returns whether a stream that is taken up waits for a server like this one. Nothing else may
    /// overtake it there.
    bool isAwaited(const ServerState &state) const
    {
        return m_waiting.tokensTakenUp(state.server.softwareVersion) > 0;
    }

    ServerPool m_pool;
    ServerChoice m_choice;
    CustomerShares m_shares;
    OverloadGate m_overloadGate;
    const PeerLoad *m_peerLoad = nullptr;
    std::unordered_map<WorkId, Placed> m_placed;
    FairWaitQueue m_waiting;
    std::vector<PartUse> m_partUses;
    /// The servers that waiting requests count against.
    std::vector<Base::ServerId> m_queuedFor;
    Base::TimePoint m_placedWaitingAt{};
    Base::TimePoint m_saturationAt{};
    Base::TimePoint m_evictedAt{};
};

} // namespace Routing
