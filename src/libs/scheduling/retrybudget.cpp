#include "scheduling/retrybudget.h"

#include "scheduling/policyerror.h"

#include <algorithm>

namespace Scheduling {

Base::Result<RetryBudget> RetryBudget::create(const RetryBudgetPolicy &policy)
{
    if (policy.share < 0 || policy.share > 1)
        return boost::leaf::new_error(InvalidPolicy{PolicyField::RetryShare});
    if (policy.burst < 1)
        return boost::leaf::new_error(InvalidPolicy{PolicyField::RetryBurst});
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
