#pragma once

#include "base/ids.h"
#include "base/result.h"
#include "base/time.h"

#include <chrono>
#include <cstddef>
#include <optional>

namespace Scheduling {

/// How one permit's use of a backend server ended.
enum class PermitOutcome {
    Completed, ///< The answer came whole.
    Cancelled, ///< The caller left; says nothing about the server.
    NotUsed,   ///< Nothing was sent.
    Failed,    ///< Refused, cut or timed out.
};

/// What one permit's use showed of the server.
struct PermitReport
{
    PermitOutcome outcome = PermitOutcome::Completed;
    /// From sending to the first token; empty if there was none.
    std::optional<Base::Duration> firstToken;
    Base::Duration whole{0};
    Base::ServiceUnits served = 0;
};

/// A server's own report; it lags.
struct LoadReport
{
    std::size_t running = 0;
    /// Admitted by the server but not begun.
    std::size_t queued = 0;
};

/// Thresholds of the limiter; docs/design/concurrency-limit.md has the measurements.
struct ConcurrencyLimits
{
    /// Permits of a server not known yet. Few engines run less; the limit doubles from here.
    std::size_t initialLimit = 8;
    std::size_t smallest = 1;
    std::size_t maxLimit = 256;
    /// Longest lag of a load report. A change of the limit that no report has shown is judged
    /// after this time at the latest.
    Base::Duration reportLag = std::chrono::milliseconds(2000);
    /// A server is slow when even the quickest first token since the last decision took this
    /// many times the best known. Prompts of other lengths vary the quickest of several far
    /// less than that.
    double slowFactor = 4;
    /// And this many times that of its peers: when all are slow it is the work that is long,
    /// and nothing is gained by sending it elsewhere.
    double slowPeerFactor = 2;
    /// Failures without a success between them that make a server failing. One may be chance
    /// or a restart; three in a row are one in a thousand when a tenth fails.
    std::size_t failuresInRow = 3;
    /// Load polls in a row that found the server out of reach, to the same end.
    std::size_t unreachableInRow = 3;
    /// Without any progress for this long under permits in use, a server counts as frozen.
    Base::Duration stallAfter = std::chrono::seconds(30);
    /// Pause before the first probe of a failing server; doubled after each probe that fails.
    Base::Duration firstProbeAfter = std::chrono::milliseconds(1000);
    Base::Duration longestProbeAfter = std::chrono::milliseconds(30000);
};

enum class ServerCondition {
    Healthy,
    Failing,    ///< Gets no permits until the next probe.
    Probing,    ///< Gets one permit at a time.
    Recovering, ///< A probe succeeded; the limit rises slowly to where it was.
};

/// Learns how many permits one backend server can use at a time.
///
/// Load pattern: servers of unknown and changing size (an engine's batch shrinks with long
/// prompts), slow ones and frozen ones, seen through reports that lag. A limit too large fills
/// the server's own queue, where no class and no customer goes first; one too small idles a
/// server while work waits.
///
/// A report with work queued shows the server's size directly: it then runs as many as it can.
/// So a cut takes away what is queued too much and never goes below what ran, and reports older
/// than the cut repeat it without harm; this is why lag cannot make the limit swing. Growth
/// needs the limit to bind, and a report that shows the server with the present limit in use
/// and nothing queued; its steps double until a queue is seen, and start small after that. A
/// small queue is kept on purpose (headroom()): it covers the time from a slot's end to the
/// next arrival. First-token times judge what reports cannot show, a server that runs all it is
/// given but slowly: the quickest of several, against the best known and against the peers.
class ConcurrencyLimiter
{
public:
    /// Fails with InvalidPolicy.
    static Base::Result<ConcurrencyLimiter> create(const ConcurrencyLimits &limits);

    /// Permits that may be in use at a time; 0 while the server is failing.
    std::size_t limit() const;
    ServerCondition condition() const { return m_condition; }
    /// Whether the server is as good as any; false while failing, probed or recovering.
    bool isHealthy() const { return m_condition == ServerCondition::Healthy; }

    /// A permit ended; \a inUse counts it still.
    void recordPermit(const PermitReport &report, std::size_t inUse, Base::TimePoint now);
    void recordLoad(const LoadReport &report, Base::TimePoint now);
    /// A load poll did not reach the server.
    void recordUnreachable(Base::TimePoint now);
    /// Part of an answer came.
    void recordProgress(Base::TimePoint now);
    /// Quickest first token in the last window; empty before the first window is full.
    std::optional<Base::Duration> minTimeToFirstToken() const { return m_windowFirstToken; }
    /// The median of minTimeToFirstToken() over the pool's servers; empty when there is only
    /// one, and then no slowness is found: there is nowhere else to send the work.
    void setPeerTimeToFirstToken(std::optional<Base::Duration> firstToken);
    /// Moves time-driven state on: probes, frozen servers, growth without reports.
    void advance(std::size_t inUse, Base::TimePoint now);

private:
    explicit ConcurrencyLimiter(const ConcurrencyLimits &limits);

    static std::size_t headroom(std::size_t running);
    void noteUse(std::size_t inUse, Base::TimePoint now);
    void noteFirstToken(const PermitReport &report, Base::TimePoint now);
    void closeFirstTokenWindow(Base::TimePoint now);
    void noteSuccess(const PermitReport &report, Base::TimePoint now);
    void noteFailure(const PermitReport &report, Base::TimePoint now);
    void startFailing(Base::TimePoint now);
    void startProbing(Base::TimePoint now);
    bool isCaughtUp(const LoadReport &report) const;
    bool isLagOver(Base::TimePoint now) const;
    void judgeQueue(const LoadReport &report, Base::TimePoint now);
    void judgeRoom(Base::TimePoint now);
    void recover(Base::TimePoint now);
    void grow(Base::TimePoint now);
    void setLimit(std::size_t limit, Base::TimePoint now);

    ConcurrencyLimits m_limits;
    ServerCondition m_condition = ServerCondition::Healthy;

    std::size_t m_limit;
    /// What the next growth adds.
    std::size_t m_step;
    Base::TimePoint m_changedAt{};
    bool m_wasGrowth = true;
    /// Whether all permits were in use at some time since the last change.
    bool m_isBinding = false;

    std::optional<LoadReport> m_lastReport;
    Base::TimePoint m_reportedAt{};

    std::optional<Base::Duration> m_bestFirstToken;
    /// The quickest of the window that is open, and of the last one closed.
    Base::Duration m_quickest{0};
    std::optional<Base::Duration> m_windowFirstToken;
    std::optional<Base::Duration> m_peersFirstToken;
    std::size_t m_firstTokens = 0;
    Base::TimePoint m_windowAt{};
    bool m_isSlow = false;
    /// Whether a verdict of slowness has not led to a cut yet.
    bool m_isCutDue = false;

    std::size_t m_failures = 0;
    std::size_t m_unreachable = 0;
    Base::TimePoint m_unreachableSince{};
    std::size_t m_successes = 0;
    std::size_t m_limitBeforeFailing = 0;
    Base::Duration m_probeAfter;
    /// Failures of uses sent before this say nothing of the server as it is now.
    Base::TimePoint m_probeAt{};
    Base::TimePoint m_progressAt{};
    Base::Duration m_longestWhole{0};
};

} // namespace Scheduling
