#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "routing/routingconfiguration.h"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace Routing {

/// Limits how often this host sends requests to a server that is warming up.
///
/// A server that has just started crashes when it gets more than a few requests a second from all
/// hosts together. It is idle, so each of dozens of hosts would choose it for its next request, and
/// reports of what the others sent come too late. Therefore time is divided into short slots, and a
/// hash of the host, the server and the slot decides whether the host may send a request to the
/// server in that slot. In the mean all hosts together may send at the server's rate. No host
/// depends on news of the others, and what a host does not use is not saved up, so that a burst
/// after a pause does not make all hosts send at once.
class WarmUpLimiter
{
public:
    explicit WarmUpLimiter(const Base::HostId &self)
        : m_self(self)
    {}

    /// Sets how the servers of the service warm up; nothing if they take any rate at once.
    void setWarmUp(const std::optional<WarmUp> &warmUp) { m_warmUp = warmUp; }
    /// Sets the largest number of hosts, including this one, that may be running.
    void setHosts(std::size_t hosts) { m_hosts = hosts; }

    /// Returns whether servers of the service have a limit while they warm up.
    bool isLimited() const { return m_warmUp && m_warmUp->requestsPerSecond > 0; }
    /// Returns the time for which a server is to be limited that may have just started.
    Base::Duration presumedWarmUp() const;
    /// Returns whether this host may send a request to \a server at \a now. \a lastSentAt is the
    /// time of this host's last request to it.
    bool isAllowed(const Base::ServerId &server, Base::TimePoint lastSentAt,
                   Base::TimePoint now) const;

private:
    Base::HostId m_self;
    std::optional<WarmUp> m_warmUp;
    std::size_t m_hosts = 1;
};

} // namespace Routing
