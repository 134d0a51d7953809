// What a gateway and the other hosts tell each other.

#include "gateway/gateway.h"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace Gateway {

namespace {

using std::chrono::milliseconds;

/// The least time between two reports of the leader of a zone that are sent early for what happened
/// to requests.
constexpr Base::Duration earlyReportInterval = milliseconds(100);

} // namespace

MemberState Gateway::ownMemberState(Base::TimePoint time) const
{
    MemberState self;
    self.host = m_settings.host;
    self.zone = m_settings.zone;
    self.peerAddress = toString(m_settings.peerAddress);
    self.callerAddress = toString(m_settings.callerAddress);
    self.isLeaving = m_shutdown.has_value();
    self.isServing = isReady() && m_replica->lease().isHeld(time);
    self.isStoreLost = m_replica->isStoreLost(time);
    self.capacity = m_settings.processor;
    self.load = m_entryHosts.load(time);
    return self;
}

HostReport Gateway::ownReport(Base::TimePoint time) const
{
    HostReport report;
    report.self = ownMemberState(time);
    report.incarnation = m_identity.incarnation;
    report.store = m_replica->storeState(time);
    return report;
}

void Gateway::report(Base::TimePoint time)
{
    m_reportedAt = time;
    m_nextReport = time + reportInterval;
    m_entryHosts.setCostFactor(m_backlog.costFactor());
    HostReport own = ownReport(time);
    m_services->report(own.load, time);
    for (const DueReport &order : m_fleet.dueReports(time)) {
        HostReport report = own;
        report.scope = order.scope;
        report.sequence = ++m_identity.sequence;
        m_memory.addTo(report, time);
        m_rollouts->addTo(report, time);
        m_fleet.addOtherHosts(report, order.receivers, time);
        m_fleet.addRelayedUses(report);
        if (order.scope == ReportScope::Host)
            m_fleet.recordSentReport(report.sequence, own.load, time);
        m_reportSender->send(report, order.receivers, time);
    }
    m_fleet.updateTotals(time);
    m_services->peerLoadChanged();
    m_entryHosts.update(m_fleet.servingMembers(time), ownMemberState(time), time);
    limitConnections();
}

void Gateway::reportWanted(bool isUrgent)
{
    // A report of a leader goes to all hosts of its zone.
    if (m_fleet.isLarge() && m_fleet.isLeader(now())) {
        m_nextReport = std::min(m_nextReport, m_reportedAt + earlyReportInterval);
        return;
    }
    m_nextReport = Base::TimePoint{};
    if (!isUrgent)
        return;
    // One report covers all events that are ready now.
    boost::asio::post(m_io, [this] {
        if (m_nextReport == Base::TimePoint{})
            report(now());
    });
}

void Gateway::reportReceived(const HostReport &report)
{
    const Base::TimePoint time = now();
    const bool isNewStart = m_fleet.isNewStart(report);
    if (!m_fleet.receive(report, time))
        return;
    m_memory.apply(report, isNewStart, time);
    m_services->applyPartUses(report.load.partUses, time);
    m_replica->applyReport(report, time);
    m_rollouts->apply(report, time);
}

} // namespace Gateway
