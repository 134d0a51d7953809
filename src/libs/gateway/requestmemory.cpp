#include "gateway/requestmemory.h"

namespace Gateway {

using Source = Routing::StreamOrigins::Source;

RequestMemory::RequestMemory(const Base::ZoneId &zone, const FleetView &fleet,
                             const Routing::ServerLife &life, RequestMemoryListener &listener)
    : m_zone(zone)
    , m_fleet(&fleet)
    , m_listener(&listener)
    , m_crashes(life)
    , m_parts(life)
{}

void RequestMemory::recordServerEnd(const Routing::RequestContent &content,
                                    const Routing::ServerEnd &end, Base::TimePoint now)
{
    if (m_crashes.recordEnd(content, end, now))
        m_listener->reportWanted(m_crashes.ends(content, now) > 1);
}

void RequestMemory::recordServed(const Routing::RequestContent &content, Base::TimePoint now)
{
    m_crashes.recordServed(content, now);
}

std::optional<std::uint64_t> RequestMemory::blockedPart(std::span<const Routing::PromptPart> parts,
                                                        Base::TimePoint now)
{
    return m_parts.blockedPart(parts, now);
}

void RequestMemory::recordPartsEnd(std::span<const Routing::PromptPart> parts,
                                   const Routing::ServerEnd &end, Base::TimePoint now)
{
    if (m_parts.recordEnd(parts, end, now))
        m_listener->reportWanted(true);
}

void RequestMemory::recordPartsSound(std::span<const Routing::PromptPart> parts,
                                     Base::TimePoint beganAt, Base::TimePoint now)
{
    m_parts.recordSound(parts, beganAt, now);
}

void RequestMemory::recordStreamBegun(Routing::StreamId stream,
                                      const Routing::ServiceVersion &origin, Base::TimePoint now)
{
    // Another host that does not know the version yet would let the stream go on at the one it
    // knows.
    if (m_streamOrigins.recordBegun(stream, origin, now))
        m_listener->reportWanted(true);
}

void RequestMemory::addTo(HostReport &report, Base::TimePoint now) const
{
    const bool isOfZone = report.scope == ReportScope::Zone;
    report.crashes = m_crashes.recent(now);
    report.parts = m_parts.recent(now);
    report.streams = m_streamOrigins.reports(isOfZone ? Source::OwnZone : Source::OtherZone, now);
}

void RequestMemory::apply(const HostReport &report, bool isNewStart, Base::TimePoint now)
{
    const bool relays = m_fleet->isLarge() && m_fleet->isLeader(now);
    const bool isOfOwnZone = report.self.zone == m_zone && report.scope == ReportScope::Host;
    m_crashes.apply(report.crashes, now);
    m_parts.apply(report.parts, now);
    m_streamOrigins.apply(report.streams, isOfOwnZone ? Source::OwnZone : Source::OtherZone, relays,
                          now);
    if (!isNewStart)
        return;
    // Streams that ended hosts began are known to others only.
    const bool repeatsAll = relays || !m_fleet->isLarge();
    if (m_streamOrigins.repeatReports(repeatsAll ? Source::OtherZone : Source::Self, now))
        m_listener->reportWanted(false);
}

void RequestMemory::advance(const Routing::ServerVersions &versions, Base::TimePoint now)
{
    m_crashes.advance(now);
    m_parts.advance(now);
    m_streamOrigins.setVersions(versions, now);
    m_streamOrigins.advance(now);
}

} // namespace Gateway
