#include "platformstandin/weightstore.h"

namespace StandIn {

std::optional<std::chrono::milliseconds> WeightStore::fetch()
{
    using std::chrono::duration_cast;
    const std::lock_guard lock(m_mutex);
    const Clock::time_point now = Clock::now();
    if (now < m_nextAt)
        return std::chrono::ceil<std::chrono::milliseconds>(m_nextAt - now);
    m_nextAt = now + duration_cast<Clock::duration>(std::chrono::duration<double>(1 / m_rate));
    return std::nullopt;
}

} // namespace StandIn
