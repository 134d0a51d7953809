#include "routing/unmetdemand.h"

#include "routing/decayingsum.h"

#include <algorithm>

namespace Routing {

namespace {

using std::chrono::milliseconds;

/// A customer lacks service if at least this many tokens and at least this share of what it asked
/// for were not begun. This is about two large requests, so that a single refusal by chance does
/// not count.
constexpr double minUnmetTokens = 40000;
constexpr double minUnmetShare = 0.15;
/// The time after which sums that do not change are out of date: three reports.
constexpr Base::Duration maxUnchanged = milliseconds(600);
constexpr Base::Duration slotSpan = milliseconds(200);
/// The time for which a customer must lack service before it counts. A customer whose demand jumps
/// lacks service until its first events have come and the hosts have exchanged reports. Nothing is
/// wrong then, so the others are not held to its earlier amount.
constexpr Base::Duration unmetDelay = milliseconds(700);

} // namespace

void UnmetDemand::beginUpdate(Base::TimePoint now)
{
    m_keptShare = m_updatedAt ? DecayingSum::keptShare(now - *m_updatedAt) : 0;
    m_updatedAt = now;
    m_isNewSlot = now - m_slotSince >= slotSpan;
    if (!m_isNewSlot)
        return;
    m_slotSince = now;
    m_slot = (m_slot + 1) % slotCount;
}

void UnmetDemand::record(Entry &entry, double asked, double begun, Base::TimePoint now) const
{
    // What exceeds the rest of the earlier sum is new.
    Slot &slot = entry.slots[m_slot];
    if (m_isNewSlot)
        slot = {};
    slot.asked += asked - entry.asked * m_keptShare;
    slot.begun += begun - entry.begun * m_keptShare;
    if (asked != entry.asked || begun != entry.begun)
        entry.changedAt = now;
    entry.asked = asked;
    entry.begun = begun;
    Slot recent;
    for (const Slot &it : entry.slots) {
        recent.asked += it.asked;
        recent.begun += it.begun;
    }
    const auto lacks = [](const Slot &sums) {
        return sums.asked - sums.begun > std::max(minUnmetTokens, sums.asked * minUnmetShare);
    };
    const bool isOutOfDate = now - entry.changedAt >= maxUnchanged;
    if (isOutOfDate || !lacks({asked, begun}) || !lacks(recent))
        entry.lackingSince.reset();
    else if (!entry.lackingSince)
        entry.lackingSince = now;
}

bool UnmetDemand::isUnmet(const Entry &entry, Base::TimePoint now)
{
    return entry.lackingSince && now - *entry.lackingSince >= unmetDelay;
}

} // namespace Routing
