#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "gateway/hostreport.h"
#include "routing/answersamples.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Gateway {

/// Sums up what the hosts saw of roll-outs, from their reports.
///
/// In a large fleet the leader of a zone reports the sum of its zone to the other leaders. A host
/// is counted once: by the report of its zone, or else by its own.
class RolloutEvidenceSums
{
public:
    explicit RolloutEvidenceSums(const Base::ZoneId &zone)
        : m_zone(zone)
    {}

    void apply(const HostReport &report, Base::TimePoint now);
    /// Returns \a own and what the hosts of this zone reported.
    std::vector<Routing::RolloutEvidence> ofZone(const std::vector<Routing::RolloutEvidence> &own,
                                                 Base::TimePoint now) const;
    /// Returns \a own and what all hosts reported.
    std::vector<Routing::RolloutEvidence> ofFleet(const std::vector<Routing::RolloutEvidence> &own,
                                                  Base::TimePoint now) const;
    /// Forgets reports that are too old.
    void advance(Base::TimePoint now);

private:
    struct Received
    {
        Base::ZoneId zone;
        ReportScope scope = ReportScope::Host;
        Base::TimePoint at;
        std::vector<Routing::RolloutEvidence> evidence;
    };

    Base::ZoneId m_zone;
    /// The last report of each host that saw anything of a roll-out.
    std::map<Base::HostId, Received> m_received;
};

} // namespace Gateway
