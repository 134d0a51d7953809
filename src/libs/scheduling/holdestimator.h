#pragma once

#include "base/ids.h"

#include <map>

namespace Scheduling {

/// Learns how much service to hold for work that is given a permit, before its cost is known.
///
/// Load pattern: long work among short, with hints that are rough. A hold too small lets one
/// customer take many permits before their cost shows, and the gap grows by all of it. One too
/// large puts a customer behind by the excess of all its permits in use, for as long as it has
/// them; customers with other kinds of work are not put behind as much, so the gap grows again.
/// So the hold is the mean cost, as a part of the hint, without a margin: measured over a fleet,
/// a margin of four mean deviations doubled the gap (docs/design/queue-order.md).
///
/// Learned for each class of work; its memory is the classes of the configuration.
class HoldEstimator
{
public:
    /// Work of \a workClass with the hint \a expected was whole and cost \a cost.
    void recordCost(const Base::ClassId &workClass, Base::ServiceUnits expected,
                    Base::ServiceUnits cost);
    /// What to hold for work with the hint \a expected; the hint while nothing is known.
    Base::ServiceUnits hold(const Base::ClassId &workClass, Base::ServiceUnits expected) const;

private:
    /// Mean of cost over hint.
    std::map<Base::ClassId, double> m_ratios;
};

} // namespace Scheduling
