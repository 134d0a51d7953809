#include "scheduling/concurrencylimiter.h"

#include "scheduling/policyerror.h"

#include <algorithm>

namespace Scheduling {

namespace {

/// One queued at the server for this many running: with answers of 200 ms and 5 ms between two,
/// a fortieth of the permits is on its way, so less than this would idle slots.
constexpr std::size_t runningPerHeadroom = 32;
/// First growth after a queue was seen, as a part of the limit.
constexpr std::size_t limitPerStep = 16;
/// A report that shows all but this part of the limit has caught up with the last change.
constexpr std::size_t limitPerMissing = 8;
/// Growth of a recovering server with each decision, as a part of the limit.
constexpr std::size_t limitPerRecovery = 4;
/// First tokens in a window: the quickest of fewer may be that of a long prompt.
constexpr std::size_t firstTokensPerWindow = 8;
/// The best first-token time grows by itself in this time, so that a lasting change (a larger
/// model version, longer prompts) is the new normal after some minutes. By time and not by
/// window: a busy server closes ten windows a second.
constexpr Base::Duration bestMemory = std::chrono::seconds(120);
/// The longest use is forgotten by this part with each use.
constexpr int longestDrift = 32;
/// Below this a first token is quick, whatever the best was.
constexpr Base::Duration quickFirstToken = std::chrono::milliseconds(50);
/// A server is frozen only after this many times the longest use that it had.
constexpr int stallWholes = 4;

} // namespace

Base::Result<ConcurrencyLimiter> ConcurrencyLimiter::create(const ConcurrencyLimits &limits)
{
    if (limits.smallest == 0 || limits.initialLimit < limits.smallest
        || limits.maxLimit < limits.initialLimit)
        return boost::leaf::new_error(InvalidPolicy{PolicyField::ConcurrencyRange});
    if (limits.reportLag <= Base::Duration::zero()
        || limits.firstProbeAfter <= Base::Duration::zero()
        || limits.longestProbeAfter < limits.firstProbeAfter)
        return boost::leaf::new_error(InvalidPolicy{PolicyField::ConcurrencyTimes});
    return ConcurrencyLimiter(limits);
}

ConcurrencyLimiter::ConcurrencyLimiter(const ConcurrencyLimits &limits)
    : m_limits(limits)
    , m_limit(limits.initialLimit)
    , m_step(limits.initialLimit)
    , m_probeAfter(limits.firstProbeAfter)
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
    noteUse(inUse, now);
    if (report.outcome == PermitOutcome::Failed)
        noteFailure(report, now);
    if (report.outcome == PermitOutcome::Completed)
        noteSuccess(report, now);
}

void ConcurrencyLimiter::recordLoad(const LoadReport &report, Base::TimePoint now)
{
    m_unreachable = 0;
    m_reportedAt = now;
    const bool isJudged =
        m_condition == ServerCondition::Healthy || m_condition == ServerCondition::Recovering;
    if (isJudged && report.queued > 0)
        judgeQueue(report, now);
    // Work that an earlier home gave out runs there and nothing is queued: there is room for it.
    if (isHealthy() && !m_isSlow && report.queued == 0 && report.running > m_limit)
        setLimit(report.running, now);
    if (isJudged && report.queued == 0 && (isCaughtUp(report) || isLagOver(now)))
        judgeRoom(now);
    m_lastReport = report;
}

/// The poll comes from the home, the work from the entries: a poll that fails while answers
/// come shows a fault between home and server only.
void ConcurrencyLimiter::recordUnreachable(Base::TimePoint now)
{
    if (m_unreachable == 0)
        m_unreachableSince = now;
    ++m_unreachable;
    const bool hasProgress = m_progressAt > m_unreachableSince;
    const bool isUsed =
        m_condition == ServerCondition::Healthy || m_condition == ServerCondition::Recovering;
    if (isUsed && !hasProgress && m_unreachable >= m_limits.unreachableInRow)
        startFailing(now);
}

void ConcurrencyLimiter::recordProgress(Base::TimePoint now)
{
    m_progressAt = now;
}

void ConcurrencyLimiter::setPeerTimeToFirstToken(std::optional<Base::Duration> firstToken)
{
    m_peersFirstToken = firstToken;
}

void ConcurrencyLimiter::advance(std::size_t inUse, Base::TimePoint now)
{
    noteUse(inUse, now);
    if (m_condition == ServerCondition::Failing) {
        if (now >= m_probeAt)
            startProbing(now);
        return;
    }
    const Base::Duration patience = std::max(m_limits.stallAfter, stallWholes * m_longestWhole);
    if (inUse > 0 && now - m_progressAt >= patience) {
        startFailing(now);
        return;
    }
    const bool hasReports = m_lastReport && now - m_reportedAt < m_limits.reportLag;
    const bool isJudged = m_condition != ServerCondition::Probing && !hasReports;
    // Without reports only first tokens show a queue, so growth waits for a window of them.
    if (isJudged && isLagOver(now) && (m_successes >= firstTokensPerWindow || m_isCutDue))
        judgeRoom(now);
}

std::size_t ConcurrencyLimiter::headroom(std::size_t running)
{
    return std::max<std::size_t>(1, running / runningPerHeadroom);
}

void ConcurrencyLimiter::noteUse(std::size_t inUse, Base::TimePoint now)
{
    if (inUse >= m_limit)
        m_isBinding = true;
    // The first use may come with the first call: the time before it is no standstill.
    if (inUse == 0 || m_progressAt == Base::TimePoint{})
        m_progressAt = now;
}

