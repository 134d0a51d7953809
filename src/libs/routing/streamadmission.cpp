#include "routing/streamadmission.h"

#include "routing/forwardingmeter.h"
#include "routing/maxminlevel.h"

#include <algorithm>

namespace Routing {

namespace {

/// The weight of the latest stream in means, which thus cover some dozens of streams.
constexpr double newestWeight = 0.03;
/// The share of the processor that a host which is far behind spends on streams. The rest goes to
/// refusals, so that refused callers learn of it while they can still ask another host.
constexpr double streamShare = 0.5;
/// The maximum credit, as the time in which it accrues. Streams that arrive together are admitted
/// together, and delay each other's events by no more than callers accept.
constexpr Base::Duration maxCreditSpan = std::chrono::milliseconds(200);
/// The maximum debt, as the time in which it is paid off. A host that promised more than this
/// before it fell behind still admits streams again within a second.
constexpr Base::Duration maxDebtSpan = std::chrono::milliseconds(600);
/// The assumed number of events for each token that a caller allows, until streams have been
/// forwarded. Callers allow four times what is generated, and an event holds about five tokens.
constexpr double assumedEventsPerToken = 0.05;
/// The number of tokens with which the assumption is weighted: those of about twenty streams.
constexpr double assumedTokens = 10000;
constexpr double milliCoresOfCore = 1000;
/// The share of its level up to which a customer gets any stream admitted.
constexpr double anyStreamShare = 0.5;
/// The interval at which the levels are updated. Updating them with each stream would cost more
/// than a refusal.
constexpr Base::Duration levelInterval = std::chrono::milliseconds(100);

Base::Duration scaled(Base::Duration span, double share)
{
    return std::chrono::duration_cast<Base::Duration>(span * share);
}

double inMicroseconds(Base::Duration span)
{
    return std::chrono::duration<double, std::micro>(span).count();
}

/// Adds \a density to \a mean, and returns whether it is at least as high as the new mean.
bool recordDensity(double density, double &mean)
{
    mean += (density - mean) * newestWeight;
    return density >= mean;
}

Base::Duration microseconds(double count)
{
    return std::chrono::duration_cast<Base::Duration>(
        std::chrono::duration<double, std::micro>(count));
}

} // namespace

void StreamAdmission::recordIdle(Base::TimePoint now)
{
    m_idleAt = now;
    m_cost.recordIdle(now);
}

void StreamAdmission::recordEvents(std::size_t count)
{
    m_events += static_cast<double>(count);
    m_cost.addWork(microseconds(ForwardingMeter::eventMicroseconds * static_cast<double>(count)));
}

void StreamAdmission::recordPlainRequest(Base::TimePoint now)
{
    m_cost.addWork(microseconds(ForwardingMeter::requestMicroseconds));
    m_cost.advance(now);
}

void StreamAdmission::recordRefusal(Base::TimePoint now)
{
    m_cost.addWork(microseconds(ForwardingMeter::refusalMicroseconds));
    m_cost.advance(now);
}

bool StreamAdmission::admitStream(const Work &work, Base::TimePoint now)
{
    const double density = static_cast<double>(work.promptTokens)
                           / static_cast<double>(std::max(work.outputTokens, 1U));
    const bool isDense = recordDensity(density, m_meanDensities[work.customer]);
    refill(now);
    const double cost = inMicroseconds(expectedCost(work));
    m_asked.add(work.customer, cost, now);
    updateLevels(now);
    const double admitted = m_admitted.value(work.customer, now);
    const Base::Duration busy = now - m_idleAt;
    bool isAdmitted = busy < selectiveAfter;
    if (!isAdmitted && busy < rationedAfter) {
        isAdmitted = isDense && admitted < m_selectiveLevel;
    } else if (!isAdmitted) {
        const double limit = m_rationedLevel * (isDense ? 1 : anyStreamShare);
        isAdmitted = m_credit > Base::Duration::zero() && admitted < limit;
    }
    if (isAdmitted) {
        charge(work);
        m_admitted.add(work.customer, cost, now);
        recordPlainRequest(now);
    } else {
        recordRefusal(now);
    }
    return isAdmitted;
}

void StreamAdmission::refundStream(const Work &work, Base::TimePoint now)
{
    const Base::Duration cost = expectedCost(work);
    m_credit += cost;
    m_admitted.add(work.customer, -inMicroseconds(cost), now);
    m_cost.addWork(
        microseconds(ForwardingMeter::refusalMicroseconds - ForwardingMeter::requestMicroseconds));
}

void StreamAdmission::updateLevels(Base::TimePoint now)
{
    if (m_levelsAt != Base::TimePoint::min() && now - m_levelsAt < levelInterval)
        return;
    m_levelsAt = now;
    std::map<Base::CustomerId, double> asked;
    m_asked.addTo(asked, now);
    constexpr double microsecondsOfSecond = 1e6;
    const double capacity =
        m_capacity / milliCoresOfCore * DecayingSum::timeConstantSeconds() * microsecondsOfSecond;
    m_selectiveLevel = maxMinLevel(asked, capacity);
    m_rationedLevel = maxMinLevel(asked, capacity * streamShare);
}

Base::Duration StreamAdmission::expectedCost(const Work &work) const
{
    const double eventsPerToken =
        (m_events + assumedTokens * assumedEventsPerToken) / (m_allowedTokens + assumedTokens);
    const double events = eventsPerToken * work.outputTokens;
    return microseconds(
        (ForwardingMeter::requestMicroseconds + ForwardingMeter::eventMicroseconds * events)
        * m_cost.factor());
}

void StreamAdmission::refill(Base::TimePoint now)
{
    const double share = streamShare * m_capacity / milliCoresOfCore;
    m_credit = std::min(m_credit + scaled(now - m_refilledAt, share), scaled(maxCreditSpan, share));
    m_refilledAt = now;
}

void StreamAdmission::charge(const Work &work)
{
    const double share = streamShare * m_capacity / milliCoresOfCore;
    m_credit = std::max(m_credit - expectedCost(work), -scaled(maxDebtSpan, share));
    m_events *= 1 - newestWeight;
    m_allowedTokens *= 1 - newestWeight;
    m_allowedTokens += work.outputTokens;
}

} // namespace Routing
