#pragma once

#include "base/random.h"
#include "base/result.h"
#include "scheduling/waitingwork.h"

#include <cstddef>
#include <optional>

namespace Scheduling {

/// Why work is refused.
enum class RefusalReason {
    CustomerQueueFull,  ///< The customer's backlog is at its limit.
    PoolQueueFull,      ///< The backlog of the pool shard is at its limit.
    DeadlineUnmeetable, ///< The predicted wait ends after the caller's deadline.
    DeadlinePassed,     ///< The caller's deadline has passed.
    NoServer,           ///< The pool has no usable backend server.
    TargetUnmeetable,   ///< The predicted wait exceeds the class's start target by far.
};

/// The state of one pool shard that admission depends on.
struct PoolState
{
    std::size_t waiting = 0;
    /// Items that wait for the customer that asks for admission.
    std::size_t waitingOfCustomer = 0;
    /// Customers with waiting work, including the one that asks for admission.
    std::size_t backloggedCustomers = 0;
    std::size_t usableServers = 0;
    std::size_t freePermits = 0;
    /// Permits returned per second while all are in use (see DrainEstimator); 0 while unknown.
    double drainRate = 0;
};

/// A refusal of work and when to retry.
struct AdmissionRefusal
{
    RefusalReason reason = RefusalReason::NoServer;
    /// Time after which the caller should retry. It is jittered so that callers that were
    /// refused together do not retry together.
    Base::Milliseconds retryAfter{0};
};

/// Thresholds of admission. docs/design/admission.md derives them.
struct AdmissionLimits
{
    /// Largest number of items that wait in one pool shard. The default takes about 6 MB and
    /// is 25 s of work at 800 permits a second.
    std::size_t maxWaitingPerPool = 20000;
    /// Largest number of items that wait for one customer. The default is a tenth of
    /// maxWaitingPerPool, so that a single customer leaves nine tenths of the queue free.
    std::size_t maxWaitingPerCustomer = 2000;
    /// Work is refused when its predicted wait exceeds the class's start target by this
    /// factor. The prediction is off by a factor of two when the number of other customers
    /// doubles, and by another two when costs double, so a factor below 4 would refuse work
    /// that might have started in time.
    double targetFactor = 4;
    /// A shorter predicted wait never counts as far beyond the start target, however short the
    /// target is: a shorter queue could run empty before refused callers retry.
    Base::Milliseconds minRefusedWait{1000};
    /// Bounds of the retry time before jitter. The lower bound is several round trips of a
    /// caller; the upper bound is about as long as callers keep trying.
    Base::Milliseconds minRetryAfter{250};
    Base::Milliseconds maxRetryAfter{30000};
    /// Retry time while the drain rate is unknown or no server is usable.
    Base::Milliseconds defaultRetryAfter{2000};
};

/// Decides whether new work may join the queue of a pool shard or is refused.
///
/// The policy sheds load when one customer floods the pool or when all customers together
/// request more than the pool can serve. Without it the queue would grow until every start
/// target is missed and the servers run work whose callers have given up.
///
/// New work of a customer waits behind the customer's own backlog, at the customer's fair share
/// of the drain rate, and not behind the backlog of others. The predicted wait, and with it the
/// refusal, therefore falls on the customer that has the backlog. A refusal is final.
///
/// After a cold start the drain rate is unknown. Then only the limits on the queue length apply,
/// because a prediction without data would refuse the work that every entry host (the host that
/// took the caller's request) requests again.
class AdmissionPolicy
{
public:
    /// Fails with InvalidPolicy if a threshold is out of range.
    static Base::Result<AdmissionPolicy> create(const AdmissionLimits &limits);

    /// Returns why \a work is refused and when to retry; empty if it is admitted. The caller
    /// sends a refusal at once.
    std::optional<AdmissionRefusal> refusalFor(const WaitingWork &work, const PoolState &pool,
                                               Base::TimePoint now,
                                               Base::RandomSource &random) const;
    /// The refusal for \a reason with its retry time.
    AdmissionRefusal refuse(RefusalReason reason, const PoolState &pool,
                            Base::RandomSource &random) const;
    /// How long new work of the customer is expected to wait; empty if that is unknown.
    std::optional<Base::Duration> predictedWait(const PoolState &pool) const;
    /// How many items of one customer may wait now.
    std::size_t maxWaitingOfCustomer(const PoolState &pool) const;

private:
    explicit AdmissionPolicy(const AdmissionLimits &limits);

    bool exceedsTargetByFar(const WaitingWork &work, const PoolState &pool,
                            Base::Duration wait) const;
    Base::Milliseconds typicalRetryAfter(RefusalReason reason, const PoolState &pool) const;

    AdmissionLimits m_limits;
};

} // namespace Scheduling
