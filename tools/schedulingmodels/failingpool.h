#pragma once

#include "scheduling/retrybudget.h"
#include "scheduling/retrypolicy.h"

#include <cstddef>

namespace SchedulingModels {

using namespace Scheduling;

/// Attempts for each request when every attempt fails, in the second hundred of requests.
inline double attemptsPerRequest(double share)
{
    RetryBudget budget = *RetryBudget::create({share, 10});
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
