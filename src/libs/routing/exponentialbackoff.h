#pragma once

#include "base/time.h"

#include <algorithm>

namespace Routing {

/// Pauses between tries that fail one after the other: each is twice as long as the one before.
class ExponentialBackoff
{
public:
    ExponentialBackoff(Base::Duration first, Base::Duration longest)
        : m_first(first)
        , m_longest(longest)
    {}

    /// After a failure. No longer than \a longest, if that is given and shorter than usual.
    Base::Duration next(Base::Duration longest = Base::Duration::max())
    {
        m_last = m_last == Base::Duration::zero() ? m_first : m_last * 2;
        m_last = std::min({m_last, m_longest, longest});
        return m_last;
    }
    /// After a success.
    void reset() { m_last = Base::Duration::zero(); }

private:
    Base::Duration m_first;
    Base::Duration m_longest;
    Base::Duration m_last = Base::Duration::zero();
};

} // namespace Routing
