#include "routing/servercost.h"

#include <algorithm>
#include <limits>

namespace Routing {

namespace {

/// Assumed until the configuration tells the throughput of all servers: that of the slowest
/// engine seen, about fifty tokens in a millisecond.
constexpr double defaultReadTokensPerMs = 40;
/// Time that each running request adds to the first event of another: a step of the engine for
/// each chunk of the prompt, which grows with what runs.
constexpr double millisecondsPerRunning = 1;
/// Work of a plain application takes about this long, so a place in its queue costs this much.
constexpr double plainWorkMilliseconds = 30;
/// Prompt tokens, as time, that a server may have before it. One long prompt takes up to 0.3 s;
/// less would leave the server idle between the load reports of other hosts.
constexpr double fullMilliseconds = 350;
/// Part of an engine's slots that is used. Beyond it each more request slows all others.
constexpr double slotsUsed = 0.95;
/// A plain application is given this many times its slots: a queue of its own of about two
/// places each, so that it is not idle while an answer is on its way.
constexpr double plainSlotsUsed = 2.5;
/// Room that is spare: reading ahead and running requests of a server that delays nobody's work.
constexpr double spareMilliseconds = 90;
constexpr double spareSlots = 0.6;
/// Tokens of a shared beginning that a server has to read although others keep it cost this many
/// times their time: they also push out what others need, and delay what runs there.
constexpr double rereadFactor = 2;

/// A fetch before its first byte: a round trip between the servers, and a step of each engine in
/// which it takes the order.
constexpr double fetchSetupMilliseconds = 12;
/// Between zones the platform moves running memory half as fast.
constexpr double otherZoneFactor = 2;

} // namespace

void ServerCost::setTraits(const ServiceTraits &traits)
{
    m_traits = traits;
    if (m_traits.readTokensPerMs <= 0)
        m_traits.readTokensPerMs = defaultReadTokensPerMs;
}

double ServerCost::startMilliseconds(const ServerStanding &standing,
                                     std::uint32_t unreadTokens) const
{
    const ServerLoad &load = standing.load;
    const double slots = std::max(standing.slots, 1U);
    if (!m_traits.isEngine) {
        const double places = (load.running + 1) / slots;
        return std::max(1.0, places) * plainWorkMilliseconds * standing.slowness + load.running;
    }
    const double reading = readMilliseconds(static_cast<double>(load.unreadTokens) + unreadTokens);
    const double sharing = load.running * millisecondsPerRunning;
    const double full = std::max(0.0, load.running + 1 - slots * slotsUsed);
    return (reading + sharing + full * plainWorkMilliseconds) * standing.slowness;
}

bool ServerCost::hasRoom(const ServerStanding &standing, Admission admission) const
{
    if (admission == Admission::Refused)
        return false;
    const bool isWithinShare = admission == Admission::WithinShare;
    const ServerLoad &load = standing.load;
    const double slots = std::max(standing.slots, 1U);
    if (!m_traits.isEngine)
        return load.running < slots * plainSlotsUsed;
    if (load.running >= slots * (isWithinShare ? slotsUsed : spareSlots))
        return false;
    return readMilliseconds(load.unreadTokens) * standing.slowness
           < (isWithinShare ? fullMilliseconds : spareMilliseconds);
}

double ServerCost::rereadMilliseconds(std::uint32_t rereadTokens) const
{
    return m_traits.isEngine ? readMilliseconds(rereadTokens) * rereadFactor : 0;
}

double ServerCost::fetchMilliseconds(std::uint32_t tokens, bool isOtherZone) const
{
    if (!m_traits.transferMsPerToken)
        return std::numeric_limits<double>::infinity();
    const double moving = *m_traits.transferMsPerToken * tokens;
    return fetchSetupMilliseconds + moving * (isOtherZone ? otherZoneFactor : 1);
}

} // namespace Routing
