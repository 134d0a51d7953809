#pragma once

#include "base/time.h"

#include <optional>

namespace Gateway {

/// What is known of the time that a request takes.
struct ExpectedWork
{
    /// When it has an answer at the latest: the end of its route's timeout or its deadline.
    Base::TimePoint latestEnd;
    /// The longest that other requests on its route took lately; empty if none is known.
    std::optional<Base::Duration> usualTime;
    bool isStream = false;
};

/// Decides which requests a host still takes after it was told to stop, and when it stops.
///
/// Callers use a list of hosts for some seconds, so a leaving host serves them at first. A request
/// that may last longer than the process is sent to other hosts from some moment on: a refusal is a
/// whole answer and says that the request did not run, while a connection that closes says nothing.
/// Before the platform ends the process, everything new is refused, so that what is open can end
/// however many callers stay. What is open even then gets a final answer, and the process waits
/// only until its answers are written.
class ShutdownSchedule
{
public:
    /// The platform ends the process \a grace after \a signalledAt.
    ShutdownSchedule(Base::TimePoint signalledAt, Base::Duration grace);

    /// Whether a request that arrives at \a now is taken. Otherwise it is refused at once.
    bool accepts(const ExpectedWork &work, Base::TimePoint now) const;
    /// Whether open requests get their final answers now.
    bool endsOpenRequests(Base::TimePoint now) const { return now >= m_endsOpenAt; }
    /// Whether the process stops now. \a isQuiet if no request is open and all answers are written.
    bool isOver(bool isQuiet, Base::TimePoint now) const;

private:
    Base::TimePoint m_longWorkUntil;
    Base::TimePoint m_acceptsUntil;
    Base::TimePoint m_endsOpenAt;
    Base::TimePoint m_stopsAt;
};

} // namespace Gateway
