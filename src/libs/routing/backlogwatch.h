#pragma once

#include "base/time.h"

namespace Routing {

/// Tells whether this host is behind with its own work.
///
/// Load: callers that stay with one small host bring it several times what its processor can
/// forward. Taken in, each further stream delays the events of all, until callers leave streams
/// that their servers have finished, and new callers are not even accepted. So while the host has
/// not been idle for a moment in some time, it takes no further streams; plain requests cost it no
/// more than their refusal, and are served.
class BacklogWatch
{
public:
    /// Nothing was left to do at \a now.
    void noteIdle(Base::TimePoint now) { m_idleAt = now; }
    /// Whether there has been something to do without a pause for too long.
    bool isBehind(Base::TimePoint now) const { return now - m_idleAt >= longestBusy; }

private:
    /// A streamed event is to be passed on within 120 ms where callers are strictest; work that
    /// came at one moment is done within that time on a host that keeps up.
    static constexpr Base::Duration longestBusy = std::chrono::milliseconds(150);

    Base::TimePoint m_idleAt{};
};

} // namespace Routing
