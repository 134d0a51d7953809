#include "scheduling/concurrencylimiter.h"

#include "scheduling/policyerror.h"

#include <algorithm>

namespace Scheduling {

namespace {

/// One request may be queued at the server per this many running ones. With answers that take
/// 200 ms and 5 ms between two answers, a fortieth of the permits is in transit, so a smaller
/// headroom would leave slots idle.
constexpr std::size_t headroomDivisor = 32;
/// The first growth step after a queue was seen is the limit divided by this.
constexpr std::size_t growthStepDivisor = 16;
/// A report reflects the last growth once it shows all but the limit divided by this.
constexpr std::size_t reportToleranceDivisor = 8;
/// A recovering server's limit grows, and a slow server's limit is cut, by the limit divided by
/// this.
constexpr std::size_t recoveryDivisor = 4;
/// Number of first-token times in a window. The minimum of fewer may be that of a long prompt.
constexpr std::size_t firstTokensPerWindow = 8;
/// The baseline of first-token times rises by itself, by the elapsed part of this time, so that a
/// lasting change (a larger model version, longer prompts) becomes the baseline after some
/// minutes. It rises with time and not with each window because a busy server closes ten windows
/// a second.
constexpr Base::Duration baselineRiseTime = std::chrono::seconds(120);
/// Each use reduces the remembered longest use by itself divided by this.
constexpr int longestUseDecayDivisor = 32;
/// A first token within this time never counts as slow, however low the baseline is.
constexpr Base::Duration fastFirstToken = std::chrono::milliseconds(50);
/// A server counts as frozen only after no progress for this many times its longest use.
constexpr int stallUseFactor = 4;

} // namespace

Base::Result<ConcurrencyLimiter> ConcurrencyLimiter::create(const ConcurrencyLimits &limits)
{
    if (limits.minLimit == 0 || limits.initialLimit < limits.minLimit
        || limits.maxLimit < limits.initialLimit)
        return boost::leaf::new_error(InvalidPolicy{PolicyField::ConcurrencyRange});
    if (limits.reportLag <= Base::Duration::zero()
        || limits.initialProbeDelay <= Base::Duration::zero()
        || limits.maxProbeDelay < limits.initialProbeDelay)
        return boost::leaf::new_error(InvalidPolicy{PolicyField::ConcurrencyTimes});
    return ConcurrencyLimiter(limits);
}

ConcurrencyLimiter::ConcurrencyLimiter(const ConcurrencyLimits &limits)
    : m_limits(limits)
    , m_limit(limits.initialLimit)
    , m_growthStep(limits.initialLimit)
    , m_probeDelay(limits.initialProbeDelay)
{}

std::size_t ConcurrencyLimiter::limit() const
{
    if (m_condition == ServerCondition::Failing)
        return 0;
    return m_condition == ServerCondition::Probing ? 1 : m_limit;
}

void ConcurrencyLimiter::recordPermit(const PermitReport &report, std::size_t inUse,
                                      Base::TimePoint now)
{
    updateInUse(inUse, now);
    if (report.outcome == PermitOutcome::Failed)
        handleFailure(report, now);
    if (report.outcome == PermitOutcome::Completed)
        handleSuccess(report, now);
}

void ConcurrencyLimiter::recordLoad(const LoadReport &report, Base::TimePoint now)
{
    m_unreachablePolls = 0;
    m_reportedAt = now;
    const bool isAdjustable =
        m_condition == ServerCondition::Healthy || m_condition == ServerCondition::Recovering;
    if (isAdjustable && report.queued > 0)
        cutForQueue(report, now);
    // A server that runs more than the limit without a queue has room for it. The additional
    // requests were admitted by a previous home (the router that grants the pool's permits).
    if (isHealthy() && !m_isSlow && report.queued == 0 && report.running > m_limit)
        setLimit(report.running, now);
    if (isAdjustable && report.queued == 0
        && (reflectsLastGrowth(report) || hasReportLagPassed(now)))
        adjustWithoutQueue(now);
    m_lastReport = report;
}

/// The home polls the server while the entry hosts send it work. A poll that fails while answers
/// arrive only shows a fault between the home and the server.
void ConcurrencyLimiter::recordUnreachable(Base::TimePoint now)
{
    if (m_unreachablePolls == 0)
        m_unreachableSince = now;
    ++m_unreachablePolls;
    const bool hasProgress = m_lastProgressAt > m_unreachableSince;
    const bool isInService =
        m_condition == ServerCondition::Healthy || m_condition == ServerCondition::Recovering;
    if (isInService && !hasProgress && m_unreachablePolls >= m_limits.unreachableThreshold)
        startFailing(now);
}

void ConcurrencyLimiter::recordProgress(Base::TimePoint now)
{
    m_lastProgressAt = now;
}

void ConcurrencyLimiter::setPeerTimeToFirstToken(std::optional<Base::Duration> firstToken)
{
    m_peerFirstToken = firstToken;
}

void ConcurrencyLimiter::advance(std::size_t inUse, Base::TimePoint now)
{
    updateInUse(inUse, now);
    if (m_condition == ServerCondition::Failing) {
        if (now >= m_probeAt)
            startProbing(now);
        return;
    }
    const Base::Duration stallTime = std::max(m_limits.stallTimeout, stallUseFactor * m_longestUse);
    if (inUse > 0 && now - m_lastProgressAt >= stallTime) {
        startFailing(now);
        return;
    }
    const bool hasReports = m_lastReport && now - m_reportedAt < m_limits.reportLag;
    const bool isAdjustable = m_condition != ServerCondition::Probing && !hasReports;
    // Without load reports only first-token times reveal a queue, so growth waits for a full
    // window of them.
    if (isAdjustable && hasReportLagPassed(now)
        && (m_successesSinceChange >= firstTokensPerWindow || m_isSlowCutPending))
        adjustWithoutQueue(now);
}

std::size_t ConcurrencyLimiter::headroom(std::size_t running)
{
    return std::max<std::size_t>(1, running / headroomDivisor);
}

void ConcurrencyLimiter::updateInUse(std::size_t inUse, Base::TimePoint now)
{
    if (inUse >= m_limit)
        m_wasLimitReached = true;
    // The time before the first use and the time without any use do not count as a stall.
    if (inUse == 0 || m_lastProgressAt == Base::TimePoint{})
        m_lastProgressAt = now;
}

void ConcurrencyLimiter::addFirstTokenSample(const PermitReport &report, Base::TimePoint now)
{
    if (!report.firstToken)
        return;
    if (!m_baselineFirstToken || *report.firstToken < *m_baselineFirstToken)
        m_baselineFirstToken = report.firstToken;
    m_windowMin =
        m_windowSamples == 0 ? *report.firstToken : std::min(m_windowMin, *report.firstToken);
    if (++m_windowSamples >= firstTokensPerWindow)
        closeFirstTokenWindow(now);
}

void ConcurrencyLimiter::closeFirstTokenWindow(Base::TimePoint now)
{
    const double baseline = std::chrono::duration<double>(*m_baselineFirstToken).count();
    const double windowMin = std::chrono::duration<double>(m_windowMin).count();
    const double peerMedian =
        m_peerFirstToken ? std::chrono::duration<double>(*m_peerFirstToken).count() : windowMin;
    m_isSlow = m_windowMin > fastFirstToken && windowMin > m_limits.slowFactor * baseline
               && windowMin > m_limits.slowPeerFactor * peerMedian;
    m_isSlowCutPending = m_isSlow;
    m_lastWindowMin = m_windowMin;
    const Base::Duration elapsed = std::min(now - m_windowStart, baselineRiseTime);
    const double elapsedPart = std::chrono::duration<double>(elapsed) / baselineRiseTime;
    m_baselineFirstToken =
        std::chrono::duration_cast<Base::Duration>(*m_baselineFirstToken * (1 + elapsedPart));
    m_windowStart = now;
    m_windowSamples = 0;
}

void ConcurrencyLimiter::handleSuccess(const PermitReport &report, Base::TimePoint now)
{
    m_consecutiveFailures = 0;
    m_lastProgressAt = now;
    ++m_successesSinceChange;
    m_longestUse = std::max(m_longestUse - m_longestUse / longestUseDecayDivisor, report.whole);
    addFirstTokenSample(report, now);
    if (isHealthy() || m_condition == ServerCondition::Recovering)
        return;
    m_condition = ServerCondition::Recovering;
    m_probeAt = std::min(m_probeAt, now);
    setLimit(m_limits.minLimit, now);
}

void ConcurrencyLimiter::handleFailure(const PermitReport &report, Base::TimePoint now)
{
    if (now - report.whole < m_probeAt)
        return;
    ++m_consecutiveFailures;
    if (m_condition == ServerCondition::Probing
        || m_consecutiveFailures >= m_limits.failureThreshold)
        startFailing(now);
}

void ConcurrencyLimiter::startFailing(Base::TimePoint now)
{
    if (isHealthy())
        m_limitBeforeFailing = m_limit;
    m_condition = ServerCondition::Failing;
    m_probeAt = now + m_probeDelay;
    m_probeDelay = std::min(2 * m_probeDelay, m_limits.maxProbeDelay);
    m_consecutiveFailures = 0;
    m_unreachablePolls = 0;
    m_lastProgressAt = now;
}

void ConcurrencyLimiter::startProbing(Base::TimePoint now)
{
    m_condition = ServerCondition::Probing;
    m_probeAt = now;
    m_lastProgressAt = now;
}

bool ConcurrencyLimiter::reflectsLastGrowth(const LoadReport &report) const
{
    const std::size_t tolerance = std::max<std::size_t>(1, m_limit / reportToleranceDivisor);
    return m_wasLastChangeGrowth && report.running + report.queued + tolerance >= m_limit;
}

bool ConcurrencyLimiter::hasReportLagPassed(Base::TimePoint now) const
{
    return now - m_limitChangedAt >= m_limits.reportLag;
}

/// Cuts the limit only for a queue that two consecutive reports show: a queue in a single report
/// may be work that had just arrived.
void ConcurrencyLimiter::cutForQueue(const LoadReport &report, Base::TimePoint now)
{
    m_growthStep = std::max<std::size_t>(1, m_limit / growthStepDivisor);
    if (!m_lastReport || !(reflectsLastGrowth(report) || hasReportLagPassed(now)))
        return;
    const std::size_t running = std::max(report.running, m_lastReport->running);
    const std::size_t queued = std::min(report.queued, m_lastReport->queued);
    const std::size_t allowedQueue = headroom(running);
    if (queued <= allowedQueue)
        return;
    const std::size_t excess = std::min(m_limit, queued - allowedQueue);
    const std::size_t newLimit = std::max(running + allowedQueue, m_limit - excess);
    if (newLimit < m_limit)
        setLimit(newLimit, now);
}

/// Adjusts the limit when nothing is queued and the last change has taken effect.
void ConcurrencyLimiter::adjustWithoutQueue(Base::TimePoint now)
{
    if (m_isSlowCutPending) {
        m_isSlowCutPending = false;
        m_growthStep = 1;
        setLimit(m_limit - m_limit / recoveryDivisor, now);
        return;
    }
    if (m_isSlow)
        return;
    if (m_condition == ServerCondition::Recovering)
        recover(now);
    else if (m_wasLimitReached)
        grow(now);
}

void ConcurrencyLimiter::recover(Base::TimePoint now)
{
    if (m_successesSinceChange == 0)
        return;
    setLimit(m_limit + std::max<std::size_t>(1, m_limit / recoveryDivisor), now);
    if (m_limit < m_limitBeforeFailing)
        return;
    m_condition = ServerCondition::Healthy;
    m_probeDelay = m_limits.initialProbeDelay;
    m_growthStep = 1;
}

void ConcurrencyLimiter::grow(Base::TimePoint now)
{
    const std::size_t step = m_growthStep;
    setLimit(m_limit + step, now);
    m_growthStep = std::min(2 * step, m_limit);
}

void ConcurrencyLimiter::setLimit(std::size_t limit, Base::TimePoint now)
{
    const std::size_t bounded = std::clamp(limit, m_limits.minLimit, m_limits.maxLimit);
    m_wasLastChangeGrowth = bounded >= m_limit;
    m_limit = bounded;
    m_limitChangedAt = now;
    m_wasLimitReached = false;
    m_successesSinceChange = 0;
}

} // namespace Scheduling
