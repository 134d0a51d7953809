#include "scheduling/retrypolicy.h"

#include "scheduling/policyerror.h"
#include "scheduling/retrybudget.h"

#include <algorithm>

namespace Scheduling {

namespace {

/// Largest number of times that the backoff is doubled. More doublings than this always exceed
/// the largest backoff.
constexpr std::uint32_t maxDoublings = 16;

} // namespace

Base::Result<RetryPolicy> RetryPolicy::create(const RetryPolicyLimits &limits)
{
    if (limits.maxAttempts == 0)
        return boost::leaf::new_error(InvalidPolicy{PolicyField::RetryAttempts});
    if (limits.initialBackoff <= Base::Duration::zero()
        || limits.maxBackoff < limits.initialBackoff)
        return boost::leaf::new_error(InvalidPolicy{PolicyField::RetryBackoff});
    return RetryPolicy(limits);
}

RetryPolicy::RetryPolicy(const RetryPolicyLimits &limits)
    : m_limits(limits)
{}

RetryDecision RetryPolicy::decide(const FailedAttempt &failed, RetryBudget &budget,
                                  Base::RandomSource &random) const
{
    const RetryStep step = allowedStep(failed);
    if (step == RetryStep::GiveUp || failed.attempts >= m_limits.maxAttempts)
        return {};
    const Base::Duration after = backoff(failed, random);
    if (failed.deadlineWithin && *failed.deadlineWithin <= after)
        return {};
    // The budget is checked last, so that only a step that is made takes from it.
    if (!budget.takeRetry())
        return {};
    return {step, after};
}

/// Assumes that the work may have run unless the opposite is known. Work that is not repeatable
/// is then not sent again, but its stream may be resumed, because that runs nothing again.
RetryStep RetryPolicy::allowedStep(const FailedAttempt &failed)
{
    const bool mayHaveRun = failed.ran == AttemptExecution::MaybeRan;
    if (mayHaveRun && failed.isStreamResumable)
        return RetryStep::ResumeStream;
    if (failed.isAnswerStarted)
        return RetryStep::GiveUp;
    return !mayHaveRun || failed.isRepeatable ? RetryStep::Retry : RetryStep::GiveUp;
}

/// Returns a random pause, evenly distributed between zero and the bound, so that the streams of
/// a failed server are not all retried at the same time.
Base::Duration RetryPolicy::backoff(const FailedAttempt &failed, Base::RandomSource &random) const
{
    const std::uint32_t doublings = std::min(std::max(failed.attempts, 1U) - 1, maxDoublings);
    const Base::Duration bound =
        std::min(m_limits.initialBackoff * (1U << doublings), m_limits.maxBackoff);
    const auto ticks = static_cast<std::uint64_t>(bound.count()) + 1;
    const Base::Duration pause(static_cast<Base::Duration::rep>(random.next() % ticks));
    return failed.serverRetryAfter.value_or(Base::Duration::zero()) + pause;
}

} // namespace Scheduling
