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

/// How much of one backend server is in use, as its home sees it.
struct ServerUse
{
    Base::ServerId server;
    std::size_t inUse = 0;
    std::size_t limit = 0;
};

/// One shard of a pool at its home router: the queue of work that waits for a permit, the
/// concurrency of each backend server, and the permits given.
///
/// All of it is soft state. A request and its caller live at the entry host; if this home is
/// lost the entry hosts ask the next one, so no answer is lost with it. Two routers that both
/// believe to be home give at most twice the permits for a moment, which costs waiting at the
/// server and nothing else.
class PoolHome final : private Scheduling::ClassClaims
{
public:
    static Base::Result<std::unique_ptr<PoolHome>>
    create(const NodeSettings &settings, const Base::PoolId &pool, std::uint32_t shard,
           Coordination::ServiceLedger &ledger, Outbox &outbox, Base::RandomSource &random);

    void setServers(const std::vector<const Server *> &servers);
    /// Share of the pool that each class may claim while others wait.
    void setClaims(const Settings::Configuration &configuration);

    const Base::PoolId &pool() const { return m_pool; }
    std::uint32_t shard() const { return m_shard; }

    void request(const PermitRequest &request, Base::TimePoint now);
    void cancel(const PermitCancel &cancel, Base::TimePoint now);
    void release(const PermitRelease &release, Base::TimePoint now);
    void charge(const ServiceCharge &charge, Base::TimePoint now);
    void adoptPermit(const Base::HostId &entry, const PermitHeld &held, Base::TimePoint now);
    void recordLoad(const BackendLoad &load, Base::TimePoint now);
    /// What waits here for \a entry, against what it believes.
    WaitingReply compare(const Base::HostId &entry, const WaitingDigest &digest) const;
    /// \a entry is gone, and with it all that waited for it or ran under it.
    void dropEntryHost(const Base::HostId &entry, Base::TimePoint now);
    void advance(Base::TimePoint now);
    /// Takes at most \a count of the work next in order, as requests to shard \a to.
    std::vector<PermitRequest> takeForHandover(std::size_t count, std::uint32_t to,
                                               Base::TimePoint now);

    Coordination::PoolSummary summary() const;
    std::size_t waiting() const { return m_queue.size(); }
    std::size_t permitsInUse() const { return m_permits.size(); }
    std::size_t permitLimit() const;
    std::vector<Base::ServerId> servers() const;
    std::vector<ServerUse> serverUse() const;
    /// Between the most and the least served customer with waiting work; 0 without two.
    Base::ServiceUnits fairnessGap() const;

private:
    struct ServerState
    {
        Server server;
        Scheduling::ConcurrencyLimiter limiter;
        std::size_t inUse = 0;
        bool isUsable = true;
    };

    struct Permit
    {
        Base::HostId entry;
        Base::ServerId server;
        Base::CustomerId customer;
        Base::ClassId workClass;
        Base::ServiceUnits held = 0;
        /// The caller's hint; 0 when it is not known here.
        Base::ServiceUnits expected = 0;
        Base::ServiceUnits served = 0;
        /// When it was last known to be in use.
        Base::TimePoint confirmedAt;
    };

    PoolHome(const NodeSettings &settings, const Base::PoolId &pool, std::uint32_t shard,
             Coordination::ServiceLedger &ledger, Outbox &outbox, Base::RandomSource &random,
             Scheduling::FairQueue queue, Scheduling::AdmissionPolicy admission);

    bool isOverClaim(const Base::ClassId &workClass) const override;
    /// Median of the servers' quickest first tokens; empty with fewer than two servers.
    std::optional<Base::Duration> medianTimeToFirstToken() const;
    void dispatch(Base::TimePoint now);
    std::vector<Scheduling::ServerCandidate> serversWithFreePermits() const;
    void grant(const Scheduling::WaitingWork &work, const Base::ServerId &server,
               Base::TimePoint now);
    void endPermit(std::map<AttemptId, Permit>::iterator it);
    Scheduling::PoolState poolState(const Base::CustomerId &customer) const;
    void refuse(const Scheduling::WaitingWork &work, const Scheduling::AdmissionRefusal &refusal);
    void removeWaiting(const Scheduling::WaitingWork &work);
    /// Charges what \a total, all service under the permit, adds to what is known.
    void recordService(Permit &permit, Base::ServiceUnits total);
    /// Finds the customers that set the floor, and clamps debts against it.
    void updatePersistentlyBacklogged(Base::TimePoint now);
    /// Asks entry hosts for permits long unheard of: their release may have been lost.
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
    std::map<Base::HostId, WaitingSet> m_waitingByEntry;
    Base::TimePoint m_nextQuery{};
    /// Since when each customer has had work waiting.
    std::map<Base::CustomerId, Base::TimePoint> m_backloggedSince;
    /// The customers that have had work waiting for a while.
    std::vector<Base::CustomerId> m_persistentlyBacklogged;
    Base::TimePoint m_nextBacklogCheck{};
    std::map<Base::ClassId, double> m_claims;
    std::map<Base::ClassId, std::size_t> m_inUseByClass;
    Scheduling::DrainEstimator m_drain;
    Scheduling::HoldEstimator m_holds;
};

} // namespace Node
