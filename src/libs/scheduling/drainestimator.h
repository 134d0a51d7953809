#pragma once

#include "base/time.h"

#include <cstddef>

namespace Scheduling {

/// Estimates how many permits a pool shard gives back a second when all of them are in use.
///
/// Load pattern: a quiet pool meets a burst. Counting the permits given back would show the
/// demand of the quiet time, some a second, and admission would refuse a burst that the pool can
/// carry. So the rate is taken from Little's law: permits over the mean time that one is held.
/// It is right when the pool is saturated and an upper estimate before, since engines slow down
/// as they fill. A frozen server gives nothing back, which leaves the mean as it was, but its
/// concurrency limit falls and the rate with it.
class DrainEstimator
{
public:
    /// A permit was held for \a held and used.
    void recordUse(Base::Duration held);
    /// Permits given back a second by \a permits permits in use; 0 until a use was recorded.
    double rate(std::size_t permits) const;

private:
    std::size_t m_samples = 0;
    double m_meanSeconds = 0;
};

} // namespace Scheduling
