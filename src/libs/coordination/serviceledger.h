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

/// A LedgerPolicy that cannot work.
struct InvalidLedgerPolicy
{};

struct LedgerPolicy
{
    /// A customer further than this ahead of the floor is forgiven the rest, so that it does
    /// not starve when partitioned routers rejoin. Weighed tokens; about a second's service of
    /// twenty model servers at 2,000 generated tokens a second each.
    Base::ServiceUnits largestDebt = 200000;
    /// A start silent for this long is folded: twice the hour for which regions lose each other.
    Base::Duration foldAfter = std::chrono::hours(2);
    /// How long it is remembered that a start was folded.
    Base::Duration foldedLife = std::chrono::hours(24);
    /// A customer at or under the floor and idle for this long is dropped.
    Base::Duration idleAfter = std::chrono::minutes(10);
    /// Every so often a delta also repeats a few entries that have not changed, which mends
    /// what lost deltas left apart.
    Base::Duration refreshInterval = std::chrono::seconds(5);
    std::size_t refreshEntries = 16;
    /// A cold ledger asks its peers for a snapshot this often, and gives up after askFor: then
    /// nobody has one, the fleet is new.
    Base::Duration askInterval = std::chrono::seconds(2);
    Base::Duration askFor = std::chrono::seconds(20);
    /// A peer's floor older than this says nothing of who waits there now.
    Base::Duration floorLife = std::chrono::seconds(5);
};

/// What merge() found out about the sender.
enum class MergeResult {
    Taken,
    SenderIsFolded, ///< The sender's counters are closed here; it needs a snapshot to see so.
};

/// Service received by each customer of one pool, counted at this router and learned from the
/// other routers that count for the same pool.
///
/// Load it answers: customers whose work is spread unevenly over many home routers. Without it
/// each home is fair on its own, and a customer with work at n homes gets n shares.
///
/// A position is lifted + settled + charged by every live start - forgiven + held here. Each
/// addend is a lower bound of the truth that only grows, and each charge is in exactly one of
/// them; so a view errs only by what has not arrived (interval x rate) and counts nothing
/// twice. docs/design/service-accounting.md has the proof and what folding costs.
class ServiceLedger final : public Scheduling::ServiceView
{
public:
    /// Fails with InvalidLedgerPolicy.
    static Base::Result<ServiceLedger> create(const LedgerPolicy &policy, const Base::HostId &self,
                                              Base::Incarnation incarnation,
                                              const Base::PoolId &pool);

    /// Of an unknown customer: the floor, where it will come in.
    Base::ServiceUnits position(const Base::CustomerId &customer) const override;

    void charge(const Base::CustomerId &customer, Base::ServiceUnits units);
    /// The expected cost of work just given a permit, held until it is charged or returned.
    void hold(const Base::CustomerId &customer, Base::ServiceUnits units);
    void releaseHold(const Base::CustomerId &customer, Base::ServiceUnits units);
    /// \a customer has waiting work again: lifted to the least position in \a backlogged, and
    /// forgiven what it is further ahead of it than the largest debt.
    void becomeBacklogged(const Base::CustomerId &customer,
                          const std::vector<Base::CustomerId> &backlogged);
    /// Forgives each of \a backlogged what it is further ahead of the least of them than the
    /// largest debt. Call it regularly: a merge after a partition makes such debts.
    void clampDebts(const std::vector<Base::CustomerId> &backlogged);

    MergeResult merge(const LedgerDelta &delta);
    /// Entries changed since the last call, those with the largest unsent charge first, at
    /// most \a limit; empty if there is nothing to say.
    std::optional<LedgerDelta> takeDelta(std::size_t limit = allEntries);
    /// What a peer that starts or takes over needs: all customers above the floor.
    LedgerDelta snapshot() const;
    /// Folds silent starts and drops idle customers.
    void advance(Base::TimePoint now);

    std::size_t customers() const { return m_accounts.size(); }
    /// Starts whose counters are kept one by one.
    std::size_t liveStarts() const { return m_sources.size(); }
    std::size_t foldedStarts() const { return m_folded.size(); }
    bool isCold() const { return m_isCold; }

