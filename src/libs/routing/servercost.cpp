#include "routing/servercost.h"

#include <algorithm>
#include <limits>

namespace Routing {

namespace {

/// The read rate that is assumed until the configuration gives the throughput of all servers. It is
/// below that of the slowest known engine, which reads about fifty tokens in a millisecond.
constexpr double defaultReadTokensPerMs = 40;
/// The time that each running request adds to the first event of another one. The engine does a
/// step for each chunk of the prompt, and the step's length grows with the number of running
/// requests.
constexpr double millisecondsPerRunning = 1;
/// The approximate time that a plain application takes for a request, and thus the cost of one
/// place in its queue.
constexpr double plainWorkMilliseconds = 30;
/// The maximum of queued prompt reading at a server. One long prompt takes up to 0.3 s, and a lower
/// limit would leave the server idle between the load reports of other hosts.
constexpr double maxQueuedReadMilliseconds = 350;
/// The share of an engine's slots that is used. Beyond it, each additional request slows down all
/// others.
constexpr double usedSlotShare = 0.95;
/// A plain application gets at most this many times its slots. OverloadGate keeps it far below
/// that as soon as the throughput is known; a lower limit would make all hosts stop and go at the
/// same moments, since the counts of what runs are half a second old.
constexpr double plainSlotFactor = 8;
/// The limits of spare capacity for queued reading and for running requests. Below them, a server
/// delays nobody's requests.
constexpr double spareQueuedReadMilliseconds = 90;
constexpr double spareSlotShare = 0.6;
/// The cost of reading tokens that other servers have cached, as a multiple of the reading time.
/// Reading them again also evicts cached tokens that others need, and delays the requests that run
/// at the server.
constexpr double rereadFactor = 2;

/// The time from ordering a fetch to its first byte: a round trip between the servers, and a step
/// of each engine in which it accepts the order.
constexpr double fetchSetupMilliseconds = 12;
/// The platform transfers KV cache half as fast between zones.
constexpr double otherZoneFactor = 2;

} // namespace

void ServerCost::setTraits(const ServiceTraits &traits)
{
    m_traits = traits;
    if (m_traits.readTokensPerMs <= 0)
        m_traits.readTokensPerMs = defaultReadTokensPerMs;
}

double ServerCost::startMilliseconds(const ServerSnapshot &snapshot,
                                     std::uint32_t unreadTokens) const
{
    const ServerLoad &load = snapshot.load;
    const double slots = std::max(snapshot.slots, 1U);
    if (!m_traits.isEngine) {
        const double places = (load.running + 1) / slots;
        return std::max(1.0, places) * plainWorkMilliseconds * snapshot.slowness + load.running;
    }
    const double reading = readMilliseconds(static_cast<double>(load.unreadTokens) + unreadTokens);
    const double sharing = load.running * millisecondsPerRunning;
    const double excess = std::max(0.0, load.running + 1 - slots * usedSlotShare);
    return (reading + sharing + excess * plainWorkMilliseconds) * snapshot.slowness;
}

bool ServerCost::hasRoom(const ServerSnapshot &snapshot, Admission admission) const
{
    if (isRefused(admission))
        return false;
    const bool isWithinShare = admission == Admission::WithinShare;
    const ServerLoad &load = snapshot.load;
    const double slots = std::max(snapshot.slots, 1U);
    if (!m_traits.isEngine)
        return load.running < slots * plainSlotFactor;
    if (load.running >= slots * (isWithinShare ? usedSlotShare : spareSlotShare))
        return false;
    return readMilliseconds(load.unreadTokens) * snapshot.slowness
           < (isWithinShare ? maxQueuedReadMilliseconds : spareQueuedReadMilliseconds);
}

double ServerCost::rereadMilliseconds(std::uint32_t rereadTokens) const
{
    return m_traits.isEngine ? readMilliseconds(rereadTokens) * rereadFactor : 0;
}

double ServerCost::fetchMilliseconds(std::uint32_t tokens, bool isOtherZone) const
{
    if (!m_traits.transferMsPerToken)
        return std::numeric_limits<double>::infinity();
    const double transferring = *m_traits.transferMsPerToken * tokens;
    return fetchSetupMilliseconds + transferring * (isOtherZone ? otherZoneFactor : 1);
}

} // namespace Routing
