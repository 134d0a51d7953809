#pragma once

#include "base/time.h"
#include "routing/entryselection.h"

namespace Routing {

/// Observes how many times longer than reckoned a host's work takes.
///
/// Load: a machine that is slower than those on which the costs were measured, or one that others
/// press too. What its work takes can't be read from the counts, but while the host is never idle
/// its whole capacity goes into what is counted. So spans without an idle moment tell: capacity
/// times elapsed, over the work that was reckoned for what was done in them.
class CostObserver
{
public:
    explicit CostObserver(MilliCores capacity)
        : m_capacity(capacity)
    {}

    /// Nothing was left to do at \a now.
    void recordIdle(Base::TimePoint now);
    /// Work was done that is reckoned to take \a cost.
    void addWork(Base::Duration cost) { m_reckoned += cost; }
    /// Looks at the time; call it with each request.
    void advance(Base::TimePoint now);
    /// Observed cost over reckoned cost, at least 1. Before anything was observed it is 1.
    double factor() const;

private:
    void beginSpan(Base::TimePoint now);

    MilliCores m_capacity;
    /// Of the span without an idle moment that lasts.
    Base::TimePoint m_advancedAt{};
    Base::Duration m_elapsed{};
    Base::Duration m_reckoned{};
    /// Sums over the spans before, fading with each one.
    Base::Duration m_spentBefore{};
    Base::Duration m_reckonedBefore{};
};

} // namespace Routing
