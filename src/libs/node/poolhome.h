#pragma once

#include "base/ids.h"
#include "base/random.h"
#include "base/result.h"
#include "base/time.h"
#include "coordination/heartbeat.h"
#include "coordination/serviceledger.h"
#include "node/nodesettings.h"
#include "node/outbox.h"
#include "node/peermessage.h"
#include "node/serverdirectory.h"
#include "node/waitingset.h"
#include "scheduling/admissionpolicy.h"
#include "scheduling/concurrencylimiter.h"
#include "scheduling/drainestimator.h"
#include "scheduling/fairqueue.h"
#include "scheduling/holdestimator.h"
#include "scheduling/serverselector.h"

#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace Node {

/// The permits in use and the permit limit of one backend server, as its home counts them.
struct ServerUsage
{
    Base::ServerId server;
    std::size_t inUse = 0;
    std::size_t limit = 0;
};

/// Schedules the work of one pool shard on its home router.
///
/// A home is the router that owns the queue of a pool shard. A permit is the right to run one
/// attempt on one backend server. The home queues permit requests from entry hosts in fair
/// order, limits the concurrency of each backend server, and tracks the permits it has granted.
///
/// All of this is soft state. The request itself and its caller's connection stay at the entry
/// host. If this home fails, the entry hosts send their permit requests to the next home, so no
/// answer is lost. If two routers both act as the home of a shard for a moment, they grant at
/// most twice the permits; the extra work then waits in the queue of the backend server.
class PoolHome final : private Scheduling::ClassClaims
{
public:
    /// Fails if the queue or admission policy in \a settings is invalid.
    static Base::Result<std::unique_ptr<PoolHome>>
    create(const NodeSettings &settings, const Base::PoolId &pool, std::uint32_t shard,
           Coordination::ServiceLedger &ledger, Outbox &outbox, Base::RandomSource &random);

    /// Replaces the usable backend servers. A server that is no longer listed gets no new permits
    /// and is removed once its last permit is released.
    void setServers(const std::vector<const Server *> &servers);
    /// Reads the share of the pool's permits that each class of work may use while other classes
    /// have work waiting.
    void setClassClaims(const Settings::Configuration &configuration);

    const Base::PoolId &pool() const { return m_pool; }
    std::uint32_t shard() const { return m_shard; }

    /// Queues the request, or refuses it under the admission policy. A repeated request that
    /// already has a permit is granted again, because its first grant may have been lost.
    void request(const PermitRequest &request, Base::TimePoint now);
    /// Removes a waiting request, or ends the permit if it was already granted.
    void cancel(const PermitCancel &cancel, Base::TimePoint now);
    /// Ends a permit, charges its service and passes its times to the concurrency limiter.
    void release(const PermitRelease &release, Base::TimePoint now);
    /// Charges the service received so far under a permit in use.
    void charge(const ServiceCharge &charge, Base::TimePoint now);
    /// Counts a permit that an earlier home granted and that is still in use.
    void adoptPermit(const Base::HostId &entry, const PermitHeld &held, Base::TimePoint now);
    /// Passes the polled load of a backend server to its concurrency limiter.
    void recordLoad(const BackendLoad &load, Base::TimePoint now);
    /// Compares the attempts that wait here for \a entry with the digest of what \a entry expects
    /// to be waiting.
    WaitingReply compare(const Base::HostId &entry, const WaitingDigest &digest) const;
    /// Drops all waiting work and all permits of \a entry, which has failed or restarted.
    void dropEntryHost(const Base::HostId &entry, Base::TimePoint now);
    /// Updates the concurrency limits, refuses expired work and queries permits that are due.
    void advance(Base::TimePoint now);
    /// Removes at most \a count items from the head of the queue and returns them as permit
    /// requests to shard \a to.
    std::vector<PermitRequest> takeForHandover(std::size_t count, std::uint32_t to,
                                               Base::TimePoint now);

