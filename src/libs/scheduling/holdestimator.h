#pragma once

#include "base/ids.h"

#include <map>

namespace Scheduling {

/// Learns how much service to hold for work that is given a permit, before its cost is known.
///
/// Load pattern: long work among short, with hints that are rough. A hold too small lets one
/// customer take many permits before their cost shows, and the gap grows by all of it; one too
/// large takes a customer out of the choice for long, and start targets are missed. Measured,
/// the best holds lie well above the mean cost (docs/design/queue-order.md). So the hold is the
/// mean and four mean deviations of the cost, as a part of the hint: the formula for
/// retransmission timeouts (RFC 6298), which answers the same question of a value that is
/// spread. Where hints are exact, the hold is the hint.
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
    /// Of cost over hint.
    struct Ratio
    {
        double mean = 0;
        double deviation = 0;
    };

    std::map<Base::ClassId, Ratio> m_ratios;
};

} // namespace Scheduling
