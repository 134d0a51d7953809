#pragma once

#include "base/time.h"

#include <optional>

namespace Routing {

/// How long customers' keys may be used without a new proof that the configuration is current.
///
/// A key that was taken away must not be used later than a few seconds after, also by a host
/// that is cut off from the store, or was suspended: it cannot know of the change, so it stops
/// using all keys by itself. A proof is an answer of the store; it counts from the moment at
/// which the question was sent, since the answer may have been under way for as long as it took.
/// The clock given must count the time for which the host was suspended.
class ConfigurationLease
{
public:
    explicit ConfigurationLease(Base::Duration length)
        : m_length(length)
    {}

    /// The store answered a question that was sent at \a askedAt: what is known is current.
    void confirm(Base::TimePoint askedAt)
    {
        if (!m_confirmed || askedAt > *m_confirmed)
            m_confirmed = askedAt;
    }
    bool isHeld(Base::TimePoint now) const { return m_confirmed && now - *m_confirmed < m_length; }
    void setLength(Base::Duration length) { m_length = length; }
    std::optional<Base::Duration> age(Base::TimePoint now) const
    {
        if (!m_confirmed)
            return std::nullopt;
        return now - *m_confirmed;
    }

private:
    Base::Duration m_length;
    std::optional<Base::TimePoint> m_confirmed;
};

} // namespace Routing
