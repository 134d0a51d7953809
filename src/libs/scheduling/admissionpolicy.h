#pragma once

#include "base/random.h"
#include "base/result.h"
#include "scheduling/waitingwork.h"

#include <cstddef>
#include <optional>

namespace Scheduling {

enum class RefusalReason {
    CustomerQueueFull,  ///< The customer's own backlog is at its bound.
    PoolQueueFull,      ///< The pool's backlog is at its bound.
    DeadlineUnmeetable, ///< The predicted wait passes the caller's deadline.
    DeadlinePassed,     ///< The caller's deadline passed while the work waited.
    NoServer,           ///< No backend server serves the pool.
    TargetUnmeetable,   ///< The predicted wait passes the class's start target by far.
};

/// The state of one pool shard that admission looks at.
struct PoolState
{
    std::size_t waiting = 0;
    std::size_t waitingOfCustomer = 0;
    /// Customers with waiting work, the asking one included.
    std::size_t backloggedCustomers = 0;
    std::size_t usableServers = 0;
    std::size_t freePermits = 0;
    /// Permits given back a second when all are in use (DrainEstimator); 0 when not known yet.
    double drainRate = 0;
};

struct AdmissionRefusal
{
    RefusalReason reason = RefusalReason::NoServer;
    /// When coming back makes sense, jittered so that callers do not come back together.
    Base::Milliseconds retryAfter{0};
};

/// Thresholds of admission; docs/design/admission.md has the measurements.
struct AdmissionLimits
{
    /// Items that one shard holds: about 6 MB, and 25 s of work at 800 permits a second.
    std::size_t waitingPerPool = 20000;
    /// A tenth of the pool's bound, so that one customer alone leaves it nine tenths free.
    std::size_t waitingPerCustomer = 2000;
    /// Refused when the predicted wait passes the class's start target this many times. The
    /// prediction is off by two when neighbours double and by two again when costs do, so
    /// below four work would be turned away that might have started in time.
    double targetFactor = 4;
    /// No wait below this is "far past the target", however short the target is: a shorter
    /// queue could run dry before refused callers are back.
    Base::Milliseconds smallestRefusedWait{1000};
    /// Bounds of the return time, before jitter. The lower one is several round trips of a
    /// caller; the upper one is about as long as callers keep trying.
    Base::Milliseconds smallestRetryAfter{250};
    Base::Milliseconds largestRetryAfter{30000};
    /// Return time when the drain rate is not known.
    Base::Milliseconds retryAfterWithoutRate{2000};
};

/// Decides whether work may wait.
///
/// Load pattern: one customer floods, or all together ask for more than the pool gives. Without
/// this the queue grows until every start target is missed and every caller has given up on
/// work that is then run for nobody.
///
/// A customer's new work waits behind its own backlog at its fair share of the drain rate, not
/// behind a flooding neighbour's. So the predicted wait, and with it the refusal, falls on the
/// customer that has the backlog. The answer is final and comes in the step that decided it.
/// After a cold start the drain rate is unknown: then only the bounds on the queue count, since
/// a prediction from nothing would refuse the work that every entry host asks for again.
class AdmissionPolicy
{
public:
    /// Fails with InvalidPolicy.
    static Base::Result<AdmissionPolicy> create(const AdmissionLimits &limits);

    /// Empty when the work is let in; else the final answer, to be sent at once.
    std::optional<AdmissionRefusal> refusalFor(const WaitingWork &work, const PoolState &pool,
                                               Base::TimePoint now,
                                               Base::RandomSource &random) const;
    /// Return time for work that is given up on for \a reason.
    AdmissionRefusal refuse(RefusalReason reason, const PoolState &pool,
                            Base::RandomSource &random) const;
    /// How long new work of the customer will wait; empty when that is not known.
    std::optional<Base::Duration> predictedWait(const PoolState &pool) const;
    /// How many items of the customer may wait now.
    std::size_t customerBound(const PoolState &pool) const;

private:
    explicit AdmissionPolicy(const AdmissionLimits &limits);

    bool missesTargetByFar(const WaitingWork &work, const PoolState &pool,
                           Base::Duration wait) const;
    Base::Milliseconds typicalReturn(RefusalReason reason, const PoolState &pool) const;

    AdmissionLimits m_limits;
};

} // namespace Scheduling
