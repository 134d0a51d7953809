#include "virtualfleet/eventqueue.h"

#include <algorithm>
#include <utility>

namespace VirtualFleet {

bool EventQueue::Later::operator()(const Event &a, const Event &b) const
{
    return a.time != b.time ? a.time > b.time : a.sequence > b.sequence;
}

void EventQueue::at(Base::TimePoint time, std::function<void()> action)
{
    m_events.push({std::max(time, m_now), ++m_lastSequence, std::move(action)});
}

void EventQueue::after(Base::Duration delay, std::function<void()> action)
{
    at(m_now + delay, std::move(action));
}

void EventQueue::runUntil(Base::TimePoint end)
{
    while (!m_events.empty() && m_events.top().time <= end) {
        const Event event = m_events.top();
        m_events.pop();
        m_now = event.time;
        event.action();
    }
    m_now = end;
}

} // namespace VirtualFleet
