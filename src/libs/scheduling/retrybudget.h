#pragma once

#include "base/result.h"

namespace Scheduling {

/// Thresholds of the budget; docs/design/retry-budget.md has the measurements.
struct RetryBudgetPolicy
{
    /// Retries allowed for each first attempt, in the long run. A tenth carries the loss of one
    /// server in ten at a time, and at worst makes a tenth more load.
    double share = 0.1;
    /// Retries allowed at once after a quiet time: one server's streams of one router.
    double burst = 10;
};

/// Bounds the share of retries in all attempts of one router.
///
/// Load pattern: a backend server dies under full load. Retried without bound, each request
/// comes up to its largest number of attempts, and the servers that are left fail next. Each
/// router keeps its own budget, so the share holds for the fleet without a message.
class RetryBudget
{
public:
    /// Fails with InvalidPolicy.
    static Base::Result<RetryBudget> create(const RetryBudgetPolicy &policy);

    void recordFirstAttempt();
    /// Takes one retry from the budget; false when there is none left.
    bool takeRetry();
    double available() const { return m_available; }

private:
    explicit RetryBudget(const RetryBudgetPolicy &policy);

    RetryBudgetPolicy m_policy;
    double m_available;
};

} // namespace Scheduling
