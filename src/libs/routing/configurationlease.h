#pragma once

#include "base/time.h"

#include <optional>

namespace Routing {

/// Limits the time for which customers' keys may be used without new confirmation that the
/// configuration is current.
///
/// A revoked key must not be accepted for longer than a few seconds, also by a host that is cut off
/// from the store or was suspended. Such a host cannot learn of the revocation, so it stops
/// accepting all keys by itself when the lease expires. An answer of the store renews the lease.
/// The lease counts from the time at which the request was sent, since the state in the answer may
/// be as old as that. The given clock must include the time for which the host was suspended.
class ConfigurationLease
{
public:
    explicit ConfigurationLease(Base::Duration length)
        : m_length(length)
    {}

    /// Records that the store answered a request that was sent at \a askedAt. The known
    /// configuration was current then.
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
