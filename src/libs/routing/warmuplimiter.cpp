#include "routing/warmuplimiter.h"

#include "base/hash.h"

#include <algorithm>
#include <limits>

namespace Routing {

namespace {

/// The length of a slot. Any second overlaps eleven slots, so short slots keep the number of hosts
/// that may send in any second close to the mean.
constexpr Base::Duration slotLength = std::chrono::milliseconds(100);
/// The share of the server's rate that all hosts together use in the mean. The draws are
/// independent, so three times the mean or more may be sent in some seconds, also if some hosts
/// know of only half of the others.
constexpr double usedRateShare = 0.35;
/// The entry of a server that starts again under its name is read up to this much later than its
/// first requests arrive: two of the server's heartbeats and a reading of the entries.
constexpr Base::Duration entryDelay = std::chrono::milliseconds(2500);

std::int64_t slotOf(Base::TimePoint time)
{
    return time.time_since_epoch() / slotLength;
}

} // namespace

Base::Duration WarmUpLimiter::presumedWarmUp() const
{
    return isLimited() ? m_warmUp->duration + entryDelay : Base::Duration::zero();
}

bool WarmUpLimiter::isAllowed(const Base::ServerId &server, Base::TimePoint lastSentAt,
                              Base::TimePoint now) const
{
    if (!isLimited())
        return true;
    const std::int64_t slot = slotOf(now);
    if (slotOf(lastSentAt) == slot)
        return false;
    const std::uint64_t seed = Base::stableHash(m_self.value(), static_cast<std::uint64_t>(slot));
    const double draw = static_cast<double>(Base::stableHash(server.value(), seed))
                        / static_cast<double>(std::numeric_limits<std::uint64_t>::max());
    const double perSecond = m_warmUp->requestsPerSecond * usedRateShare
                             / static_cast<double>(std::max<std::size_t>(m_hosts, 1));
    return draw < perSecond * std::chrono::duration<double>(slotLength).count();
}

} // namespace Routing
