#include "gateway/regionlinkbudget.h"

#include <algorithm>

namespace Gateway {

namespace {

/// The part of a second's bytes that may be saved for later. A pause in the reports must not lead
/// to a burst.
constexpr double maxSavedSeconds = 0.4;

} // namespace

void RegionLinkBudget::setLimit(std::size_t bytesPerSecond, std::size_t senders)
{
    m_bytesPerSecond = static_cast<double>(bytesPerSecond)
                       / static_cast<double>(std::max<std::size_t>(senders, 1));
}

bool RegionLinkBudget::isDue(Base::TimePoint now)
{
    refill(now);
    return m_sentAt == Base::TimePoint::min() || m_balance >= 0 || now - m_sentAt >= maxSilence;
}

void RegionLinkBudget::recordSent(std::size_t bytes, Base::TimePoint now)
{
    refill(now);
    m_balance -= static_cast<double>(bytes);
    m_sentAt = now;
}

void RegionLinkBudget::refill(Base::TimePoint now)
{
    if (m_refilledAt != Base::TimePoint::min()) {
        const double seconds = std::chrono::duration<double>(now - m_refilledAt).count();
        m_balance =
            std::min(m_balance + seconds * m_bytesPerSecond, maxSavedSeconds * m_bytesPerSecond);
    }
    m_refilledAt = now;
}

} // namespace Gateway
