#pragma once

#include "base/result.h"
#include "base/time.h"

namespace Scheduling {

struct RetryBudgetPolicy
{
    /// Retries allowed for each first attempt, in the long run.
    double share = 0.1;
    /// Retries allowed at once after a quiet time.
    double burst = 10;
};

/// Bounds the share of retries in all attempts, so that a dying backend server cannot turn
/// into a retry storm.
class RetryBudget
{
public:
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
