#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "gateway/fleetview.h"
#include "gateway/hostreport.h"
#include "routing/crashhistory.h"
#include "routing/crashingparts.h"
#include "routing/streamorigins.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace Gateway {

/// Is notified when other hosts should learn something before the next report is due.
class RequestMemoryListener
{
public:
    virtual ~RequestMemoryListener() = default;
    /// If \a isUrgent, a caller may be at another host within a few milliseconds.
    virtual void reportWanted(bool isUrgent) = 0;
};

/// What the hosts remember of requests beyond one try of their callers, and tell each other: under
/// which requests and parts of prompts servers have ended, and which software version began each
/// stream.
class RequestMemory
{
public:
    /// The arguments must outlive the memory.
    RequestMemory(const Base::ZoneId &zone, const FleetView &fleet, const Routing::ServerLife &life,
                  RequestMemoryListener &listener);

    const Routing::CrashHistory &crashes() const { return m_crashes; }
    /// Records that the server of an attempt may have ended under \a content.
    void recordServerEnd(const Routing::RequestContent &content, const Routing::ServerEnd &end,
                         Base::TimePoint now);
    /// Records that a server answered \a content.
    void recordServed(const Routing::RequestContent &content, Base::TimePoint now);

    const Routing::CrashingParts &parts() const { return m_parts; }
    /// Returns the part that forbids to send a request with \a parts; empty if none does.
    std::optional<std::uint64_t> blockedPart(std::span<const Routing::PromptPart> parts,
                                             Base::TimePoint now);
    /// Records that a server ended under a request with \a parts, whose answer had hardly begun.
    void recordPartsEnd(std::span<const Routing::PromptPart> parts, const Routing::ServerEnd &end,
                        Base::TimePoint now);
    /// Records that a server did not end under a request with \a parts.
    void recordPartsSound(std::span<const Routing::PromptPart> parts, Base::TimePoint beganAt,
                          Base::TimePoint now);
    /// Returns the parts that were blocked since the last call.
    std::vector<std::uint64_t> takeNewlyBlockedParts() { return m_parts.takeNewlyBlocked(); }

    /// Records that the first event of \a stream was forwarded by this host.
    void recordStreamBegun(Routing::StreamId stream, const Routing::ServiceVersion &origin,
                           Base::TimePoint now);
    Routing::StreamOrigins &streamOrigins() { return m_streamOrigins; }
    const Routing::StreamOrigins &streamOrigins() const { return m_streamOrigins; }

    /// Adds to a report what hosts of its scope should know. Its scope must be set.
    void addTo(HostReport &report, Base::TimePoint now) const;
    /// Takes in a report. If \a isNewStart, its sender has just started and knows nothing.
    void apply(const HostReport &report, bool isNewStart, Base::TimePoint now);
    /// Notes the versions of the servers in use. Must be called when they change, and every second.
    void advance(const Routing::ServerVersions &versions, Base::TimePoint now);

private:
    Base::ZoneId m_zone;
    const FleetView *m_fleet;
    RequestMemoryListener *m_listener;
    Routing::CrashHistory m_crashes;
    Routing::CrashingParts m_parts;
    Routing::StreamOrigins m_streamOrigins;
};

} // namespace Gateway
