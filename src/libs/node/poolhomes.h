#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "coordination/heartbeat.h"
#include "coordination/membership.h"
#include "coordination/serviceledger.h"
#include "coordination/stretchedinterval.h"
#include "node/environment.h"
#include "node/homeorders.h"
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

/// What the home side looks at but does not own.
struct HomeContext
{
    const NodeSettings &settings;
    const Environment &environment;
    const Coordination::Membership &membership;
    const Coordination::ConfigurationReplica &configuration;
    const ServerDirectory &directory;
    const HomeOrderCache &orders;
    Outbox &outbox;
};

/// The pool shards that this router is home of, with the service accounts of their pools.
class PoolHomes
{
public:
    using Key = std::pair<Base::PoolId, std::uint32_t>;

    explicit PoolHomes(const HomeContext &context);

    /// The home of a shard, made when it is first asked for; null for a shard that the list of
    /// hosts does not have. Whoever asks is served: correctness does not rest on being home.
    PoolHome *home(const Base::PoolId &pool, std::uint32_t shard);
    const std::map<Key, std::unique_ptr<PoolHome>> &all() const { return m_homes; }

    void merge(const Base::HostId &from, const Coordination::LedgerDelta &delta);
    void answerDigest(const Base::HostId &from, const WaitingDigest &digest);
    void answerWorkAsk(const Base::HostId &from, const WorkAsk &ask, Base::TimePoint now);
    void acceptHandover(const WorkHandover &handover, Base::TimePoint now);
    void recordLoad(const BackendLoad &load, Base::TimePoint now);

    /// Servers, routers or targets changed.
    void refresh(Base::TimePoint now);
    void refreshClaims();
    /// Lets idle and crowded shards of one pool even out. Cheap where a pool has one shard.
    void balance(Base::TimePoint now);
    void advance(Base::TimePoint now);
    Base::TimePoint nextDue() const;

    std::vector<Coordination::PoolSummary> summaries() const;
    /// The shards of a pool as their homes last described them.
    std::vector<Scheduling::ShardSummary> shards(const Base::PoolId &pool,
                                                 Base::TimePoint now) const;
    std::size_t waiting() const;

private:
    Coordination::ServiceLedger *ledger(const Base::PoolId &pool);
    const std::vector<Base::HostId> &homeOrder(const Base::PoolId &pool, std::uint32_t shard) const;
    void dropLostEntryHosts(Base::TimePoint now);
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
    /// The start of each other router for which homes here hold work; 0 if it is gone.
    std::map<Base::HostId, Base::Incarnation> m_entryIncarnations;
    Base::TimePoint m_nextLoadPoll{};
    Coordination::StretchedInterval m_ledgerInterval;
    Base::TimePoint m_nextAdvance{};
};

} // namespace Node
