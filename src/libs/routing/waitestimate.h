#pragma once

#include "base/time.h"
#include "routing/fairwaitqueue.h"
#include "routing/serverpool.h"
#include "routing/work.h"

#include <cstddef>
#include <optional>

namespace Routing {

/// Estimates when a request can start behind those that wait at this host, and when its caller
/// should come back. Only servers that may run the request count.
class WaitEstimate
{
public:
    /// \a hosts is the number of live hosts that share the servers. The other arguments must
    /// outlive the estimate.
    WaitEstimate(const ServerPool &pool, const FairWaitQueue &waiting, std::size_t hosts)
        : m_pool(&pool)
        , m_waiting(&waiting)
        , m_hosts(hosts)
    {}

    /// Returns the time up to which \a work may wait here.
    static Base::TimePoint latestPlacement(const Work &work);
    /// Returns why no server wants \a work in time, or nothing if one does. How much the servers
    /// have to do does not matter.
    std::optional<RejectionReason> unavailability(const Work &work, Base::TimePoint now) const;
    /// Returns the estimated time that \a work waits behind the waiting requests.
    Base::Duration expectedWait(const Work &work, Base::TimePoint now) const;
    /// Returns the time until a server that may run \a work is expected to have capacity.
    Base::Milliseconds retryAfter(const Work &work, Base::TimePoint now) const;
    /// Returns when callers should come back because all servers asked for no requests; zero if one
    /// of them wants requests, or none of them stays.
    Base::Milliseconds backoffRetryAfter(const Work &work, Base::TimePoint now) const;

private:
    /// Returns this host's part of the reading speed of the servers that may run \a work.
    double drainTokensPerMs(const Work &work, Base::TimePoint now) const;

    const ServerPool *m_pool;
    const FairWaitQueue *m_waiting;
    std::size_t m_hosts;
};

} // namespace Routing
