#pragma once

#include "gateway/acceptedrequest.h"
#include "gateway/attemptsampler.h"
#include "gateway/gatewaymetrics.h"
#include "gateway/gatewaysettings.h"
#include "gateway/rolloutdecider.h"
#include "gateway/rolloutevidencesums.h"
#include "gateway/storereplica.h"
#include "routing/rollouttraffic.h"

#include <memory>
#include <optional>
#include <string>

namespace Gateway {

/// Is notified when hosts should learn of a roll-out at once.
class RolloutListener
{
public:
    virtual ~RolloutListener() = default;
    virtual void rolloutStateChanged() = 0;
};

/// Roll-outs at this host: which versions its requests may run at, what it tells other hosts, and
/// the decisions while it decides for the fleet. Does nothing if the settings do not switch
/// roll-outs on.
class Rollouts
{
public:
    /// The references must outlive this object.
    Rollouts(boost::asio::io_context &io, const GatewaySettings &settings,
             const StoreProtocol &protocol, const StoreReplica &replica, const FleetView &fleet,
             EventLog &log, GatewayMetrics &metrics, RolloutListener &listener);

    bool isEnabled() const { return m_decider != nullptr; }
    void advance(Base::TimePoint now);
    void ordersChanged();
    void serversChanged();

    /// Adds what hosts of the report's scope should know. The scope must be set.
    void addTo(HostReport &report, Base::TimePoint now) const;
    void apply(const HostReport &report, Base::TimePoint now);

    /// Returns the versions that may run the request. \a boundTo is the only version that may go on
    /// with its stream, if there is one.
    Routing::VersionRule rule(const AcceptedRequest &accepted,
                              const std::optional<std::string> &boundTo, Base::TimePoint now) const;
    void attemptSent(const AcceptedRequest &accepted, const std::string &softwareVersion);
    void attemptEnded(const AcceptedRequest &accepted, const ComparedAttempt &attempt);

private:
    void takeState(const Routing::RolloutState &state, Base::TimePoint confirmedAt);
    /// Whether this host decides for the fleet.
    bool isDeciding(Base::TimePoint now) const;

    const StoreReplica *m_replica;
    const FleetView *m_fleet;
    EventLog *m_log;
    GatewayMetrics *m_metrics;
    RolloutListener *m_listener;
    Base::Duration m_proofLength{};
    Routing::RolloutTraffic m_traffic;
    Routing::NewVersions m_newVersions;
    RolloutEvidenceSums m_sums;
    /// Null if roll-outs are not switched on.
    std::unique_ptr<RolloutDecider> m_decider;
};

} // namespace Gateway
