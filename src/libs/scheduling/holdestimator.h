#pragma once

#include "base/ids.h"

#include <map>

namespace Scheduling {

/// Learns the hold of a piece of work: the service that is charged to the customer provisionally
/// when the work is given a permit, before its cost is known.
///
/// Long work stands among short work, and the callers' cost hints are rough. With a hold that is
/// too small, one customer takes many permits before their cost shows, and the service gap between
/// customers grows by the whole difference. With a hold that is too large, a customer is put back
/// by the excess of all its permits in use, for as long as it has them; customers with other kinds
/// of work are put back less, so the gap grows as well. The hold is therefore the hint multiplied
/// by the mean ratio of cost to hint, without a safety margin: a margin of four mean deviations
/// doubled the gap in a fleet (docs/design/queue-order.md).
///
/// The ratio is learned per class of work, so the memory is bounded by the number of configured
/// classes.
class HoldEstimator
{
public:
    /// Records that completed work of \a workClass with the hint \a expected cost \a cost.
    void recordCost(const Base::ClassId &workClass, Base::ServiceUnits expected,
                    Base::ServiceUnits cost);
    /// Returns the hold for work with the hint \a expected: the hint itself until a cost of its
    /// class has been recorded.
    Base::ServiceUnits hold(const Base::ClassId &workClass, Base::ServiceUnits expected) const;

private:
    /// Exponential moving average of cost divided by hint, by class.
    std::map<Base::ClassId, double> m_ratios;
};

} // namespace Scheduling
