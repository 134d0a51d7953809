#pragma once

#include "base/result.h"

namespace Scheduling {

/// Thresholds of the retry budget. docs/design/retry-budget.md derives them.
struct RetryBudgetPolicy
{
    /// Number of retries allowed per first attempt in the long run. A tenth covers the loss of
    /// one server in ten at a time and adds at most a tenth to the load.
    double share = 0.1;
    /// Number of retries allowed at once after a time without retries. The default is the number
    /// of streams that one router has at one server.
    double burst = 10;
};

/// Limits the share of retries among all attempts of one router.
///
/// When a backend server fails under full load, unlimited retries would send each request up to
/// its largest number of attempts and overload the remaining servers, which then fail as well.
/// Each router keeps its own budget, so the limit holds for the whole fleet without any messages.
class RetryBudget
{
public:
    /// Fails with InvalidPolicy if a threshold is out of range.
    static Base::Result<RetryBudget> create(const RetryBudgetPolicy &policy);

    /// Adds the share of one first attempt to the budget, up to the burst.
    void recordFirstAttempt();
    /// Takes one retry from the budget; returns false if none is left.
    bool takeRetry();
    /// Number of retries left; fractions add up with first attempts.
    double available() const { return m_available; }

private:
    explicit RetryBudget(const RetryBudgetPolicy &policy);

    RetryBudgetPolicy m_policy;
    double m_available;
};

} // namespace Scheduling
