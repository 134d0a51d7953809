#pragma once

#include "base/time.h"
#include "routing/decayingsum.h"
#include "routing/fleetload.h"

namespace Routing {

/// The work that the servers of a plain application have at one moment.
struct PlainWork
{
    /// The number of requests that all servers run at once.
    double slots = 0;
    double busySlots = 0;
    double queued = 0;
};

/// Decides which requests of a plain application are admitted when more arrive in the whole fleet
/// than its servers can answer in time.
///
/// Servers answer in order of arrival. If a little more arrives than they can do, their queues fill
/// within a second, and from then on nearly every answer is late although most could be on time.
/// The counts of what runs at the servers are half a second old and cannot prevent that: dozens of
/// hosts fill the same queue at the same moment, and then all refuse. Therefore each host admits
/// the same share of its requests, so that all hosts together send somewhat less than the servers
/// can do, and refuses the others at once.
///
/// What the servers can do is observed: the answers of all hosts grow with the busy slots until all
/// slots are busy. A server that hangs keeps its slots busy and answers nothing, so it counts for
/// nothing.
class OverloadGate
{
public:
    void recordArrival(Base::TimePoint now) { m_arrivals.add({}, 1, now); }
    void recordAnswer(Base::TimePoint now) { m_answers.add({}, 1, now); }
    /// Sets the recent use of the application through all other hosts.
    void setPeerUse(const ServiceUse &use) { m_peerUse = use; }
    /// Returns the recent use of the application through this host.
    ServiceUse use(Base::TimePoint now) const;
    /// Records the work of the servers. Must be called several times a second.
    void recordWork(const PlainWork &work, Base::TimePoint now);
    /// Decides on one request, whose arrival has been recorded.
    bool admit(Base::TimePoint now);

private:
    DecayingSum m_arrivals;
    DecayingSum m_answers;
    ServiceUse m_peerUse;
    /// The servers' work; the number of busy slots is a mean with the decay of the sums.
    PlainWork m_work;
    Base::TimePoint m_recordedAt{};
    /// The part of the next admitted request that has accrued.
    double m_accrued = 0;
};

} // namespace Routing
