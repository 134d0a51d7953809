#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <map>
#include <set>

namespace Routing {

/// What an answer says about the server that sent it, beyond the request that it answers.
struct ServerNotice
{
    /// The time for which the server wants no requests from this host; zero if it does not say.
    Base::Duration backoff{};
    /// Whether the server announces that it leaves.
    bool isLeaving = false;
    /// Whether the server tells how long work takes on its machine at this moment: it shares that
    /// machine with others.
    bool tellsMachineLoad = false;

    /// Returns whether the server wants fewer requests of this host.
    bool asksForLess() const { return backoff > Base::Duration::zero() || isLeaving; }
    bool isEmpty() const { return !asksForLess() && !tellsMachineLoad; }
};

/// What backend servers announced to this host in their answers.
///
/// A server that is overloaded may ask one host to send it nothing for a while. A later answer
/// neither ends nor shortens that time, since answers may overtake each other. A server that
/// announces that it leaves does so for good. Neither depends on the server's entry in the store,
/// which may be missing for a while or older than the answer; the id of a server that starts again
/// is another one.
class ServerNotices
{
public:
    /// Records \a notice of \a server. Returns whether it is news: the server did not back this
    /// host off before, or has not announced that it leaves.
    bool record(const Base::ServerId &server, const ServerNotice &notice, Base::TimePoint now);

    /// Returns whether \a server has not announced that it wants no requests now.
    bool wantsRequests(const Base::ServerId &server, Base::TimePoint now) const
    {
        return !isLeaving(server) && backoffLeft(server, now) == Base::Duration::zero();
    }
    /// Returns all servers that have announced that they want no requests now.
    std::set<Base::ServerId> unwilling(Base::TimePoint now) const;
    bool isLeaving(const Base::ServerId &server) const { return m_leaving.count(server) > 0; }
    bool tellsMachineLoad(const Base::ServerId &server) const
    {
        return m_tellMachineLoad.count(server) > 0;
    }
    bool tellsAnyMachineLoad() const { return !m_tellMachineLoad.empty(); }
    /// Returns the remaining time for which \a server wants no requests; zero if there is none.
    Base::Duration backoffLeft(const Base::ServerId &server, Base::TimePoint now) const;

private:
    std::map<Base::ServerId, Base::TimePoint> m_backoffEnds;
    std::set<Base::ServerId> m_leaving;
    std::set<Base::ServerId> m_tellMachineLoad;
};

} // namespace Routing
