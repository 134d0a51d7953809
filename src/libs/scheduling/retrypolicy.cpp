#include "scheduling/retrypolicy.h"

#include "scheduling/policyerror.h"
#include "scheduling/retrybudget.h"

#include <algorithm>

namespace Scheduling {

namespace {

/// Beyond this many doublings every backoff is the longest one.
constexpr std::uint32_t largestDoublings = 16;

} // namespace

Base::Result<RetryPolicy> RetryPolicy::create(const RetryPolicyLimits &limits)
{
    if (limits.largestAttempts == 0)
        return boost::leaf::new_error(InvalidPolicy{PolicyField::RetryAttempts});
    if (limits.firstBackoff <= Base::Duration::zero()
        || limits.longestBackoff < limits.firstBackoff)
        return boost::leaf::new_error(InvalidPolicy{PolicyField::RetryBackoff});
    return RetryPolicy(limits);
}

RetryPolicy::RetryPolicy(const RetryPolicyLimits &limits)
    : m_limits(limits)
{}

RetryDecision RetryPolicy::decide(const FailedAttempt &failed, RetryBudget &budget,
                                  Base::RandomSource &random) const
{
    const RetryStep step = permittedStep(failed);
    if (step == RetryStep::GiveUp || failed.attempts >= m_limits.largestAttempts)
        return {};
    const Base::Duration after = backoff(failed, random);
    if (failed.deadlineWithin && *failed.deadlineWithin <= after)
        return {};
    // Last, so that only a step that is taken costs the budget.
    if (!budget.takeRetry())
        return {};
    return {step, after};
}

/// The work may have run unless the opposite is known. Work that is not repeatable is then not
/// sent again, but its stream may be taken up where it broke off: that runs nothing anew.
RetryStep RetryPolicy::permittedStep(const FailedAttempt &failed)
{
    const bool mayHaveRun = failed.ran == AttemptExecution::MaybeRan;
    if (mayHaveRun && failed.isStreamResumable)
        return RetryStep::ResumeStream;
    if (failed.isAnswerStarted)
        return RetryStep::GiveUp;
    return !mayHaveRun || failed.isRepeatable ? RetryStep::Retry : RetryStep::GiveUp;
}

/// Evenly between nothing and the bound, so that the streams of one dead server do not come
/// back in one instant.
Base::Duration RetryPolicy::backoff(const FailedAttempt &failed, Base::RandomSource &random) const
{
    const std::uint32_t doublings = std::min(std::max(failed.attempts, 1U) - 1, largestDoublings);
    const Base::Duration bound =
        std::min(m_limits.firstBackoff * (1U << doublings), m_limits.longestBackoff);
    const auto ticks = static_cast<std::uint64_t>(bound.count()) + 1;
    const Base::Duration pause(static_cast<Base::Duration::rep>(random.next() % ticks));
    return failed.serverRetryAfter.value_or(Base::Duration::zero()) + pause;
}

} // namespace Scheduling
