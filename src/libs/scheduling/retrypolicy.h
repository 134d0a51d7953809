#pragma once

#include "base/random.h"
#include "base/result.h"
#include "base/time.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace Scheduling {

class RetryBudget;

/// What is known of attempts that failed.
enum class AttemptExecution {
    NeverSent, ///< Not one byte left: it certainly did not run.
    Refused,   ///< The server said that it did not run it.
    MaybeRan,  ///< It was sent, wholly or in part.
};

/// All that the decision after a failed attempt looks at.
struct FailedAttempt
{
    /// Of all attempts so far together: MaybeRan once any of them may have run, also if the
    /// last one, or a try to resume it, was never sent.
    AttemptExecution ran = AttemptExecution::MaybeRan;
    /// Whether the caller marked the work as repeatable.
    bool isRepeatable = true;
    /// Whether the caller has been given a part of the answer.
    bool isAnswerStarted = false;
    /// Whether the server named a stream that can be resumed. No longer so once a try to resume
    /// it was refused or did not reach the server.
    bool isStreamResumable = false;
    /// Attempts at the request so far, the failed one included; resumptions count.
    std::uint32_t attempts = 1;
    /// Left of the caller's deadline; empty if it did not say.
    std::optional<Base::Duration> deadlineWithin;
    /// What the server asked for.
    std::optional<Base::Duration> serverRetryAfter;
};

enum class RetryStep {
    Retry,        ///< A new attempt, at any server of the pool.
    ResumeStream, ///< The same stream at the same server, from the part that is missing.
    GiveUp,       ///< The failure goes to the caller.
};

struct RetryDecision
{
    RetryStep step = RetryStep::GiveUp;
    /// Pause before the step.
    Base::Duration after{0};
};

struct RetryPolicyLimits
{
    /// Attempts at one request, the first included. A third failure is seldom chance.
    std::uint32_t largestAttempts = 3;
    /// Upper bound of the pause before the second attempt; doubled with each one more. Short,
    /// since a retry queues for a permit again and mostly gets another server.
    Base::Duration firstBackoff = std::chrono::milliseconds(50);
    Base::Duration longestBackoff = std::chrono::milliseconds(2000);
};

/// Decides what follows a failed attempt.
///
/// Load pattern: connections cut, servers restarting or refusing for a moment. Given up at
/// once, callers see each restart; repeated blindly, work runs twice and load multiplies. So a
/// new attempt is made only where it is known that nothing ran, or where the work is repeatable
/// and its caller has seen nothing of the answer; a stream that has begun is only resumed, never
/// started again, since a second answer would differ from the first. Hedging (a second attempt
/// before the first has failed) is not done: docs/design/retry-budget.md says why.
class RetryPolicy
{
public:
    /// Fails with InvalidPolicy.
    static Base::Result<RetryPolicy> create(const RetryPolicyLimits &limits);

    /// Takes from \a budget when the step is not to give up.
    RetryDecision decide(const FailedAttempt &failed, RetryBudget &budget,
                         Base::RandomSource &random) const;

private:
    explicit RetryPolicy(const RetryPolicyLimits &limits);

    static RetryStep permittedStep(const FailedAttempt &failed);
    Base::Duration backoff(const FailedAttempt &failed, Base::RandomSource &random) const;

    RetryPolicyLimits m_limits;
};

} // namespace Scheduling
