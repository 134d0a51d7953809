#pragma once

#include "base/time.h"
#include "routing/work.h"

namespace Routing {

/// Decides which streams a host takes that is behind with its own work.
///
/// Load: callers that stay with one small host bring it several times what its processor can
/// forward. Taken in, each further stream delays the events of all, until callers leave streams
/// that their servers have finished, and new callers are not even accepted. A host is behind while
/// it has not been idle for a moment in some time.
///
/// Then it takes only the streams that serve most for what forwarding them costs. That cost grows
/// with the events, and so with the generated tokens, while most of what a customer is served is
/// the prompt that is read for it: answers that are short for their prompt go first. If it falls
/// further behind it takes no streams at all. Plain requests cost no more than their refusal.
class BacklogWatch
{
public:
    /// Nothing was left to do at \a now.
    void noteIdle(Base::TimePoint now) { m_idleAt = now; }
    /// Whether there has been no pause for a moment: not yet behind, but nothing to spare.
    bool isBusy(Base::TimePoint now) const { return now - m_idleAt >= busyAfter; }
    /// Whether a stream that has just come in is taken.
    bool takesStream(const Work &work, Base::TimePoint now);

private:
    /// A streamed event is to be passed on within 120 ms where callers are strictest; work that
    /// came at one moment is done within that time on a host that keeps up.
    static constexpr Base::Duration busyAfter = std::chrono::milliseconds(60);
    static constexpr Base::Duration choosyAfter = std::chrono::milliseconds(150);
    static constexpr Base::Duration closedAfter = std::chrono::milliseconds(500);
    /// Weight of the newest stream in the mean: some dozens count.
    static constexpr double newest = 0.03;

    Base::TimePoint m_idleAt{};
    /// Prompt tokens for each generated one, mean of the streams that came in.
    double m_usualDensity = 0;
};

} // namespace Routing
