#include "node/peermessage.h"

namespace Node {

namespace {

using Coordination::TrafficKind;

struct TrafficKindVisitor
{
    TrafficKind operator()(const Coordination::Heartbeat &) const
    {
        return TrafficKind::Heartbeats;
    }
    TrafficKind operator()(const ServiceCharge &) const { return TrafficKind::Charges; }
    TrafficKind operator()(const Coordination::LedgerDelta &) const { return TrafficKind::Ledger; }
    TrafficKind operator()(const ConfigurationPush &) const { return TrafficKind::Configuration; }
    TrafficKind operator()(const ConfigurationSnapshot &) const
    {
        return TrafficKind::Configuration;
    }
    TrafficKind operator()(const ConfigurationPull &) const { return TrafficKind::Configuration; }
    template <typename Permit>
    TrafficKind operator()(const Permit &) const
    {
        return TrafficKind::Permits;
    }
};

} // namespace

Coordination::TrafficKind trafficKind(const PeerMessage &message)
{
    return std::visit(TrafficKindVisitor(), message);
}

} // namespace Node
