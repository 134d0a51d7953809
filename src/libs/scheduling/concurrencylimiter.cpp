#include "scheduling/concurrencylimiter.h"

namespace Scheduling {

Base::Result<ConcurrencyLimiter> ConcurrencyLimiter::create(const ConcurrencyLimits &limits)
{
    return ConcurrencyLimiter(limits);
}

ConcurrencyLimiter::ConcurrencyLimiter(const ConcurrencyLimits &limits)
    : m_limits(limits)
    , m_limit(limits.initial)
{}

void ConcurrencyLimiter::recordPermit(const PermitReport &, std::size_t, Base::TimePoint) {}

void ConcurrencyLimiter::recordLoad(const LoadReport &, Base::TimePoint) {}

void ConcurrencyLimiter::advance(Base::TimePoint) {}

} // namespace Scheduling
