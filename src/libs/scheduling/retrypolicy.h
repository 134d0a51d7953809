#pragma once

#include "base/random.h"
#include "base/result.h"
#include "base/time.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace Scheduling {

class RetryBudget;

/// What is known about whether failed attempts ran at a server.
enum class AttemptExecution {
    NeverSent, ///< No byte was sent, so it did not run.
    Refused,   ///< The server reported that it did not run it.
    MaybeRan,  ///< It was sent in whole or in part.
};

/// What the decision after a failed attempt depends on.
struct FailedAttempt
{
    /// Summarises all attempts so far: MaybeRan once any of them may have run, even if the last
    /// one, or an attempt to resume it, was never sent.
    AttemptExecution ran = AttemptExecution::MaybeRan;
    /// Whether the caller marked the work as repeatable.
    bool isRepeatable = true;
    /// Whether a part of the answer has been sent to the caller.
    bool isAnswerStarted = false;
    /// Whether the server named a stream that can be resumed. False again after an attempt to
    /// resume it was refused or did not reach the server.
    bool isStreamResumable = false;
    /// Number of attempts at the request so far, including the failed one and resumptions.
    std::uint32_t attempts = 1;
    /// Time left until the caller's deadline; empty if the caller gave none.
    std::optional<Base::Duration> deadlineWithin;
    /// Pause that the server requested before the next attempt, if it did.
    std::optional<Base::Duration> serverRetryAfter;
};

/// What to do after a failed attempt.
enum class RetryStep {
    Retry,        ///< Make a new attempt at any server of the pool.
    ResumeStream, ///< Resume the stream at the same server from the first missing part.
    GiveUp,       ///< Report the failure to the caller.
};

/// The step that follows a failed attempt, and when.
struct RetryDecision
{
    RetryStep step = RetryStep::GiveUp;
    /// Pause before the step.
    Base::Duration after{0};
};

/// Thresholds of the retry policy.
struct RetryPolicyLimits
{
    /// Largest number of attempts at one request, including the first. A third failure is
    /// seldom chance.
    std::uint32_t maxAttempts = 3;
    /// Upper bound of the pause before the second attempt; it doubles with each further attempt
    /// up to maxBackoff. It is short because a retry queues for a permit again and usually gets
    /// another server.
    Base::Duration initialBackoff = std::chrono::milliseconds(50);
    Base::Duration maxBackoff = std::chrono::milliseconds(2000);
};

/// Decides what to do after a failed attempt.
///
/// Connections are cut, and servers restart or refuse work for a moment. Without retries, callers
/// would see each restart. With unconditional retries, work would run twice and the load would
/// multiply. A new attempt is therefore made only if it is known that nothing ran, or if the work
/// is repeatable and the caller has received nothing of the answer. A stream that has begun is
/// only resumed, never started again, because a second answer would differ from the first.
/// Hedging (a second attempt before the first has failed) is not done; see
/// docs/design/retry-budget.md for the derivation.
class RetryPolicy
{
public:
    /// Fails with InvalidPolicy if a threshold is out of range.
    static Base::Result<RetryPolicy> create(const RetryPolicyLimits &limits);

    /// Decides the next step. Takes one retry from \a budget unless the step is GiveUp.
    RetryDecision decide(const FailedAttempt &failed, RetryBudget &budget,
                         Base::RandomSource &random) const;

private:
    explicit RetryPolicy(const RetryPolicyLimits &limits);

    static RetryStep allowedStep(const FailedAttempt &failed);
    Base::Duration backoff(const FailedAttempt &failed, Base::RandomSource &random) const;

    RetryPolicyLimits m_limits;
};

} // namespace Scheduling