    static constexpr std::size_t allEntries = static_cast<std::size_t>(-1);

private:
    struct Account
    {
        std::uint64_t round = 0;
        Base::ServiceUnits lifted = 0;
        Base::ServiceUnits forgiven = 0;
        Base::ServiceUnits settled = 0;
        /// Sum over m_sources.
        Base::ServiceUnits elsewhere = 0;
        Base::ServiceUnits chargedHere = 0;
        Base::ServiceUnits held = 0;
        Base::ServiceUnits sent = 0;
        Base::TimePoint usedAt;

        Base::ServiceUnits shared() const;
        Base::ServiceUnits position() const;
    };
    using Accounts = std::map<Base::CustomerId, Account>;

    /// One live start of another router.
    struct Source
    {
        Base::TimePoint heardAt;
        Base::ServiceUnits floor = 0;
        std::map<Base::CustomerId, Base::ServiceUnits> seen;
    };
    using Sources = std::map<LedgerStart, Source>;

    struct Fold
    {
        LedgerStart start;
        Base::TimePoint at;
    };

    ServiceLedger(const LedgerPolicy &policy, const LedgerStart &self, const Base::PoolId &pool);

    /// The account, made at \a level if the customer is unknown.
    Account &use(const Base::CustomerId &customer, Base::ServiceUnits level);
    /// Least position of those that wait here.
    std::optional<Base::ServiceUnits> floorHere(const std::vector<Base::CustomerId> &backlogged,
                                                const Base::CustomerId &except) const;
    Base::ServiceUnits floorAmong(const std::vector<Base::CustomerId> &backlogged,
                                  const Base::CustomerId &except) const;
    void noteFloor(Base::ServiceUnits floor);
    void forgive(const Base::CustomerId &customer, Base::ServiceUnits floor);
    void mergeEntry(const LedgerDelta &delta, const LedgerEntry &entry, const LedgerStart &sender);
    /// The account in the entry's round; null if the entry's round is over.
    Account *accountFor(const LedgerEntry &entry);
    void enterRound(const Base::CustomerId &customer, Account &account, std::uint64_t round,
                    Base::ServiceUnits lifted);
    void see(const LedgerStart &start, const Base::CustomerId &customer, Account &account,
             Base::ServiceUnits charged);

    bool isFolded(const LedgerStart &start) const;
    void fold(const LedgerStart &start, Base::TimePoint at);
    void foldSuperseded();
    void foldSilent();
    void takeFolded(const std::vector<FoldedStart> &folded);
    void beginEpochAfter(const LedgerStart &folded);
    void clearCounters(const Base::CustomerId &customer, Account &account);
    void dropIdle();

    std::vector<FoldedStart> foldedList() const;
    LedgerDelta header() const;
    LedgerEntry entryOf(const Base::CustomerId &customer, const Account &account,
                        bool isFull) const;
    std::vector<Base::CustomerId> takeChanged(std::size_t limit);
    void addRefreshed(std::vector<Base::CustomerId> &customers);
    bool isIdle(const Account &account) const;

    LedgerPolicy m_policy;
    LedgerStart m_self;
    Base::PoolId m_pool;
    Accounts m_accounts;
    Sources m_sources;
    std::map<Base::HostId, Fold> m_folded;
    std::set<Base::CustomerId> m_changed;
    Base::CustomerId m_refreshedTo;
    /// Largest round of a dropped customer: one that comes back starts after it.
    std::uint64_t m_droppedRound = 0;
    /// Largest floor seen here, where customers come in while nobody waits.
    Base::ServiceUnits m_lastFloor = 0;
    /// Least position that waited in a shard here, and when. The shards of a pool call in turn,
    /// so one whose queue is empty must not wipe out what another has just found.
    Base::ServiceUnits m_floorNow = 0;
    Base::TimePoint m_floorAt{};
    bool m_isCold = true;
    Base::TimePoint m_now{};
    std::optional<Base::TimePoint> m_startedAt;
    Base::TimePoint m_nextAsk{};
    Base::TimePoint m_nextRefresh{};
    Base::TimePoint m_nextSweep{};
};

} // namespace Coordination
