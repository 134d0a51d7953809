#pragma once

#include "base/time.h"

namespace Gateway {

/// Time between two reports to the other hosts.
inline constexpr Base::Milliseconds reportInterval{200};
/// Latency of a reading while the store is slowed down sixty times, plus two ticks of this process.
inline constexpr Base::Milliseconds slowReadLatency{350};
/// Share of the key revocation bound for which a proof that the configuration is current lasts. The
/// rest covers a request's way from the caller, a slow turn of this process, and a store that
/// answers from a slightly older state.
inline constexpr double leaseShare = 0.7;

/// Bounds that the operator's platform sets on the propagation of changes.
struct ChangeBounds
{
    /// A change of the configuration is in force within this time.
    Base::Milliseconds configuration{2000};
    /// A server that announces that it is leaving gets no new requests after this time.
    Base::Milliseconds leaving{2000};
    /// A revoked key is not used any more after this time.
    Base::Milliseconds keyRevocation{5000};
};

/// The intervals at which hosts call the store.
///
/// Each call of the store has a price, and the hosts that read it call all the time: 3.7 times a
/// second for each availability zone under bounds of two seconds, and half as often under bounds of
/// four. The intervals are therefore as long as the bounds allow.
struct StoreIntervals
{
    /// Time for which the store holds a watch call. The configuration is proved current once in
    /// this time.
    Base::Milliseconds watchWait{500};
    /// Time between two readings of the servers' entries.
    Base::Milliseconds serverInterval{600};
    /// A host whose proof is this old reads the store itself. The host that reads for its zone is
    /// then down, or has been cut off from the store without noticing. Otherwise a proof that comes
    /// through another host is younger: its age is at most the longer of the two intervals, plus a
    /// report there and back.
    Base::Milliseconds fallbackReadAge{1400};

    /// Returns intervals with which a host that has to read the store itself still keeps all of \a
    /// bounds, provided that each bound is at least 1.5 seconds.
    static StoreIntervals within(const ChangeBounds &bounds);
};

} // namespace Gateway
