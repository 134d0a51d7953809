#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "gateway/fleetview.h"
#include "gateway/hostreport.h"
#include "routing/crashhistory.h"
#include "routing/streamorigins.h"

#include <map>

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
/// which requests servers have ended, and which software version began each stream.
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

    Routing::StreamOrigins &streamOrigins() { return m_streamOrigins; }

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
    Routing::StreamOrigins m_streamOrigins;
};

} // namespace Gateway
