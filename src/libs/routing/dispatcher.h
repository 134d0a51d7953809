#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "routing/customershares.h"
#include "routing/fairwaitqueue.h"
#include "routing/fleetload.h"
#include "routing/overloadgate.h"
#include "routing/prefixfetch.h"
#include "routing/promptcachemodel.h"
#include "routing/servercost.h"
#include "routing/serverhealth.h"
#include "routing/servernotices.h"
#include "routing/serverset.h"
#include "routing/warmuplimiter.h"
#include "routing/work.h"

#include <cstdint>
#include <map>
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
/// The choice of a server compares estimates of the time to the first event in milliseconds. They
/// include the prompt tokens that this host and the others sent to the server and that it has not
/// read yet, the tokens of this prompt that the server has not cached, the requests that run there,
/// its recent slowness, and its recent failures. A prompt goes to a server that has its beginning
/// cached, also if that server is free a little later than others. Further servers read the
/// beginning when the ones that have it cached are busy. The hosts report to each other which
/// prompt parts they sent to which server. All hosts send a beginning that is not cached anywhere
/// to the same server, which rendezvous hashing selects.
class Dispatcher
{
public:
    Dispatcher(const ServiceTraits &traits, const Base::ZoneId &ownZone,
               const Base::HostId &self = {});

    void setTraits(const ServiceTraits &traits);
    /// Sets the servers that may get requests now.
    void setServers(const std::vector<RegisteredServer> &servers);
    /// Sets the time until which a server warms up. A longer warm-up that is presumed stays.
    void setWarmUntil(const Base::ServerId &server, Base::TimePoint until);
    /// Sets the zones whose servers get no new requests. Servers of a zone that gets requests again
    /// are presumed to have just started.
    void setEvacuatedZones(const std::set<Base::ZoneId> &zones, Base::TimePoint now);
    /// Sets what servers announced to this host. \a notices must outlive the dispatcher and may
    /// change.
    void setNotices(const ServerNotices &notices) { m_notices = &notices; }
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
    /// Records that the attempt is over. Waiting requests may then be placed.
    Decisions finished(WorkId id, AttemptOutcome outcome, Base::TimePoint now);
    /// Reconsiders the waiting requests. Called when time has passed or when servers or loads have
    /// changed.
    Decisions advance(Base::TimePoint now);

