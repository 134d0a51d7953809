#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "coordination/membership.h"
#include "node/environment.h"
#include "node/homemonitor.h"
#include "node/homeordercache.h"
#include "node/nodesettings.h"
#include "node/openrequest.h"
#include "node/outbox.h"
#include "node/poolhomes.h"
#include "node/serverdirectory.h"
#include "scheduling/shardselector.h"

#include <deque>
#include <map>
#include <vector>

namespace Node {

/// The objects that PermitClient uses but does not own. They must outlive it.
struct PermitContext
{
    const NodeSettings &settings;
    const Environment &environment;
    const Coordination::Membership &membership;
    const ServerDirectory &directory;
    const PoolHomes &homes;
    const HomeOrderCache &homeOrders;
    Outbox &outbox;
};

/// Requests permits at the home router of a pool shard on behalf of this entry host, monitors the
/// pending permit requests, reports received service and releases the permits.
class PermitClient
{
public:
    explicit PermitClient(const PermitContext &context);

    /// Requests a permit for the current attempt of the request.
    void requestPermit(OpenRequest &open, Base::TimePoint now);
    /// Cancels the pending permit request at its home.
    void cancelPermitRequest(const OpenRequest &open);
    /// Stops monitoring a permit request that has its final answer.
    void stopMonitoring(const OpenRequest &open);
    /// Accepts a grant. \a home may differ from the home that was requested, because waiting work
    /// can be handed over to another shard.
    void acceptGrant(OpenRequest &open, const Base::HostId &home, const PermitGrant &grant);
    /// Releases a granted permit that no request needs, so that its slot at the backend server
    /// does not stay idle.
    void declineGrant(const Base::HostId &home, const PermitGrant &grant);
    /// Reports to the home the service received so far under a permit in use.
    void charge(OpenRequest &open);
    /// Releases the permit of the request and reports the service received and the times taken.
    void release(OpenRequest &open, Scheduling::PermitOutcome outcome, Base::TimePoint now);

    /// Called when the set of usable routers has changed. If the shard has a new home, sends a
    /// waiting request to it, or reports a permit in use to it.
    void moveToCurrentHome(OpenRequest &open, Base::TimePoint now);
    /// Compares a reply of \a home with the attempts that wait there, and cancels the unwanted
    /// ones.
    HomeMonitor::Difference compare(const Base::HostId &home, const WaitingReply &reply);
    /// Sends the permit request to \a home again, because \a home does not know it.
    void resendRequest(const OpenRequest &open, const Base::HostId &home, Base::TimePoint now);
    /// Replies to a query of \a home about a permit that is not in use. Repeats its release if it
    /// is still remembered; else releases the permit as unused.
    void answerPermitQuery(const AttemptId &attempt, const Base::HostId &home,
                           const Base::PoolId &pool, std::uint32_t shard);
    /// Sends the digests of waiting requests that are due at \a now.
    void sendDigests(Base::TimePoint now);
    std::vector<Base::HostId> takeUnresponsiveHomes() { return m_monitor.takeUnresponsiveHomes(); }

private:
    Base::Incarnation incarnationOf(const Base::HostId &host) const;
    std::uint32_t chooseShard(const Base::PoolId &pool, Base::TimePoint now);
    void waitAtHome(OpenRequest &open, const Base::HostId &home, Base::TimePoint now);
    PermitRequest makePermitRequest(const OpenRequest &open, Base::TimePoint now) const;
    void rememberRelease(const PermitRelease &release);

    PermitContext m_context;
    HomeMonitor m_monitor;
    /// The most recent releases, kept to be repeated if one was lost.
    std::deque<PermitRelease> m_released;
    std::map<Base::PoolId, Scheduling::ShardSelector> m_selectors;
};

} // namespace Node
