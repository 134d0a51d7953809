#pragma once

#include "base/time.h"
#include "routing/work.h"

namespace Routing {

/// Rates one server by its recent answers: whether it may be used, and how much worse it is than
/// others.
///
/// A server may crash, hang, or fail a part of its requests while its health check passes. Health
/// checks detect this late or never, but answers show it at once. A server that cannot be reached
/// is not used for a cooldown that doubles each time. A server that fails often is still used, but
/// at a higher cost, so that it gets the few requests that show when it has recovered.
class ServerHealth
{
public:
    void record(AttemptOutcome outcome, Base::TimePoint now);
    /// Records that the first event came \a took after sending, where \a expected was estimated.
    void recordStart(Base::Duration took, Base::Duration expected, Base::TimePoint now);

    /// Returns false during a cooldown.
    bool isUsable(Base::TimePoint now) const { return now >= m_usableAt; }
    Base::TimePoint usableAt() const { return m_usableAt; }
    /// Returns the share of recent attempts that failed, from 0 to 1. It decays while there are no
    /// new outcomes.
    double failureShare(Base::TimePoint now) const;
    /// Returns the recent ratio of the actual to the expected time to the first event. It is at
    /// least 0.5.
    double slowness(Base::TimePoint now) const;

private:
    void startCooldown(Base::Duration cooldown, Base::TimePoint now);
    double decayed(double value, double baseline, Base::TimePoint since, Base::TimePoint now) const;

    double m_failures = 0;
    double m_slowness = 1;
    Base::TimePoint m_failuresAt = Base::TimePoint::min();
    Base::TimePoint m_slownessAt = Base::TimePoint::min();
    Base::TimePoint m_usableAt = Base::TimePoint::min();
    Base::Duration m_cooldown{};
};

} // namespace Routing