    /// Returns the queue length, free permits and drain rate, as reported to other routers.
    Coordination::PoolSummary summary() const;
    /// Returns the number of waiting requests.
    std::size_t waiting() const { return m_queue.size(); }
    std::size_t permitsInUse() const { return m_permits.size(); }
    /// Returns the sum of the permit limits of all usable servers.
    std::size_t permitLimit() const;
    std::vector<Base::ServerId> servers() const;
    std::vector<ServerUsage> serverUsage() const;
    /// Difference in weighted tokens between the most and the least served customer with waiting
    /// work; 0 if fewer than two customers have waiting work.
    Base::ServiceUnits fairnessGap() const;

private:
    struct ServerState
    {
        Server server;
        Scheduling::ConcurrencyLimiter limiter;
        std::size_t inUse = 0;
        bool isUsable = true;
    };

    /// A granted permit that is not yet released.
    struct Permit
    {
        Base::HostId entry;
        Base::ServerId server;
        Base::CustomerId customer;
        Base::ClassId workClass;
        /// The estimated cost that is held against the customer's account and not yet charged.
        Base::ServiceUnits held = 0;
        /// Cost expected from the caller's hints; 0 if this home does not know it.
        Base::ServiceUnits expected = 0;
        /// Service reported under the permit so far.
        Base::ServiceUnits served = 0;
        /// Time at which the permit was last known to be in use, or was last queried.
        Base::TimePoint confirmedAt;
    };

    PoolHome(const NodeSettings &settings, const Base::PoolId &pool, std::uint32_t shard,
             Coordination::ServiceLedger &ledger, Outbox &outbox, Base::RandomSource &random,
             Scheduling::FairQueue queue, Scheduling::AdmissionPolicy admission);

    bool isOverClaim(const Base::ClassId &workClass) const override;
    /// Median over the servers of their minimum time to first token; empty if fewer than two
    /// servers have one.
    std::optional<Base::Duration> medianTimeToFirstToken() const;
    /// Grants permits in queue order until no server has a free permit or no work waits.
    void dispatch(Base::TimePoint now);
    std::vector<Scheduling::ServerCandidate> serversWithFreePermits() const;
    void grant(const Scheduling::WaitingWork &work, const Base::ServerId &server,
               Base::TimePoint now);
    void endPermit(std::map<AttemptId, Permit>::iterator it);
    Scheduling::PoolState poolState(const Base::CustomerId &customer) const;
    void refuse(const Scheduling::WaitingWork &work, const Scheduling::AdmissionRefusal &refusal);
    void removeWaiting(const Scheduling::WaitingWork &work);
    /// Charges the customer the increase since the last report. \a total is all service received
    /// under the permit.
    void recordService(Permit &permit, Base::ServiceUnits total);
    /// Updates the set of customers whose backlog has lasted for persistentBacklogAge. They define
    /// the floor of the ledger, and the debts of other customers are clamped against it.
    void updatePersistentlyBacklogged(Base::TimePoint now);
    /// Queries the entry hosts about permits without a recent report, because their release may
    /// have been lost.
    void queryPermits(Base::TimePoint now);

    NodeSettings m_settings;
    Base::PoolId m_pool;
    std::uint32_t m_shard;
    Coordination::ServiceLedger *m_ledger;
    Outbox *m_outbox;
    Base::RandomSource *m_random;
    Scheduling::FairQueue m_queue;
    Scheduling::AdmissionPolicy m_admission;
    Scheduling::ServerSelector m_selector;
    std::map<Base::ServerId, ServerState> m_servers;
    std::map<AttemptId, Permit> m_permits;
    /// The waiting attempts of each entry host.
    std::map<Base::HostId, WaitingSet> m_waitingByEntry;
    Base::TimePoint m_nextQuery{};
    /// Start of the current backlog of each customer that has work waiting.
    std::map<Base::CustomerId, Base::TimePoint> m_backloggedSince;
    /// The customers whose backlog has lasted for at least persistentBacklogAge.
    std::vector<Base::CustomerId> m_persistentlyBacklogged;
    Base::TimePoint m_nextBacklogCheck{};
    /// Share of the pool's permits, from 0 to 1, that each class with a claim may use.
    std::map<Base::ClassId, double> m_classClaims;
    std::map<Base::ClassId, std::size_t> m_inUseByClass;
    Scheduling::DrainEstimator m_drain;
    Scheduling::HoldEstimator m_holds;
};

} // namespace Node
