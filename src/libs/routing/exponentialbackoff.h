#pragma once

#include "base/time.h"

#include <algorithm>

namespace Routing {

/// Provides the pauses between attempts that fail one after the other. Each pause is twice as long
/// as the previous one, up to a maximum.
class ExponentialBackoff
{
public:
    ExponentialBackoff(Base::Duration first, Base::Duration longest)
        : m_first(first)
        , m_longest(longest)
    {}

    /// Returns the pause after a failure. \a longest limits this pause further if it is below the
    /// usual maximum.
    Base::Duration next(Base::Duration longest = Base::Duration::max())
    {
        m_last = m_last == Base::Duration::zero() ? m_first : m_last * 2;
        m_last = std::min({m_last, m_longest, longest});
        return m_last;
    }
    /// Starts again with the first pause, after a success.
    void reset() { m_last = Base::Duration::zero(); }

private:
    Base::Duration m_first;
    Base::Duration m_longest;
    Base::Duration m_last = Base::Duration::zero();
};

} // namespace Routing
