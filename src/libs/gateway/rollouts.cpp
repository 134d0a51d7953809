#include "gateway/rollouts.h"

#include "base/hash.h"
#include "gateway/boottime.h"
#include "gateway/eventlog.h"

#include <algorithm>
#include <utility>

namespace Gateway {

namespace {

/// The part of the time to stop a bad version for which a proof of the store's data lets a host
/// decide. Hosts that hear of no newer proof stop sending requests to the new version as well.
constexpr double proofPart = 0.4;

} // namespace

Rollouts::Rollouts(boost::asio::io_context &io, const GatewaySettings &settings,
                   const StoreProtocol &protocol, const StoreReplica &replica,
                   const FleetView &fleet, EventLog &log, GatewayMetrics &metrics,
                   RolloutListener &listener)
    : m_replica(&replica)
    , m_fleet(&fleet)
    , m_log(&log)
    , m_metrics(&metrics)
    , m_listener(&listener)
    , m_traffic(settings.rollouts.value_or(Routing::RolloutBounds()))
    , m_sums(settings.zone)
{
    if (!settings.rollouts)
        return;
    m_proofLength =
        std::chrono::duration_cast<Base::Duration>(settings.rollouts->rollBack * proofPart);
    m_decider = std::make_unique<RolloutDecider>(
        io, settings.storeAddress, protocol, log,
        [this](const Routing::RolloutState &state) { takeState(state, bootTimeNow()); });
}

void Rollouts::takeState(const Routing::RolloutState &state, Base::TimePoint confirmedAt)
{
    const Base::TimePoint now = bootTimeNow();
    if (!m_traffic.setState(state, confirmedAt, now))
        return;
    m_log->write(LogLine("rollout.phase")
                     .add("service", state.order.service)
                     .add("to", state.order.version)
                     .add("order", state.order.revision)
                     .add("phase", Routing::nameOf(state.phase))
                     .add("revision", state.revision),
                 now);
    m_metrics->rolloutPhaseChanged(state.order.service, Routing::nameOf(state.phase));
    if (state.phase == Routing::RolloutPhase::Completed) {
        // The old servers stop now.
        m_metrics->rolloutAnswersCut(state.order.service, m_traffic.runningAtOldVersions(state));
    }
    m_listener->rolloutStateChanged();
}

bool Rollouts::isDeciding(Base::TimePoint now) const
{
    const std::optional<Base::TimePoint> &proofAt = m_replica->ownProofAt();
    return m_replica->isKnown() && proofAt && now - *proofAt < m_proofLength
           && m_fleet->isFirstLeader(now);
}

void Rollouts::advance(Base::TimePoint now)
{
    if (!isEnabled())
        return;
    m_sums.advance(now);
    m_traffic.setHosts(m_fleet->others().possibleHosts);
    if (!isDeciding(now)) {
        m_decider->stop();
        return;
    }
    const std::vector<Routing::RolloutOrder> orders = m_replica->rolloutOrders().orders();
    const std::vector<Routing::RolloutState> states = m_traffic.states();
    const bool isAnyOpen = std::ranges::any_of(
        states, [](const Routing::RolloutState &it) { return !Routing::isFinal(it.phase); });
    if (orders.empty() && !isAnyOpen)
        return;
    m_decider->advance(
        {orders, m_sums.ofFleet(m_traffic.evidence(), now), m_replica->servers().versions()}, now);
    if (!m_decider->isReady())
        return;
    for (const Routing::RolloutState &it : states)
        m_traffic.setState(it, *m_replica->ownProofAt(), now);
}

void Rollouts::ordersChanged()
{
    if (!isEnabled())
        return;
    m_traffic.setOrders(m_replica->rolloutOrders().orders());
    m_newVersions.ordersKnown(m_replica->operatorVersion());
}

void Rollouts::serversChanged()
{
    if (!isEnabled())
        return;
    m_traffic.setServers(m_replica->servers().servers());
    m_newVersions.serversListed(m_replica->servers().versions(), m_replica->serversVersion());
}

void Rollouts::addTo(HostReport &report, Base::TimePoint now) const
{
    if (!isEnabled())
        return;
    for (const Routing::RolloutState &it : m_traffic.states()) {
        RolloutReport known{it, std::nullopt};
        const std::optional<Base::TimePoint> at = m_traffic.confirmedAt(it.order.service);
        if (at && *at != Base::TimePoint::min() && *at <= now)
            known.confirmedAge = std::chrono::ceil<Base::Milliseconds>(now - *at);
        report.rollouts.push_back(std::move(known));
    }
    if (report.scope == ReportScope::Host)
        report.rolloutEvidence = m_traffic.evidence();
    else if (report.scope == ReportScope::Zone)
        report.rolloutEvidence = m_sums.ofZone(m_traffic.evidence(), now);
}

void Rollouts::apply(const HostReport &report, Base::TimePoint now)
{
    if (!isEnabled())
        return;
    for (const RolloutReport &it : report.rollouts) {
        takeState(it.state, it.confirmedAge ? now - *it.confirmedAge : Base::TimePoint::min());
    }
    m_sums.apply(report, now);
}

Routing::VersionRule Rollouts::rule(const AcceptedRequest &accepted,
                                    const std::optional<std::string> &boundTo,
                                    Base::TimePoint now) const
{
    if (!isEnabled())
        return {};
    if (boundTo) {
        Routing::VersionRule bound;
        if (!m_traffic.mayContinue(accepted.service, *boundTo, now)
            || m_newVersions.held(accepted.service).contains(*boundTo))
            bound.barred.insert(*boundTo);
        return bound;
    }
    Routing::VersionRule rule = m_traffic.rule(accepted.service, accepted.route->name,
                                               Base::stableHash(accepted.requestId), now);
    rule.barred.merge(m_newVersions.held(accepted.service));
    return rule;
}

void Rollouts::attemptSent(const AcceptedRequest &accepted, const std::string &softwareVersion)
{
    if (!isEnabled())
        return;
    m_traffic.recordSent(accepted.service, accepted.route->name, softwareVersion);
    if (m_traffic.isActive(accepted.service))
        m_metrics->rolloutRequestSent(accepted.service, softwareVersion);
}

void Rollouts::attemptEnded(const AcceptedRequest &accepted, const ComparedAttempt &attempt)
{
    if (!isEnabled())
        return;
    m_traffic.recordEnded(accepted.service, attempt.softwareVersion);
    // A server that warms up is slow whatever its version.
    if (!attempt.sample || attempt.sentAt < m_replica->servers().warmUntil(attempt.server))
        return;
    m_traffic.recordAnswer(accepted.service, accepted.route->name, attempt.softwareVersion,
                           *attempt.sample);
}

} // namespace Gateway
