#include "routing/overloadgate.h"

#include <algorithm>

namespace Routing {

namespace {

/// The share of the servers' throughput that is used while more arrives. Arrivals are uneven, and
/// above it the queues at single servers grow longer than a request may wait.
constexpr double usedShare = 0.92;
/// The number of queued requests for each slot that is left as it is. What is queued beyond it is
/// drained in the given time: without that, a queue that filled in a burst would delay all requests
/// for as long as the overload lasts.
constexpr double keptQueuePerSlot = 1;
constexpr Base::Duration drainTime = std::chrono::seconds(1);
/// The number of recent requests for each slot that are admitted in any case.
constexpr double minAdmittedPerSlot = 1;
/// Fewer answers say too little of what the servers can do.
constexpr double minAnswers = 20;
/// The accrued part is bounded, so that a pause does not let several requests in at once.
constexpr double maxAccrued = 2;

} // namespace

ServiceUse OverloadGate::use(Base::TimePoint now) const
{
    return {m_arrivals.value({}, now), m_answers.value({}, now)};
}

void OverloadGate::recordWork(const PlainWork &work, Base::TimePoint now)
{
    const bool isFirst = m_recordedAt == Base::TimePoint{};
    const double kept = isFirst ? 0 : DecayingSum::keptShare(now - m_recordedAt);
    const double busySlots = m_work.busySlots * kept + work.busySlots * (1 - kept);
    m_work = work;
    m_work.busySlots = busySlots;
    m_recordedAt = now;
}

bool OverloadGate::admit(Base::TimePoint now)
{
    const ServiceUse own = use(now);
    const double answers = own.answers + m_peerUse.answers;
    if (answers < minAnswers || m_work.busySlots <= 0)
        return true;
    const double excess = std::max(0.0, m_work.queued - m_work.slots * keptQueuePerSlot);
    const double drained = excess * DecayingSum::timeConstantSeconds()
                           / std::chrono::duration<double>(drainTime).count();
    const double possible = answers * m_work.slots / m_work.busySlots * usedShare;
    const double limit = std::max(possible - drained, m_work.slots * minAdmittedPerSlot);
    const double arrivals = own.arrivals + m_peerUse.arrivals;
    if (arrivals <= limit)
        return true;
    m_accrued = std::min(m_accrued + limit / arrivals, maxAccrued);
    if (m_accrued < 1)
        return false;
    m_accrued -= 1;
    return true;
}

} // namespace Routing
