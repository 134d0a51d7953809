#pragma once

#include "base/time.h"
#include "routing/work.h"

namespace Routing {

/// What recent answers say of one server: whether to use it, and how much worse it is than others.
///
/// Load: a server crashes, hangs, or fails part of its requests while its health check is good.
/// Checks tell late or nothing; answers tell at once. A server that cannot be reached is left
/// alone for a pause that doubles; one that fails often is not shut out but made dear, so that
/// it gets the little work that shows when it is well again.
class ServerHealth
{
public:
    void record(AttemptOutcome outcome, Base::TimePoint now);
    /// The first event came after \a took where \a expected was reckoned.
    void recordStart(Base::Duration took, Base::Duration expected, Base::TimePoint now);

    /// False while the server is left alone.
    bool isUsable(Base::TimePoint now) const { return now >= m_usableAt; }
    Base::TimePoint usableAt() const { return m_usableAt; }
    /// Share of recent attempts that failed, 0 to 1; fades while nothing is heard.
    double failureShare(Base::TimePoint now) const;
    /// How many times longer than reckoned the server takes, at least 0.5.
    double slowness(Base::TimePoint now) const;

private:
    void leaveAlone(Base::Duration pause, Base::TimePoint now);
    double faded(double value, double rest, Base::TimePoint since, Base::TimePoint now) const;

    double m_failures = 0;
    double m_slowness = 1;
    Base::TimePoint m_failedAt = Base::TimePoint::min();
    Base::TimePoint m_timedAt = Base::TimePoint::min();
    Base::TimePoint m_usableAt = Base::TimePoint::min();
    Base::Duration m_pause{};
};

} // namespace Routing
