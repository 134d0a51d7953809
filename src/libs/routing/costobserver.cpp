#include "routing/costobserver.h"

#include <algorithm>

namespace Routing {

namespace {

using std::chrono::milliseconds;

/// The minimum length of a span that counts. Work that was recorded just before the span, or is
/// unfinished at its end, is small compared to it.
constexpr Base::Duration minSpan = milliseconds(200);
/// A host that does not run for longer than this between two requests was suspended, and spent
/// nothing in that time.
constexpr Base::Duration maxStep = milliseconds(100);
/// The share of the previous sums that remains after each span; about five seconds count.
constexpr double retainedShare = 0.96;
/// The length of an imaginary first span in which the work cost as much as estimated.
constexpr Base::Duration priorSpan = milliseconds(200);
/// A host that is faster than estimated keeps the saved time for refusals and new connections. With
/// a lower factor, its streams would use that time.
constexpr double minFactor = 1;
constexpr double maxFactor = 8;
constexpr double milliCoresOfCore = 1000;

Base::Duration scaled(Base::Duration span, double share)
{
    return std::chrono::duration_cast<Base::Duration>(span * share);
}

} // namespace

void CostObserver::recordIdle(Base::TimePoint now)
{
    beginSpan(now);
}

void CostObserver::advance(Base::TimePoint now)
{
    m_elapsed += std::min(now - m_advancedAt, maxStep);
    m_advancedAt = now;
    if (m_elapsed < minSpan)
        return;
    m_spentBefore =
        scaled(m_spentBefore, retainedShare) + scaled(m_elapsed, m_capacity / milliCoresOfCore);
    m_expectedBefore = scaled(m_expectedBefore, retainedShare) + m_expected;
    beginSpan(now);
}

double CostObserver::factor() const
{
    const Base::Duration prior = scaled(priorSpan, m_capacity / milliCoresOfCore);
    const std::chrono::duration<double> spent = m_spentBefore + prior;
    const std::chrono::duration<double> expected = m_expectedBefore + prior;
    return std::clamp(spent / expected, minFactor, maxFactor);
}

void CostObserver::beginSpan(Base::TimePoint now)
{
    m_advancedAt = now;
    m_elapsed = Base::Duration::zero();
    m_expected = Base::Duration::zero();
}

} // namespace Routing
