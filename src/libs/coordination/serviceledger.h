#pragma once

#include "base/result.h"
#include "base/time.h"
#include "coordination/ledgerdelta.h"
#include "scheduling/serviceview.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace Coordination {

/// Error of ServiceLedger::create(): LedgerPolicy::maxDebt is zero, or foldedRetention is not
/// longer than foldAfter.
struct InvalidLedgerPolicy
{};

/// Limits and intervals of a ServiceLedger.
struct LedgerPolicy
{
    /// Largest debt of a customer, in weighted tokens. The debt is the distance of its position
    /// ahead of the floor; what exceeds the limit is forgiven, so that the customer does not
    /// starve when partitioned routers rejoin. The value is about one second of service by
    /// twenty model servers that generate 2,000 tokens a second each.
    Base::ServiceUnits maxDebt = 200000;
    /// Silence after which a start is folded: twice the hour for which regions may lose each
    /// other.
    Base::Duration foldAfter = std::chrono::hours(2);
    /// How long the ledger remembers that a start was folded.
    Base::Duration foldedRetention = std::chrono::hours(24);
    /// A customer whose position is at or below the floor is dropped after this idle time.
    Base::Duration dropIdleAfter = std::chrono::minutes(10);
    /// Once per interval a delta also repeats a few unchanged entries, in turn, which repairs
    /// differences that lost deltas have left.
    Base::Duration refreshInterval = std::chrono::seconds(5);
    std::size_t refreshEntries = 16;
    /// Interval at which a cold ledger requests a snapshot from its peers. After
    /// snapshotRequestTimeout it stops: no peer has a snapshot, so the fleet is new.
    Base::Duration snapshotRequestInterval = std::chrono::seconds(2);
    Base::Duration snapshotRequestTimeout = std::chrono::seconds(20);
    /// A peer's floor that is older than this is ignored, because other customers may wait
    /// there by now.
    Base::Duration peerFloorTimeout = std::chrono::seconds(5);
};

/// Result of ServiceLedger::merge().
enum class MergeResult {
    Applied,
    SenderIsFolded, ///< This ledger has folded the sender's start; the sender needs a snapshot
                    ///< to learn that.
};

/// Replicated account of the service that each customer of one pool has received. It counts the
/// charges of this router and merges those of the other routers that serve the same pool.
///
/// The ledger makes a pool fair as a whole when a customer's work is spread unevenly over many
/// home routers (a home grants the permits for one shard of the pool). With a separate count at
/// each home, a customer with work at n homes would get n shares.
///
/// Each customer has a position, in weighted tokens; the customer with the smallest position is
/// served first. The floor is the smallest position among the waiting customers.
///
///     position = lifted + settled + charged by every live start - forgiven + held
///
/// Each charge is part of exactly one addend, and each addend is a lower bound of its true value
/// that only grows. A position therefore counts nothing twice, and is short only of the charges
/// that have not arrived yet, at most exchange interval times rate.
///
/// Folding a start adds its charges to the settled sum, so that the ledger need not keep the
/// counters of every start of every router. docs/design/service-accounting.md has the proof and
/// the cost of folding.
class ServiceLedger final : public Scheduling::ServiceView
{
public:
    /// Fails with InvalidLedgerPolicy.
    static Base::Result<ServiceLedger> create(const LedgerPolicy &policy, const Base::HostId &self,
                                              Base::Incarnation incarnation,
                                              const Base::PoolId &pool);

    /// Returns the customer's position in weighted tokens. An unknown customer has the highest
    /// floor known, at which it would be added.
    Base::ServiceUnits position(const Base::CustomerId &customer) const override;

    /// Adds service received by \a customer at this router.
    void charge(const Base::CustomerId &customer, Base::ServiceUnits units);
    /// Reserves the expected cost of work that has just got a permit. The caller releases it
    /// when the work is charged or the permit is returned.
    void hold(const Base::CustomerId &customer, Base::ServiceUnits units);
    /// Releases \a units of the customer's reservation, at most all of it.
    void releaseHold(const Base::CustomerId &customer, Base::ServiceUnits units);
    /// Records that \a customer has waiting work again: lifts its position to the floor of the
    /// other \a backlogged customers and of the peers. If other customers are backlogged here,
    /// also forgives debt above LedgerPolicy::maxDebt.
    void becomeBacklogged(const Base::CustomerId &customer,
                          const std::vector<Base::CustomerId> &backlogged);
    /// Limits the debt of each customer in \a backlogged to LedgerPolicy::maxDebt and updates the
    /// floor that is sent to peers. Must be called regularly, because a merge after a partition can
    /// create larger debts.
    void clampDebts(const std::vector<Base::CustomerId> &backlogged);

    /// Merges a delta or snapshot of another router; ignores those of other pools and its own.
    MergeResult merge(const LedgerDelta &delta);
    /// Returns up to \a limit entries that have changed since the last call, those with the
    /// largest unsent charge first, and now and then refreshed entries; nullopt if there is
    /// nothing to send.
    std::optional<LedgerDelta> takeDelta(std::size_t limit = allEntries);
    /// Returns what a peer needs when it starts or takes over a home: all customers except idle
    /// ones at or below the floor.
    LedgerDelta snapshot() const;
    /// Sets the current time, folds silent starts and drops idle customers.
    void advance(Base::TimePoint now);

