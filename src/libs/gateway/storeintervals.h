#pragma once

#include "base/time.h"

namespace Gateway {

/// Between two reports to the other hosts.
inline constexpr Base::Milliseconds reportInterval{200};
/// A reading in which the store is slowed down sixty times, and two ticks of this process.
inline constexpr Base::Milliseconds slowReading{350};
/// Part of the time for which a key that was taken away may still be used. The rest covers the
/// way from the caller, a slow turn of this process, and a store that answers from a state of a
/// moment ago.
inline constexpr double leaseShare = 0.7;

/// Bounds that the operator's platform states.
struct ChangeBounds
{
    /// Within this time a change of the configuration is in force.
    Base::Milliseconds configuration{2000};
    /// Within this time a server that says that it leaves gets nothing new.
    Base::Milliseconds leaving{2000};
    /// A key that was taken away is not used later than this.
    Base::Milliseconds keyRevocation{5000};
};

/// How often the store is asked.
///
/// Each call is paid for, and the readers of a fleet call all the time: 3.7 times a second for each
/// availability zone under bounds of two seconds, half of that under bounds of four. So the times
/// are as long as the bounds allow.
struct StoreIntervals
{
    /// How long the store holds a watch. A configuration is proved current once in this time.
    Base::Milliseconds watchWait{500};
    /// Between two readings of the servers' entries.
    Base::Milliseconds serverInterval{600};
    /// A host whose proof is this old reads the store itself: the host that reads for its zone is
    /// down, or cut off from the store without having noticed. While all is well, proofs that come
    /// through another host are younger: the longer of the two intervals, and a report there and
    /// back.
    Base::Milliseconds readAfter{1400};

    /// With these times a host that has to read itself still keeps all of \a bounds, if each is a
    /// second and a half at least.
    static StoreIntervals within(const ChangeBounds &bounds);
};

} // namespace Gateway