    /// Returns when callers should come back because all servers asked for no requests; zero if one
    /// of them wants requests, or none of them stays.
    Base::Milliseconds backoffRetryAfter(Base::TimePoint now) const;
    /// Returns the expected time from the placement of a request to its first event.
    Base::Duration expectedStart(WorkId id) const;
    /// Adds this host's load to \a load.
    void report(HostLoad &load, Base::TimePoint now);
    /// Applies the part uses that another host reported.
    void applyPartUses(const std::vector<PartUse> &uses, Base::TimePoint now);
    std::size_t waiting() const { return m_waiting.size(); }
    /// The levels of CustomerShares, for the log.
    double shareLevel(Base::TimePoint now) { return m_shares.shareLevel(now); }
    double unmetLevel() const { return m_shares.unmetLevel(); }
    const Base::CustomerId &unmetCustomer() const { return m_shares.unmetCustomer(); }
    std::optional<CustomerSample> largestCustomer(Base::TimePoint now) const
    {
        return m_shares.largestHere(now);
    }

private:
    struct ServerState
    {
        RegisteredServer server;
        ServerLoad own;
        /// The sum over all other hosts. It is looked up once for each report and not for each
        /// decision, because a decision looks at all servers.
        ServerLoad peerLoad;
        ServerHealth health;
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
    struct Placed
    {
        Work work;
        Base::ServerId server;
        std::uint32_t unreadTokens = 0;
        /// The fetch that the placement includes. Its time is that of the transfer at the source,
        /// without the time in the source's queue.
        std::optional<FetchPlan> fetch;
        bool isStarted = false;
        Base::TimePoint at;
        Base::Duration expected{};
    };
    struct Candidate
    {
        ServerState *state = nullptr;
        double milliseconds = 0;
        std::uint32_t unreadTokens = 0;
        bool hasRoom = false;
        std::optional<FetchPlan> fetch;
    };
    /// The state of the cached copies of one prompt's beginning.
    struct CachedPrefix
    {
        /// The largest number of the prompt's tokens that one server has cached.
        std::uint32_t maxTokens = 0;
        /// The server that rendezvous hashing selects for a beginning that no server has cached
        /// completely. It is null if a server has.
        const ServerState *rendezvousServer = nullptr;
        PrefixFetch fetch;
    };
    /// Returns the server with the lowest estimated cost, or nothing if no server qualifies. If
    /// that server has no capacity, the request should wait for it, since any other server would
    /// serve it later. With \a onlyWithCapacity, only servers that have capacity count.
    std::optional<Candidate> selectServer(const Work &work, Base::TimePoint now,
                                          Admission admission, bool onlyWithCapacity = false);
    /// Returns one of the servers of a plain application, by a hash of the request. Dozens of hosts
    /// see the same counts of what runs, half a second old: if they chose the server with the least
    /// work, they would fill its queue while others are idle.
    std::optional<Candidate> drawPlainServer(const Work &work, Base::TimePoint now);
    /// Estimates the cost of the request at a server that has \a cachedTokens of its prompt cached.
    Candidate evaluate(ServerState &state, const ServerSnapshot &snapshot, const Work &work,
                       std::uint32_t cachedTokens, const CachedPrefix &prompt,
                       Base::TimePoint now) const;
    /// Returns the servers from which others can fetch the beginning of the request's prompt.
    std::vector<PrefixSource> sourcesFor(const Work &work, const std::vector<PrefixHash> &prefixes,
                                         Base::TimePoint now) const;
    /// Removes the fetch of a request that has started or ended from the load of the fetch's
    /// source. The server has then fetched what it was to fetch.
    void releaseFetch(Placed &placed);
    ServerSnapshot snapshotOf(const ServerState &state, Base::TimePoint now) const;
    /// Returns the server that rendezvous hashing selects for \a beginning, or null if there are no
    /// servers.
    const ServerState *selectByRendezvous(std::uint64_t beginning, Base::TimePoint now) const;
    void recordPartUses(ServerState &state, const Work &work, Base::TimePoint now,
                        Base::TimePoint readBy);
    /// Returns whether the server has not announced that it wants no requests now.
    bool wantsRequests(const ServerState &state, Base::TimePoint now) const;
    /// Returns whether there is a server that stays and is outside of the evacuated zones.
    bool hasEligibleServer() const;
    /// Returns whether a request may be sent to the server now, full or not.
    bool isUsable(const ServerState &state, Base::TimePoint now) const;
    bool hasRoom(const ServerState &state, Admission admission, Base::TimePoint now) const;
    void updateEvacuated();
    /// Returns the work of a plain application's servers that may get requests now.
    PlainWork plainWork(Base::TimePoint now) const;
    /// Returns the mean saturation of the servers that may get requests now. A server counts as 0
    /// with spare capacity, as 1 without, and as 2 if it is full for everybody.
    double saturation(Base::TimePoint now) const;
    void place(Work work, const Candidate &candidate, Base::TimePoint now, Decisions &decisions);
    /// Places waiting requests as far as there is capacity.
    void placeWaiting(Base::TimePoint now, Decisions &decisions);
    Rejection makeRejection(const Work &work, RejectionReason reason, Base::TimePoint now);
    /// Rejects a request of a customer that has met \a limit.
    Rejection makeRejection(const Work &work, ShareLimit limit, Base::TimePoint now);
    /// Places each request that has waited too long on any server with capacity, or rejects it if
    /// there is none.
    void resolveOverdue(Base::TimePoint now, Decisions &decisions);
    /// Returns the estimated time that a new request of \a customer waits behind the waiting ones.
    Base::Duration expectedWait(const Base::CustomerId &customer, Base::TimePoint now) const;
    /// Returns the time until the first server may want requests again; zero if one wants them now,
    /// or if none of them stays.
    Base::Duration commonBackoff(Base::TimePoint now) const;
    /// Returns why no server wants \a work in time, or nothing if one does. How much the servers
    /// have to do does not matter.
    std::optional<RejectionReason> unavailability(const Work &work, Base::TimePoint now) const;
    double drainTokensPerMs(Base::TimePoint now) const;
    Base::Milliseconds retryAfter(Base::TimePoint now) const;

    ServerCost m_cost;
    CustomerShares m_shares;
    WarmUpLimiter m_warmUpLimiter;
    OverloadGate m_overloadGate;
    /// Makes the choices of different hosts independent of each other.
    std::uint64_t m_hostHash;
    std::set<Base::ZoneId> m_evacuatedZones;
    Base::ZoneId m_ownZone;
    const PeerLoad *m_peerLoad = nullptr;
    const ServerNotices *m_notices = nullptr;
    std::map<Base::ServerId, ServerState> m_servers;
    std::unordered_map<WorkId, Placed> m_placed;
    FairWaitQueue m_waiting;
    std::vector<PartUse> m_partUses;
    /// The tokens of the current request's prompt that each server has cached, in the order of
    /// m_servers.
    std::vector<std::uint32_t> m_cachedTokens;
    Base::TimePoint m_placedWaitingAt{};
    Base::TimePoint m_saturationAt{};
    Base::TimePoint m_evictedAt{};
};

} // namespace Routing
