#include "scheduling/retrybudget.h"

#include <algorithm>

namespace Scheduling {

Base::Result<RetryBudget> RetryBudget::create(const RetryBudgetPolicy &policy)
{
    return RetryBudget(policy);
}

RetryBudget::RetryBudget(const RetryBudgetPolicy &policy)
    : m_policy(policy)
    , m_available(policy.burst)
{}

void RetryBudget::recordFirstAttempt()
{
    m_available = std::min(m_policy.burst, m_available + m_policy.share);
}

bool RetryBudget::takeRetry()
{
    if (m_available < 1)
        return false;
    m_available -= 1;
    return true;
}

} // namespace Scheduling
