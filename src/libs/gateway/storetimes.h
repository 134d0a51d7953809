#pragma once

#include "base/time.h"

namespace Gateway {

/// Within this time a change of the configuration is in force, and a server that says that it
/// leaves gets nothing new: the tightest of the users' bounds for hosts in touch with the store.
inline constexpr Base::Milliseconds changeBound{2000};

/// How long the store holds a watch. A configuration is proved current once in this time.
inline constexpr Base::Milliseconds watchWait{500};
/// Between two readings of the servers' entries.
inline constexpr Base::Milliseconds serverInterval{600};
/// Between two reports to the other hosts.
inline constexpr Base::Milliseconds reportInterval{200};
/// A host whose proof is this old reads the store itself: the host that reads for its zone is down,
/// or cut off from the store without having noticed.
inline constexpr Base::Milliseconds readAfter{1400};
/// A reading in which the store is slowed down sixty times, and two ticks of this process.
inline constexpr Base::Milliseconds slowReading{350};

// While all is well, proofs that come through another host are younger than that: the longer of the
// two intervals, and a report there and back.
static_assert(serverInterval + 2 * reportInterval < readAfter);
static_assert(watchWait + 2 * reportInterval < readAfter);
// And a host that has to read itself still keeps the bound.
static_assert(readAfter + slowReading < changeBound);

} // namespace Gateway
