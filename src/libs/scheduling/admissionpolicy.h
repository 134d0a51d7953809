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
};

/// The state of one pool that admission looks at.
struct PoolState
{
    std::size_t waiting = 0;
    std::size_t waitingOfCustomer = 0;
    /// Customers with waiting work, the asking one included.
    std::size_t backloggedCustomers = 0;
    std::size_t usableServers = 0;
    std::size_t freePermits = 0;
    /// Permits given back a second, smoothed; 0 when not known yet.
    double drainRate = 0;
};

struct AdmissionRefusal
{
    RefusalReason reason = RefusalReason::NoServer;
    /// When coming back makes sense, jittered so that callers do not come back together.
    Base::Milliseconds retryAfter{0};
};

struct AdmissionLimits
{
    std::size_t waitingPerPool = 20000;
    std::size_t waitingPerCustomer = 2000;
    Base::Milliseconds smallestRetryAfter{250};
    Base::Milliseconds largestRetryAfter{30000};
};

/// Decides whether work may wait. Thin version: queue bounds only.
class AdmissionPolicy
{
public:
    static Base::Result<AdmissionPolicy> create(const AdmissionLimits &limits);

    /// Empty when the work is let in; else the final answer, to be sent at once.
    std::optional<AdmissionRefusal> refusalFor(const WaitingWork &work, const PoolState &pool,
                                               Base::TimePoint now,
                                               Base::RandomSource &random) const;
    /// Return time for work that is given up on for \a reason.
    AdmissionRefusal refuse(RefusalReason reason, const PoolState &pool,
                            Base::RandomSource &random) const;

private:
    explicit AdmissionPolicy(const AdmissionLimits &limits);

    AdmissionLimits m_limits;
};

} // namespace Scheduling