void ConcurrencyLimiter::noteFirstToken(const PermitReport &report, Base::TimePoint now)
{
    if (!report.firstToken)
        return;
    if (!m_bestFirstToken || *report.firstToken < *m_bestFirstToken)
        m_bestFirstToken = report.firstToken;
    m_quickest = m_firstTokens == 0 ? *report.firstToken : std::min(m_quickest, *report.firstToken);
    if (++m_firstTokens >= firstTokensPerWindow)
        closeFirstTokenWindow(now);
}

void ConcurrencyLimiter::closeFirstTokenWindow(Base::TimePoint now)
{
    const double best = std::chrono::duration<double>(*m_bestFirstToken).count();
    const double quickest = std::chrono::duration<double>(m_quickest).count();
    const double peers =
        m_peersFirstToken ? std::chrono::duration<double>(*m_peersFirstToken).count() : quickest;
    m_isSlow = m_quickest > quickFirstToken && quickest > m_limits.slowFactor * best
               && quickest > m_limits.slowPeerFactor * peers;
    m_isCutDue = m_isSlow;
    m_windowFirstToken = m_quickest;
    const Base::Duration elapsed = std::min(now - m_windowAt, bestMemory);
    const double part = std::chrono::duration<double>(elapsed) / bestMemory;
    m_bestFirstToken = std::chrono::duration_cast<Base::Duration>(*m_bestFirstToken * (1 + part));
    m_windowAt = now;
    m_firstTokens = 0;
}

void ConcurrencyLimiter::noteSuccess(const PermitReport &report, Base::TimePoint now)
{
    m_failures = 0;
    m_progressAt = now;
    ++m_successes;
    m_longestWhole = std::max(m_longestWhole - m_longestWhole / longestDrift, report.whole);
    noteFirstToken(report, now);
    if (isHealthy() || m_condition == ServerCondition::Recovering)
        return;
    m_condition = ServerCondition::Recovering;
    m_probeAt = std::min(m_probeAt, now);
    setLimit(m_limits.smallest, now);
}

void ConcurrencyLimiter::noteFailure(const PermitReport &report, Base::TimePoint now)
{
    if (now - report.whole < m_probeAt)
        return;
    ++m_failures;
    if (m_condition == ServerCondition::Probing || m_failures >= m_limits.failuresInRow)
        startFailing(now);
}

void ConcurrencyLimiter::startFailing(Base::TimePoint now)
{
    if (isHealthy())
        m_limitBeforeFailing = m_limit;
    m_condition = ServerCondition::Failing;
    m_probeAt = now + m_probeAfter;
    m_probeAfter = std::min(2 * m_probeAfter, m_limits.longestProbeAfter);
    m_failures = 0;
    m_unreachable = 0;
    m_progressAt = now;
}

void ConcurrencyLimiter::startProbing(Base::TimePoint now)
{
    m_condition = ServerCondition::Probing;
    m_probeAt = now;
    m_progressAt = now;
}

bool ConcurrencyLimiter::isCaughtUp(const LoadReport &report) const
{
    const std::size_t missing = std::max<std::size_t>(1, m_limit / limitPerMissing);
    return m_wasGrowth && report.running + report.queued + missing >= m_limit;
}

bool ConcurrencyLimiter::isLagOver(Base::TimePoint now) const
{
    return now - m_changedAt >= m_limits.reportLag;
}

/// A queue in one report may be work that arrived in that moment; in two it stands.
void ConcurrencyLimiter::judgeQueue(const LoadReport &report, Base::TimePoint now)
{
    m_step = std::max<std::size_t>(1, m_limit / limitPerStep);
    if (!m_lastReport || !(isCaughtUp(report) || isLagOver(now)))
        return;
    const std::size_t running = std::max(report.running, m_lastReport->running);
    const std::size_t queued = std::min(report.queued, m_lastReport->queued);
    const std::size_t allowed = headroom(running);
    if (queued <= allowed)
        return;
    const std::size_t tooMany = std::min(m_limit, queued - allowed);
    const std::size_t cut = std::max(running + allowed, m_limit - tooMany);
    if (cut < m_limit)
        setLimit(cut, now);
}

/// Called when nothing is queued and the last change had its effect.
void ConcurrencyLimiter::judgeRoom(Base::TimePoint now)
{
    if (m_isCutDue) {
        m_isCutDue = false;
        m_step = 1;
        setLimit(m_limit - m_limit / limitPerRecovery, now);
        return;
    }
    if (m_isSlow)
        return;
    if (m_condition == ServerCondition::Recovering)
        recover(now);
    else if (m_isBinding)
        grow(now);
}

void ConcurrencyLimiter::recover(Base::TimePoint now)
{
    if (m_successes == 0)
        return;
    setLimit(m_limit + std::max<std::size_t>(1, m_limit / limitPerRecovery), now);
    if (m_limit < m_limitBeforeFailing)
        return;
    m_condition = ServerCondition::Healthy;
    m_probeAfter = m_limits.firstProbeAfter;
    m_step = 1;
}

void ConcurrencyLimiter::grow(Base::TimePoint now)
{
    const std::size_t step = m_step;
    setLimit(m_limit + step, now);
    m_step = std::min(2 * step, m_limit);
}

void ConcurrencyLimiter::setLimit(std::size_t limit, Base::TimePoint now)
{
    const std::size_t bounded = std::clamp(limit, m_limits.smallest, m_limits.maxLimit);
    m_wasGrowth = bounded >= m_limit;
    m_limit = bounded;
    m_changedAt = now;
    m_isBinding = false;
    m_successes = 0;
}

} // namespace Scheduling
