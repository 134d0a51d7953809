#pragma once

#include "base/time.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace VirtualFleet {

/// A virtual clock with its queue of events. Events run in the order of their times, and events of
/// the same time in the order in which they were added.
class EventQueue
{
public:
    Base::TimePoint now() const { return m_now; }
    /// Runs \a action at \a time, or at now() if \a time has passed.
    void at(Base::TimePoint time, std::function<void()> action);
    void after(Base::Duration delay, std::function<void()> action);
    /// Runs every event up to and including \a end and sets the clock to \a end.
    void runUntil(Base::TimePoint end);

private:
    struct Event
    {
        Base::TimePoint time;
        std::uint64_t sequence = 0;
        std::function<void()> action;
    };
    /// Orders the heap so that the earliest event is on top.
    struct Later
    {
        bool operator()(const Event &a, const Event &b) const;
    };

    std::priority_queue<Event, std::vector<Event>, Later> m_events;
    Base::TimePoint m_now{std::chrono::hours(1000)};
    std::uint64_t m_lastSequence = 0;
};

} // namespace VirtualFleet
