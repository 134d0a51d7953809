#pragma once

#include "scheduling/retrybudget.h"
#include "scheduling/retrypolicy.h"

#include <cstddef>

namespace SchedulingModels {

using namespace Scheduling;

/// Returns the mean number of attempts for each request when every attempt fails. \a retryShare is
/// that of the retry budget. The first 100 of 1100 requests are not counted, since the budget's
/// initial allowance is spent on them.
inline double attemptsPerRequest(double retryShare)
{
    RetryBudget budget = *RetryBudget::create({retryShare, 10});
    const RetryPolicy policy = *RetryPolicy::create({});
    Base::SeededRandom random(20261);
    std::size_t attempts = 0;
    for (int i = 0; i < 1100; ++i) {
        budget.recordFirstAttempt();
        FailedAttempt failed;
        failed.ran = AttemptExecution::NeverSent;
        while (policy.decide(failed, budget, random).step == RetryStep::Retry)
            ++failed.attempts;
        attempts += i >= 100 ? failed.attempts : 0;
    }
    return double(attempts) / 1000;
}

} // namespace SchedulingModels
