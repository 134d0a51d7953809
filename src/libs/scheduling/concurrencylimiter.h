#pragma once

#include "base/ids.h"
#include "base/result.h"
#include "base/time.h"

#include <chrono>
#include <cstddef>
#include <optional>

namespace Scheduling {

/// How the use of one permit at a backend server ended.
enum class PermitOutcome {
    Completed, ///< The whole answer was received.
    Cancelled, ///< The caller disconnected. This says nothing about the server.
    NotUsed,   ///< Nothing was sent to the server.
    Failed,    ///< The server refused the work, or the answer was cut or timed out.
};

/// What the use of one permit shows about the server.
struct PermitReport
{
    PermitOutcome outcome = PermitOutcome::Completed;
    /// Time from sending to the first token; empty if there was none.
    std::optional<Base::Duration> firstToken;
    /// Time from sending to the end of the use.
    Base::Duration whole{0};
    /// Service received, in weighted tokens.
    Base::ServiceUnits served = 0;
};

/// A server's own load report. It shows the load of up to ConcurrencyLimits::reportLag ago.
struct LoadReport
{
    std::size_t running = 0;
    /// Requests that the server accepted but has not begun.
    std::size_t queued = 0;
};

/// Thresholds of the limiter. docs/design/concurrency-limit.md derives them.
struct ConcurrencyLimits
{
    /// Limit of a server that is not known yet. Few engines run fewer requests at a time; the
    /// limit doubles from here.
    std::size_t initialLimit = 8;
    /// Bounds of the limit.
    std::size_t minLimit = 1;
    std::size_t maxLimit = 256;
    /// Longest lag of a load report. The effect of a change of the limit that no report has
    /// shown is evaluated after this time at the latest.
    Base::Duration reportLag = std::chrono::milliseconds(2000);
    /// A server is slow when even the minimum of a window of first-token times exceeds the
    /// server's baseline by this factor. Different prompt lengths change the minimum of several
    /// times by far less.
    double slowFactor = 4;
    /// In addition, the minimum must exceed the median of the pool's servers by this factor.
    /// When all servers are slow the work is long, and nothing is gained by sending it elsewhere.
    double slowPeerFactor = 2;
    /// Consecutive failures after which a server is Failing. A single one may be chance or a
    /// restart; when a tenth of the requests fails, three in a row have a probability of one in
    /// a thousand.
    std::size_t failureThreshold = 3;
    /// Consecutive load polls that do not reach the server after which it is Failing.
    std::size_t unreachableThreshold = 3;
    /// A server with permits in use that makes no progress for this long counts as frozen.
    Base::Duration stallTimeout = std::chrono::seconds(30);
    /// Pause before the first probe of a failing server; it doubles after each failed probe.
    Base::Duration initialProbeDelay = std::chrono::milliseconds(1000);
    Base::Duration maxProbeDelay = std::chrono::milliseconds(30000);
};

/// Condition of a backend server as the limiter sees it.
enum class ServerCondition {
    Healthy,
    Failing,    ///< The server gets no permits until the next probe.
    Probing,    ///< The server gets one permit at a time.
    Recovering, ///< A probe succeeded; the limit rises slowly to its value before the failure.
};

/// Learns how many permits one backend server can use at a time.
///
/// The size of a server is unknown and changes (the batch of an engine shrinks with long
/// prompts), servers get slow or freeze, and their load reports lag. A limit that is too high
/// fills the server's own queue, which knows no priority of classes or customers; a limit that
/// is too low leaves a server idle while work waits.
///
/// - Decrease: a report with queued work shows the size of the server directly, because the
///   server then runs as much as it can. A cut removes the excess of the queue and never goes
///   below the number of running requests. Reports from before the cut lead to the same value
///   again, so the report lag cannot make the limit oscillate.
/// - Increase: the limit grows only after all permits were in use and a report shows the server
///   with the current limit in use and nothing queued. Growth steps double until a queue is
///   seen and start small after that.
/// - Headroom: a small queue (headroom()) is allowed on purpose. It covers the time from the end
///   of one request to the arrival of the next.
/// - Slowness: first-token times reveal what reports cannot show, a server that runs everything
///   it is given, but slowly. The minimum of several times is compared with the server's own
///   baseline and with the median of the pool's servers.
class ConcurrencyLimiter
{
public:
    /// Fails with InvalidPolicy if a threshold is out of range.
    static Base::Result<ConcurrencyLimiter> create(const ConcurrencyLimits &limits);

