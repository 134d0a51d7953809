#pragma once

#include "base/time.h"
#include "routing/rollout.h"
#include "routing/versioncomparison.h"

#include <cstddef>
#include <optional>
#include <string>

namespace Routing {

/// What one host knows of a roll-out that it decides.
struct RolloutInput
{
    /// The sums of all hosts since the order.
    RolloutEvidence evidence;
    /// The usable servers of the new and of the old versions.
    std::size_t newServers = 0;
    std::size_t oldServers = 0;
    /// Whether the order is still in the store.
    bool isOrdered = true;
};

/// A change of the phase, with the reason for the log.
struct RolloutStep
{
    RolloutPhase phase = RolloutPhase::Testing;
    const char *reason = "";
    std::optional<VersionFault> fault;
};

/// Decides when a roll-out moves on, is complete or is rolled back.
///
/// Until half of the time is over, the new version gets a small part of the requests. A version
/// that is bad from the start is found within a few answers, and one that becomes bad later still
/// in this time. Then all requests move to it within a tenth of the time, so that a version that is
/// bad under load only is found while the old servers still stand. Nothing may run at the old
/// servers when the roll-out is complete, because they stop at that moment: it waits for their last
/// requests, but not beyond the deadline.
class RolloutDecision
{
public:
    /// \a orderedAt is the time at which the order was found, \a phaseBeganAt that of the phase of
    /// \a state.
    RolloutDecision(RolloutState state, Base::TimePoint orderedAt, Base::TimePoint phaseBeganAt);

    const RolloutState &state() const { return m_state; }
    /// Takes the next state of the same order, once it is in the store.
    void enter(const RolloutState &state, Base::TimePoint phaseBeganAt)
    {
        m_state = state;
        m_phaseBeganAt = phaseBeganAt;
    }
    Base::TimePoint deadline() const { return m_orderedAt + m_state.order.duration; }
    /// Takes in what has been seen and returns the step that is due; empty if none is. Must be
    /// called several times a second.
    std::optional<RolloutStep> advance(const RolloutInput &input, Base::TimePoint now);

private:
    /// Returns the time at which \a share of the order's time is over.
    Base::TimePoint at(double share) const;
    std::optional<RolloutStep> advanceTest(const RolloutInput &input, Base::TimePoint now) const;
    std::optional<RolloutStep> advanceMove(const RolloutInput &input, Base::TimePoint now) const;

    RolloutState m_state;
    Base::TimePoint m_orderedAt;
    Base::TimePoint m_phaseBeganAt;
    std::optional<Base::TimePoint> m_comparedAt;
    VersionComparison m_comparison;
};

/// Returns the part of the requests that goes to the new version \a since the move began. It grows
/// slowly at first: what is bad under load only shows while few requests are exposed.
double movedShare(const RolloutOrder &order, Base::Duration since);

} // namespace Routing
