#pragma once

#include "base/random.h"
#include "base/time.h"
#include "storage/circuitbreaker.h"
#include "storage/operationids.h"
#include "storage/ratelimiter.h"
#include "storage/tableservice.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace Storage {

/// Bounds of one kind of call. docs/design/platform-clients.md gives the reasons.
struct LanePolicy
{
    /// Time for one attempt.
    Base::Duration callTimeout = std::chrono::milliseconds(800);
    /// From a call's arrival until it must have left for the last time.
    Base::Duration longestWait = std::chrono::milliseconds(2000);
    /// Attempts at one call, the first included.
    std::uint32_t largestAttempts = 3;
    /// Before the second attempt; doubles with each.
    Base::Duration retryDelay = std::chrono::milliseconds(50);
    std::size_t largestInFlight = 32;
    std::size_t largestWaiting = 512;
    /// Calls that may leave at once after a pause.
    int burst = 4;
    CircuitBreakerPolicy breaker;
};

/// Whether a call can pass under \a policy.
bool isUsable(const LanePolicy &policy);

enum class CallKind {
    Read, ///< Changes nothing: may be tried again after a lost answer.
    Write,
};

/// How one attempt ended below.
enum class AttemptEnd {
    Answered, ///< The service said what came of it.
    NotDone,  ///< Certainly without effect.
    Unknown,  ///< No answer.
};

/// One kind of call to a service of the platform: what waits, what is on its way, what is
/// tried again, and when it ends. Knows ids only; a gateway knows what the calls say.
///
/// Load patterns answered: a slow service (timeouts and the bound on calls in flight keep the
/// memory and the wait bounded), an outage (circuit breaker), a surge (rate and bounded
/// queue: what can't leave in time ends as NotDone, which is true since it never left).
class CallLane
{
public:
    /// An attempt that has to be sent below.
    struct Attempt
    {
        OperationId call = 0;
        OperationId attempt = 0;
    };

    /// A call that ends without the service's answer.
    struct End
    {
        OperationId call = 0;
        /// A write that left and was not answered. Never false for one that may take effect.
        bool mayHaveEffect = false;
    };

    CallLane(CallKind kind, const LanePolicy &policy, OperationIds &attempts,
             Base::RandomSource &random);

    /// Takes a call in; it leaves or ends with the next advance().
    void add(OperationId call) { m_arrived.push_back(call); }
    void setRate(double perSecond) { m_rate.setRate(perSecond); }
    /// \a mayTry: whether a trial may leave while the breaker is open.
    void advance(Base::TimePoint now, bool mayTry);
    /// The call whose answer this is. Empty: late, doubled, or the call goes on or has ended
    /// otherwise (see takeEnds()).
    std::optional<OperationId> finishAttempt(OperationId attempt, AttemptEnd end,
                                             Base::TimePoint now);

    std::vector<Attempt> takeAttempts() { return std::exchange(m_attempts, {}); }
    std::vector<End> takeEnds() { return std::exchange(m_ends, {}); }
    Base::TimePoint nextDue() const;
    /// When a call added then would leave at once. With the breaker open: now, to be refused.
    Base::TimePoint readyAt() const;

    bool isClosed() const { return m_breaker.isClosed(); }
    /// The breaker wants a trial and no call is there to be one.
    bool isTrialMissing(Base::TimePoint now) const
    {
        return m_breaker.isTrialDue(now) && m_arrived.empty();
    }
    bool isBreakerOpen() const { return m_breaker.isOpen(); }
    Base::TimePoint trialAt() const { return m_breaker.trialAt(); }
    std::size_t inFlight() const { return m_inFlight.size(); }
    std::size_t waiting() const { return m_waiting.size() + m_delayed.size(); }

private:
    struct Call
    {
        OperationId id = 0;
        Base::TimePoint deadline;
        std::uint32_t attempts = 0;
    };

    struct InFlight
    {
        Call call;
        Base::TimePoint timeoutAt;
    };

    void takeArrived(Base::TimePoint now);
    void expire(Base::TimePoint now);
    void wakeDelayed(Base::TimePoint now);
    void refuseWaiting();
    void send(Base::TimePoint now, std::size_t limit);
    void fail(const Call &call, bool mayHaveEffect, Base::TimePoint now);
    void end(OperationId call, bool mayHaveEffect) { m_ends.push_back({call, mayHaveEffect}); }

    CallKind m_kind;
    LanePolicy m_policy;
    OperationIds *m_ids;
    CircuitBreaker m_breaker;
    RateLimiter m_rate;
    std::vector<OperationId> m_arrived;
    /// In order of arrival, since all have the same time to wait.
    std::map<std::pair<Base::TimePoint, OperationId>, Call> m_waiting;
    std::multimap<Base::TimePoint, Call> m_delayed;
    /// By attempt, which is in order of sending and so of timeout.
    std::map<OperationId, InFlight> m_inFlight;
    std::vector<Attempt> m_attempts;
    std::vector<End> m_ends;
};

} // namespace Storage
