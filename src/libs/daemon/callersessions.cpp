#include "daemon/callersessions.h"

#include <utility>

namespace Daemon {

CallerSessions::CallerSessions(std::size_t bufferLimit, EventRing &ring)
    : m_bufferLimit(bufferLimit)
    , m_ring(ring)
{}

std::shared_ptr<CallerSession> CallerSessions::open()
{
    auto session = std::make_shared<CallerSession>(++m_lastId, m_bufferLimit, m_ring);
    const std::lock_guard lock(m_mutex);
    m_sessions[session->id()] = session;
    return session;
}

void CallerSessions::close(const CallerSession &session)
{
    {
        const std::lock_guard lock(m_mutex);
        m_sessions.erase(session.id());
    }
    if (!session.isEnded() && !session.isHungUp())
        m_ring.push(Node::CallerDisconnected{session.id()});
}

void CallerSessions::hangUp(Node::CallerId caller)
{
    const std::shared_ptr<CallerSession> session = find(caller);
    if (!session)
        return;
    session->hangUp();
    m_ring.push(Node::CallerDisconnected{caller});
}

void CallerSessions::hangUpAll()
{
    const std::lock_guard lock(m_mutex);
    for (const auto &[id, session] : m_sessions)
        session->hangUp();
}

std::size_t CallerSessions::size() const
{
    const std::lock_guard lock(m_mutex);
    return m_sessions.size();
}

std::vector<Node::Event> CallerSessions::takeEvents()
{
    return std::exchange(m_pendingEvents, {});
}

void CallerSessions::startAnswer(Node::CallerId caller, const Node::AnswerHead &head)
{
    put(caller, head);
}

void CallerSessions::appendAnswer(Node::CallerId caller, const Node::AnswerPart &part)
{
    put(caller, part);
}

void CallerSessions::finishAnswer(Node::CallerId caller)
{
    put(caller, AnswerFinished{});
}

void CallerSessions::fail(Node::CallerId caller, const Node::Failure &failure)
{
    put(caller, failure);
}

void CallerSessions::sendEntryHosts(Node::CallerId caller, const Node::EntryHostList &list)
{
    put(caller, list);
}

void CallerSessions::sendTargets(Node::CallerId caller, const Node::TargetList &list)
{
    put(caller, list);
}

void CallerSessions::sendStatus(Node::CallerId caller, const Node::NodeStatus &status)
{
    put(caller, status);
}

std::shared_ptr<CallerSession> CallerSessions::find(Node::CallerId caller) const
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_sessions.find(caller);
    return it == m_sessions.end() ? nullptr : it->second;
}

void CallerSessions::put(Node::CallerId caller, SessionItem item)
{
    const std::shared_ptr<CallerSession> session = find(caller);
    if (!session)
        return;
    if (session->put(std::move(item)))
        m_pendingEvents.emplace_back(Node::CallerBlocked{caller});
}

} // namespace Daemon
