#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "coordination/heartbeat.h"
#include "coordination/membership.h"
#include "coordination/serviceledger.h"
#include "coordination/stretchedinterval.h"
#include "node/environment.h"
#include "node/homeordercache.h"
#include "node/nodesettings.h"
#include "node/outbox.h"
#include "node/poolhome.h"
#include "node/serverdirectory.h"
#include "scheduling/handoverplanner.h"
#include "scheduling/shardsummary.h"
#include "settings/configuration.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <utility>
#include <vector>

namespace Node {

/// The objects that PoolHomes uses but does not own. They must outlive it.
struct HomeContext
{
    const NodeSettings &settings;
    const Environment &environment;
    const Coordination::Membership &membership;
    const Coordination::ConfigurationReplica &configuration;
    const ServerDirectory &directory;
    const HomeOrderCache &homeOrders;
    Outbox &outbox;
};

/// The homes of all pool shards that this router schedules, and one ledger of received service
/// per pool.
///
/// PoolHomes also exchanges ledgers with other routers, polls the load of backend servers, and
/// moves waiting work between shards of one pool.
class PoolHomes
{
public:
    using Key = std::pair<Base::PoolId, std::uint32_t>;

    explicit PoolHomes(const HomeContext &context);

    /// Returns the home of a shard and creates it on first use; null if the list of hosts has no
    /// such shard. The function does not check whether this router is the current home, because
    /// correctness does not depend on that.
    PoolHome *home(const Base::PoolId &pool, std::uint32_t shard);
    const std::map<Key, std::unique_ptr<PoolHome>> &all() const { return m_homes; }

    /// Merges a ledger delta of another router. Replies with a snapshot if the sender requests one,
    /// or if its counters are already closed (folded) in this ledger.
    void merge(const Base::HostId &from, const Coordination::LedgerDelta &delta);
    /// Replies to the digest of an entry host whose requests wait at a home here.
    void answerDigest(const Base::HostId &from, const WaitingDigest &digest);
    /// Hands over work to an idle shard that asks for it; replies even if there is none.
    void answerWorkAsk(const Base::HostId &from, const WorkAsk &ask, Base::TimePoint now);
    /// Queues requests that the home of another shard hands over.
    void acceptHandover(const WorkHandover &handover, Base::TimePoint now);
    /// Passes the polled load of a backend server to all homes.
    void recordLoad(const BackendLoad &load, Base::TimePoint now);

    /// Updates all homes after the backend servers or the usable routers have changed.
    void refresh(Base::TimePoint now);
    /// Passes the class shares of the current configuration to all homes.
    void refreshClassClaims();
    /// Moves waiting work from backlogged to idle shards of the same pool. Costs little for a
    /// pool with one shard.
    void balance(Base::TimePoint now);
    /// Advances the homes, polls backend servers and sends ledger deltas as far as they are due.
    void advance(Base::TimePoint now);
    Base::TimePoint nextDue() const;

    /// Returns a summary of each home, for the heartbeat of this router.
    std::vector<Coordination::PoolSummary> summaries() const;
    /// Returns a summary of each shard of a pool, as last reported by its home.
    std::vector<Scheduling::ShardSummary> shards(const Base::PoolId &pool,
                                                 Base::TimePoint now) const;
    /// Returns the number of requests that wait at all homes.
    std::size_t waiting() const;

private:
    Coordination::ServiceLedger *ledger(const Base::PoolId &pool);
    const std::vector<Base::HostId> &homeOrder(const Base::PoolId &pool, std::uint32_t shard) const;
    /// Drops the work of entry hosts that failed or restarted.
    void dropLostEntryHosts(Base::TimePoint now);
    /// Removes the homes of shards that moved to another router and hold no work any more.
    void removeUnusedHomes();
    void sendLedgers(Base::TimePoint now);
    void sendLedger(const Base::PoolId &pool, Coordination::ServiceLedger &ledger,
                    Base::TimePoint now);
    void pollLoads(Base::TimePoint now);
    void balanceShard(const Key &key, PoolHome &home, Base::TimePoint now);
    void handOver(PoolHome &home, const Scheduling::Handover &handover, bool isAnswer,
                  Base::TimePoint now);

    HomeContext m_context;
    std::map<Base::PoolId, std::unique_ptr<Coordination::ServiceLedger>> m_ledgers;
    std::map<Key, std::unique_ptr<PoolHome>> m_homes;
    std::map<Key, Scheduling::HandoverPlanner> m_planners;
    /// Last known incarnation of each other router, to detect restarts of entry hosts; 0 if the
    /// router is not alive.
    std::map<Base::HostId, Base::Incarnation> m_entryIncarnations;
    Base::TimePoint m_nextLoadPoll{};
    Coordination::StretchedInterval m_ledgerInterval;
    Base::TimePoint m_nextAdvance{};
};

} // namespace Node