    /// Number of customers with an account.
    std::size_t customers() const { return m_accounts.size(); }
    /// Number of other routers' starts whose counters are kept individually.
    std::size_t liveStarts() const { return m_remoteStarts.size(); }
    /// Number of hosts with a remembered folded start.
    std::size_t foldedStarts() const { return m_folded.size(); }
    /// Whether the ledger has started without other routers' charges and still waits for a
    /// snapshot.
    bool isCold() const { return m_isCold; }

    static constexpr std::size_t allEntries = static_cast<std::size_t>(-1);

private:
    struct Account
    {
        std::uint64_t round = 0;
        Base::ServiceUnits lifted = 0;
        Base::ServiceUnits forgiven = 0;
        Base::ServiceUnits settled = 0;
        /// Sum of the customer's charges over m_remoteStarts.
        Base::ServiceUnits chargedRemotely = 0;
        Base::ServiceUnits chargedLocally = 0;
        Base::ServiceUnits held = 0;
        /// Value of chargedLocally in the last delta.
        Base::ServiceUnits lastSent = 0;
        Base::TimePoint usedAt;

        /// The position without the local reservations, which peers do not know.
        Base::ServiceUnits replicatedPosition() const;
        Base::ServiceUnits position() const;
    };
    using Accounts = std::map<Base::CustomerId, Account>;

    /// What is known of one live start of another router.
    struct RemoteStart
    {
        Base::TimePoint lastHeardAt;
        Base::ServiceUnits floor = 0;
        std::map<Base::CustomerId, Base::ServiceUnits> seen;
    };
    using RemoteStarts = std::map<LedgerStart, RemoteStart>;

    struct FoldRecord
    {
        LedgerStart start;
        Base::TimePoint foldedAt;
    };

    ServiceLedger(const LedgerPolicy &policy, const LedgerStart &self, const Base::PoolId &pool);

    /// Returns the customer's account and creates it at position \a level if there is none.
    Account &findOrCreate(const Base::CustomerId &customer, Base::ServiceUnits initialPosition);
    /// Smallest position in \a backlogged, without \a except; nullopt if nobody else waits.
    std::optional<Base::ServiceUnits> localFloor(const std::vector<Base::CustomerId> &backlogged,
                                                 const Base::CustomerId &except) const;
    /// Smallest position among \a backlogged without \a except and among the customers that wait
    /// at peers; the highest floor known if nobody waits.
    Base::ServiceUnits poolFloor(const std::vector<Base::CustomerId> &backlogged,
                                 const Base::CustomerId &except) const;
    void recordFloor(Base::ServiceUnits floor);
    /// Forgives what exceeds the largest debt, counted from \a floor.
    void forgive(const Base::CustomerId &customer, Base::ServiceUnits floor);
    void mergeEntry(const LedgerDelta &delta, const LedgerEntry &entry, const LedgerStart &sender);
    /// Returns the customer's account in the entry's round, or null if that round is over.
    Account *accountInRound(const LedgerEntry &entry);
    /// Replaces the account's counters by those of a newer round.
    void enterRound(const Base::CustomerId &customer, Account &account, std::uint64_t round,
                    Base::ServiceUnits lifted);
    void recordRemoteCharge(const LedgerStart &start, const Base::CustomerId &customer,
                            Account &account, Base::ServiceUnits charged);

    bool isFolded(const LedgerStart &start) const;
    /// Adds the charges of \a start and of earlier starts of its host to the settled sums.
    void fold(const LedgerStart &start, Base::TimePoint at);
    /// Folds starts of which a later start of the same host is known.
    void foldSuperseded();
    /// Folds starts that have been silent for too long and forgets old folds.
    void foldSilent();
    /// Folds what a peer has folded; begins a new epoch if that includes this router's start.
    void applyFolded(const std::vector<FoldedStart> &folded);
    void beginEpochAfter(const LedgerStart &folded);
    void clearCounters(const Base::CustomerId &customer, Account &account);
    void dropIdle();

    std::vector<FoldedStart> foldedList() const;
    LedgerDelta makeHeader() const;
    LedgerEntry makeEntry(const Base::CustomerId &customer, const Account &account,
                          bool isFull) const;
    std::vector<Base::CustomerId> takeChanged(std::size_t limit);
    void addRefreshEntries(std::vector<Base::CustomerId> &customers);
    bool isIdle(const Account &account) const;

    LedgerPolicy m_policy;
    LedgerStart m_self;
    Base::PoolId m_pool;
    Accounts m_accounts;
    RemoteStarts m_remoteStarts;
    std::map<Base::HostId, FoldRecord> m_folded;
    std::set<Base::CustomerId> m_changed;
    Base::CustomerId m_refreshCursor;
    /// Largest round of all dropped customers; a customer that returns enters a later round.
    std::uint64_t m_maxDroppedRound = 0;
    /// Largest floor known, at which customers are added while nobody waits.
    Base::ServiceUnits m_highestFloor = 0;
    /// Smallest position waiting in a local shard and when it was recorded. It expires by time,
    /// because the shards of a pool call in turn and a shard with an empty queue must not erase
    /// the floor that another one has just recorded.
    Base::ServiceUnits m_localFloor = 0;
    Base::TimePoint m_localFloorAt{};
    bool m_isCold = true;
    Base::TimePoint m_now{};
    std::optional<Base::TimePoint> m_startedAt;
    Base::TimePoint m_nextSnapshotRequest{};
    Base::TimePoint m_nextRefresh{};
    Base::TimePoint m_nextSweep{};
};

} // namespace Coordination
