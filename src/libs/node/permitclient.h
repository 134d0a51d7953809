#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "coordination/membership.h"
#include "node/environment.h"
#include "node/homeorders.h"
#include "node/homewatch.h"
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

/// What the asking side of permits looks at but does not own.
struct PermitContext
{
    const NodeSettings &settings;
    const Environment &environment;
    const Coordination::Membership &membership;
    const ServerDirectory &directory;
    const PoolHomes &homes;
    const HomeOrderCache &orders;
    Outbox &outbox;
};

/// The entry side of permits: asks the home router of a pool shard for them, watches over the
/// asks, charges and gives back.
class PermitClient
{
public:
    explicit PermitClient(const PermitContext &context);

    /// Asks for a permit for the request's current attempt.
    void requestPermit(OpenRequest &open, Base::TimePoint now);
    /// Takes the ask back.
    void cancelPermitRequest(const OpenRequest &open);
    /// The home has answered for good.
    void stopMonitoring(const OpenRequest &open);
    /// Takes a grant, also from a home that the work was handed to.
    void acceptGrant(OpenRequest &open, const Base::HostId &home, const PermitGrant &grant);
    /// Gives back at once a permit that nobody wants, so that its slot does not idle.
    void declineGrant(const Base::HostId &home, const PermitGrant &grant);
    /// Reports service received while the permit is in use.
    void charge(OpenRequest &open);
    void release(OpenRequest &open, Scheduling::PermitOutcome outcome, Base::TimePoint now);

    /// The usable routers changed: a waiting request asks the new home, a permit in use is told
    /// to it.
    void moveToCurrentHome(OpenRequest &open, Base::TimePoint now);
    HomeMonitor::Difference compare(const Base::HostId &home, const WaitingReply &reply);
    /// Asks again at \a home, which does not know of the ask.
    void resendRequest(const OpenRequest &open, const Base::HostId &home, Base::TimePoint now);
    /// A permit that \a home believes to be in use is not.
    void answerPermitQuery(const AttemptId &attempt, const Base::HostId &home,
                           const Base::PoolId &pool, std::uint32_t shard);
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
    /// The last releases, in case one was lost.
    std::deque<PermitRelease> m_released;
    std::map<Base::PoolId, Scheduling::ShardSelector> m_selectors;
};

} // namespace Node
