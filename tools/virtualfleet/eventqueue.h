#pragma once

#include "base/time.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace VirtualFleet {

/// Virtual time: what is due runs in the order of time, then of entry.
class EventQueue
{
public:
    Base::TimePoint now() const { return m_now; }
    void at(Base::TimePoint time, std::function<void()> action);
    void after(Base::Duration delay, std::function<void()> action);
    void runUntil(Base::TimePoint end);

private:
    struct Entry
    {
        Base::TimePoint time;
        std::uint64_t serial = 0;
        std::function<void()> action;
    };
    struct Later
    {
        bool operator()(const Entry &a, const Entry &b) const;
    };

    std::priority_queue<Entry, std::vector<Entry>, Later> m_entries;
    Base::TimePoint m_now{std::chrono::hours(1000)};
    std::uint64_t m_serial = 0;
};

} // namespace VirtualFleet