    /// Number of permits that may be in use at a time; 0 while the server is failing.
    std::size_t limit() const;
    ServerCondition condition() const { return m_condition; }
    /// Whether the server is fully in service, that is, neither failing, probing nor recovering.
    bool isHealthy() const { return m_condition == ServerCondition::Healthy; }

    /// Records the end of a permit. \a inUse still counts this permit.
    void recordPermit(const PermitReport &report, std::size_t inUse, Base::TimePoint now);
    /// Records the result of a load poll.
    void recordLoad(const LoadReport &report, Base::TimePoint now);
    /// Records that a load poll did not reach the server.
    void recordUnreachable(Base::TimePoint now);
    /// Records that a part of an answer arrived.
    void recordProgress(Base::TimePoint now);
    /// Shortest time to first token in the last full window; empty before the first is full.
    std::optional<Base::Duration> minTimeToFirstToken() const { return m_lastWindowMin; }
    /// Sets the median of minTimeToFirstToken() over the pool's servers. It is empty for a
    /// single server; slowness is then not detected because there is no other server to use.
    void setPeerTimeToFirstToken(std::optional<Base::Duration> firstToken);
    /// Handles what depends on time: probes, frozen servers, and growth without load reports.
    void advance(std::size_t inUse, Base::TimePoint now);

private:
    explicit ConcurrencyLimiter(const ConcurrencyLimits &limits);

    /// Number of queued requests that is allowed beside \a running ones.
    static std::size_t headroom(std::size_t running);
    void updateInUse(std::size_t inUse, Base::TimePoint now);
    void addFirstTokenSample(const PermitReport &report, Base::TimePoint now);
    void closeFirstTokenWindow(Base::TimePoint now);
    void handleSuccess(const PermitReport &report, Base::TimePoint now);
    void handleFailure(const PermitReport &report, Base::TimePoint now);
    void startFailing(Base::TimePoint now);
    void startProbing(Base::TimePoint now);
    bool reflectsLastGrowth(const LoadReport &report) const;
    bool hasReportLagPassed(Base::TimePoint now) const;
    void cutForQueue(const LoadReport &report, Base::TimePoint now);
    void adjustWithoutQueue(Base::TimePoint now);
    void recover(Base::TimePoint now);
    void grow(Base::TimePoint now);
    void setLimit(std::size_t limit, Base::TimePoint now);

    ConcurrencyLimits m_limits;
    ServerCondition m_condition = ServerCondition::Healthy;

    std::size_t m_limit;
    /// Amount by which the next growth raises the limit.
    std::size_t m_growthStep;
    Base::TimePoint m_limitChangedAt{};
    bool m_wasLastChangeGrowth = true;
    /// Whether all permits have been in use at some time since the last change of the limit.
    bool m_wasLimitReached = false;

    std::optional<LoadReport> m_lastReport;
    Base::TimePoint m_reportedAt{};

    /// Shortest time to first token known, raised over time (see baselineRiseTime).
    std::optional<Base::Duration> m_baselineFirstToken;
    /// Minimum of the open window.
    Base::Duration m_windowMin{0};
    /// Minimum of the last full window.
    std::optional<Base::Duration> m_lastWindowMin;
    std::optional<Base::Duration> m_peerFirstToken;
    std::size_t m_windowSamples = 0;
    Base::TimePoint m_windowStart{};
    bool m_isSlow = false;
    /// Whether the server was found slow and the limit has not been cut for it yet.
    bool m_isSlowCutPending = false;

    std::size_t m_consecutiveFailures = 0;
    std::size_t m_unreachablePolls = 0;
    Base::TimePoint m_unreachableSince{};
    std::size_t m_successesSinceChange = 0;
    std::size_t m_limitBeforeFailing = 0;
    Base::Duration m_probeDelay;
    /// When the next probe is due, or when the last one began. Failures of requests sent before
    /// say nothing about the current state of the server.
    Base::TimePoint m_probeAt{};
    Base::TimePoint m_lastProgressAt{};
    /// Longest use of a permit, reduced a little with each use.
    Base::Duration m_longestUse{0};
};

} // namespace Scheduling
