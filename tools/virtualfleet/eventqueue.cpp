#include "virtualfleet/eventqueue.h"

#include <algorithm>
#include <utility>

namespace VirtualFleet {

bool EventQueue::Later::operator()(const Entry &a, const Entry &b) const
{
    return a.time != b.time ? a.time > b.time : a.serial > b.serial;
}

void EventQueue::at(Base::TimePoint time, std::function<void()> action)
{
    m_entries.push({std::max(time, m_now), ++m_serial, std::move(action)});
}

void EventQueue::after(Base::Duration delay, std::function<void()> action)
{
    at(m_now + delay, std::move(action));
}

void EventQueue::runUntil(Base::TimePoint end)
{
    while (!m_entries.empty() && m_entries.top().time <= end) {
        const Entry entry = m_entries.top();
        m_entries.pop();
        m_now = entry.time;
        entry.action();
    }
    m_now = end;
}

} // namespace VirtualFleet
