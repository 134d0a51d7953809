#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <map>
#include <optional>

namespace Routing {

/// What the first events of a server's recent requests took, and what they were expected to take
/// from a server of usual pace, in milliseconds.
struct StartTimes
{
    double took = 0;
    double expected = 0;

    bool operator==(const StartTimes &) const = default;
};

/// Sums up the start times of one server with exponential decay.
class StartTimeSum
{
public:
    /// Records the first event of a request.
    void record(Base::Duration took, Base::Duration expected, Base::TimePoint now);
    StartTimes value(Base::TimePoint now) const;

private:
    StartTimes m_sum;
    Base::TimePoint m_at{};
};

/// Determines how much longer each server of a service takes than the others, from what all hosts
/// observed.
///
/// Servers may differ by a factor of five, and each of dozens of hosts sees an answer of a server
/// every few seconds only. A host that relied on its own answers would send to slow servers what
/// fast ones could do in time. The pace is relative: an error that all estimates share does not
/// make all servers look slow.
///
/// The effect of wrong or hostile figures is bounded, since each observation and each pace is.
class ServerPace
{
public:
    /// Records the recent start times of all servers, as observed by all hosts, at intervals.
    void update(const std::map<Base::ServerId, StartTimes> &times, Base::TimePoint now);
    /// Returns the ratio of the server's time to that of a usual one; 1 if it is not known.
    double pace(const Base::ServerId &server) const;

private:
    /// The start times with a longer memory than the reports have.
    std::map<Base::ServerId, StartTimes> m_times;
    std::optional<Base::TimePoint> m_updatedAt;
    /// The ratio of actual to expected time over all servers.
    double m_usual = 1;
};

} // namespace Routing
