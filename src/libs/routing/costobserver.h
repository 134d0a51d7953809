#pragma once

#include "base/time.h"
#include "routing/entryselection.h"

namespace Routing {

/// Observes the ratio of the actual to the estimated cost of a host's work.
///
/// The machine may be slower than those for which the estimates hold, or share its processor
/// with other load. The amount of work does not show this, but a host that is never idle spends its
/// whole capacity on that work. Therefore the ratio is taken over spans without an idle moment: it
/// is the capacity multiplied by the elapsed time, divided by the estimated cost of the work done
/// in the span.
class CostObserver
{
public:
    explicit CostObserver(MilliCores capacity)
        : m_capacity(capacity)
    {}

    /// Records that no work was left at \a now.
    void recordIdle(Base::TimePoint now);
    /// Records that work with the estimated cost \a cost was done.
    void addWork(Base::Duration cost) { m_expected += cost; }
    /// Updates the elapsed time. It should be called with each request.
    void advance(Base::TimePoint now);
    /// Returns the ratio of the observed to the estimated cost, which is at least 1. It is 1 before
    /// anything was observed.
    double factor() const;

private:
    void beginSpan(Base::TimePoint now);

    MilliCores m_capacity;
    /// The state of the current span without an idle moment.
    Base::TimePoint m_advancedAt{};
    Base::Duration m_elapsed{};
    Base::Duration m_expected{};
    /// The sums over the previous spans, which decay with each span.
    Base::Duration m_spentBefore{};
    Base::Duration m_expectedBefore{};
};

} // namespace Routing
