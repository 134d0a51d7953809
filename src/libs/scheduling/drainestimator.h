#pragma once

#include "base/time.h"

#include <cstddef>

namespace Scheduling {

/// Estimates how many permits per second are returned to a pool shard while all are in use.
///
/// The rate follows from Little's law: number of permits divided by the mean time that a permit is
/// held. Counting the returned permits instead would show the low demand of a quiet time, a few per
/// second, and admission would refuse a following burst that the pool can serve.
///
/// The estimate is correct for a saturated pool and an upper bound otherwise, because engines slow
/// down as they fill. A frozen server returns no permits and does not change the mean, but its
/// concurrency limit falls, and with it the rate.
class DrainEstimator
{
public:
    /// Records that a permit was used and held for \a held.
    void recordUse(Base::Duration held);
    /// Permits returned per second while \a permits permits are in use; 0 until a use has been
    /// recorded.
    double rate(std::size_t permits) const;

private:
    std::size_t m_samples = 0;
    double m_meanSeconds = 0;
};

} // namespace Scheduling
