#include "routing/streamadmission.h"

#include "routing/forwardingmeter.h"
#include "routing/maxminlevel.h"

#include <algorithm>

namespace Routing {

namespace {

/// Weight of the newest stream in means: some dozens count.
constexpr double newest = 0.03;
/// Part of the processor that a host which is far behind spends on streams. The other half goes to
/// refusals, so that those who are turned away hear of it while they can still ask elsewhere.
constexpr double streamShare = 0.5;
/// Credit that is kept at most, as time of refilling: streams that come together are taken
/// together, and delay each other's events by no more than callers allow.
constexpr Base::Duration creditSpan = std::chrono::milliseconds(200);
/// Debt at most, likewise: a host that has promised more than this before it fell behind still
/// takes streams again within a second.
constexpr Base::Duration debtSpan = std::chrono::milliseconds(600);
/// Until streams have been forwarded, a token that a caller allows is reckoned as this many events:
/// callers allow four times what is generated, and an event holds some five tokens.
constexpr double presumedEventsPerToken = 0.05;
/// Tokens that the presumption weighs: those of some twenty streams.
constexpr double presumedTokens = 10000;
constexpr double milliCoresOfCore = 1000;
/// Part of its level up to which any stream of a customer is taken.
constexpr double anyStreamPart = 0.5;
/// The level is reckoned anew this often: with each stream it would cost more than a refusal.
constexpr Base::Duration levelInterval = std::chrono::milliseconds(100);

Base::Duration part(Base::Duration span, double share)
{
    return std::chrono::duration_cast<Base::Duration>(span * share);
}

double inMicroseconds(Base::Duration span)
{
    return std::chrono::duration<double, std::micro>(span).count();
}

/// Whether \a density is that of a stream that serves much; \a usual is the mean and learns it.
bool servesMuch(double density, double &usual)
{
    usual += (density - usual) * newest;
    return density >= usual;
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
    const bool servesItsMost = servesMuch(density, m_usualDensities[work.customer]);
    refill(now);
    const double cost = inMicroseconds(expectedCost(work));
    m_asked.add(work.customer, cost, now);
    updateLevels(now);
    const double taken = m_taken.value(work.customer, now);
    const Base::Duration busy = now - m_idleAt;
    bool isTaken = busy < choosyAfter;
    if (!isTaken && busy < rationedAfter) {
        isTaken = servesItsMost && taken < m_choosyLevel;
    } else if (!isTaken) {
        const double mayTake = m_rationedLevel * (servesItsMost ? 1 : anyStreamPart);
        isTaken = m_credit > Base::Duration::zero() && taken < mayTake;
    }
    if (isTaken) {
        charge(work);
        m_taken.add(work.customer, cost, now);
        recordPlainRequest(now);
    } else {
        recordRefusal(now);
    }
    return isTaken;
}

void StreamAdmission::refundStream(const Work &work, Base::TimePoint now)
{
    const Base::Duration cost = expectedCost(work);
    m_credit += cost;
    m_taken.add(work.customer, -inMicroseconds(cost), now);
    m_cost.addWork(
        microseconds(ForwardingMeter::refusalMicroseconds - ForwardingMeter::requestMicroseconds));
}

void StreamAdmission::updateLevels(Base::TimePoint now)
{
    if (m_levelAt != Base::TimePoint::min() && now - m_levelAt < levelInterval)
        return;
    m_levelAt = now;
    std::map<Base::CustomerId, double> asked;
    m_asked.addTo(asked, now);
    constexpr double microsecondsOfSecond = 1e6;
    const double capacity =
        m_capacity / milliCoresOfCore * FadingMeter::meanSeconds() * microsecondsOfSecond;
    m_choosyLevel = fairLevel(asked, capacity);
    m_rationedLevel = fairLevel(asked, capacity * streamShare);
}

Base::Duration StreamAdmission::expectedCost(const Work &work) const
{
    const double eventsPerToken =
        (m_events + presumedTokens * presumedEventsPerToken) / (m_allowedTokens + presumedTokens);
    const double events = eventsPerToken * work.outputTokens;
    return microseconds(
        (ForwardingMeter::requestMicroseconds + ForwardingMeter::eventMicroseconds * events)
        * m_cost.factor());
}

void StreamAdmission::refill(Base::TimePoint now)
{
    const double share = streamShare * m_capacity / milliCoresOfCore;
    m_credit = std::min(m_credit + part(now - m_refilledAt, share), part(creditSpan, share));
    m_refilledAt = now;
}

void StreamAdmission::charge(const Work &work)
{
    const double share = streamShare * m_capacity / milliCoresOfCore;
    m_credit = std::max(m_credit - expectedCost(work), -part(debtSpan, share));
    m_events *= 1 - newest;
    m_allowedTokens *= 1 - newest;
    m_allowedTokens += work.outputTokens;
}

} // namespace Routing
