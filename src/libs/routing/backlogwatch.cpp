#include "routing/backlogwatch.h"

#include <algorithm>

namespace Routing {

bool BacklogWatch::takesStream(const Work &work, Base::TimePoint now)
{
    const double density = static_cast<double>(work.promptTokens)
                           / static_cast<double>(std::max(work.outputTokens, 1U));
    m_usualDensity += (density - m_usualDensity) * newest;
    const Base::Duration busy = now - m_idleAt;
    if (busy < choosyAfter)
        return true;
    return busy < closedAfter && density >= m_usualDensity;
}

} // namespace Routing
