#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "routing/answersamples.h"
#include "routing/rollout.h"
#include "routing/serverset.h"
#include "routing/work.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Routing {

/// The software versions that may run a request.
struct VersionRule
{
    /// Versions that must not run the request.
    std::set<std::string> barred;
    /// Empty for most requests.
    std::optional<VersionTrial> trial;
};

/// Decides at one host which software versions its requests may run at while roll-outs are ordered,
/// and counts what it sees of them.
///
/// A bad version must not get more than a share of all requests, over all hosts together. Each host
/// therefore sends the new version at most that share of its own requests, so that no agreement
/// among hosts is needed. A host that has not heard from the deciding host for a while sends it
/// nothing.
///
/// Trials go to so few servers of the new version that these are as busy as the old ones, and from
/// rare routes more often than from frequent ones.
class RolloutTraffic
{
public:
    explicit RolloutTraffic(const RolloutBounds &bounds)
        : m_bounds(bounds)
    {}

    /// Sets the orders that the store holds.
    void setOrders(const std::vector<RolloutOrder> &orders);
    /// Takes a state of a roll-out, unless a newer one is known. \a confirmedAt is the time at
    /// which the deciding host last stood by it. Returns whether the state is a new one.
    bool setState(const RolloutState &state, Base::TimePoint confirmedAt, Base::TimePoint now);
    void setServers(const std::map<Base::ServerId, RegisteredServer> &servers);
    /// Sets the number of hosts that may be running.
    void setHosts(std::size_t hosts) { m_hosts = hosts; }

    /// Returns the latest state of each roll-out.
    std::vector<RolloutState> states() const;
    /// Returns the time at which the deciding host last stood by the state of \a service.
    std::optional<Base::TimePoint> confirmedAt(const std::string &service) const;
    bool isActive(const std::string &service) const;

    /// Returns the versions that may run a request. \a draw is uniformly distributed over requests.
    VersionRule rule(const std::string &service, const std::string &route, std::uint64_t draw,
                     Base::TimePoint now) const;
    /// Returns whether a server of \a version may get a request that is already bound to it, such
    /// as a stream that goes on.
    bool mayContinue(const std::string &service, const std::string &version,
                     Base::TimePoint now) const;

    /// Records that a request was sent to a server of \a version, and that it does not run there
    /// any more.
    void recordSent(const std::string &service, const std::string &route,
                    const std::string &version);
    void recordEnded(const std::string &service, const std::string &version);
    void recordAnswer(const std::string &service, const std::string &route,
                      const std::string &version, const AnswerSample &sample);
    /// Returns what this host has seen of the roll-outs that are not over.
    std::vector<RolloutEvidence> evidence() const;
    /// Returns the number of requests that run here at servers of \a state's old versions.
    std::uint64_t runningAtOldVersions(const RolloutState &state) const;

private:
    struct Known
    {
        std::optional<RolloutOrder> order;
        std::optional<RolloutState> state;
        Base::TimePoint confirmedAt = Base::TimePoint::min();
        /// The time at which this host learned of the phase.
        Base::TimePoint phaseSeenAt{};
        RolloutEvidence evidence;
        std::map<std::string, std::uint64_t> requestsByRoute;
        /// The servers of the new version, in the order in which they are put on trial.
        std::vector<Base::ServerId> newServers;
        /// The number of them that the test load makes as busy as the old ones.
        std::size_t testServers = 1;
        /// The first ones of newServers that are on trial now; made when they are needed.
        mutable std::shared_ptr<const std::set<Base::ServerId>> trialServers;
    };

    const Known *known(const std::string &service) const;
    /// Returns the entry to count for; null if no roll-out of the service is going on.
    Known *counted(const std::string &service);
    bool isFresh(const Known &known, Base::TimePoint now) const;
    bool hasOtherVersion(const std::string &service, const std::string &version) const;
    double trialShare(const Known &known, const std::string &route) const;
    /// Sets the order in which new servers are put on trial.
    void updateTrialServers();
    /// Returns the servers that are as many as \a share of the requests makes busy; null for all.
    static std::shared_ptr<const std::set<Base::ServerId>> trialServers(const Known &known,
                                                                        double share);
    static const std::string &newVersionOf(const Known &known);

    RolloutBounds m_bounds;
    std::size_t m_hosts = 1;
    std::map<std::string, Known> m_known;
    /// The requests of each service that run at servers of each version.
    std::map<std::string, std::map<std::string, std::uint64_t>> m_running;
    /// The usable servers of each service, by their version.
    std::map<std::string, std::map<std::string, std::vector<Base::ServerId>>> m_servers;
};

} // namespace Routing
