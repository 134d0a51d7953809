#pragma once

#include "daemon/callersession.h"
#include "daemon/eventring.h"
#include "node/callersink.h"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

namespace Daemon {

/// All open exchanges with callers. The node answers its callers through this class.
class CallerSessions final : public Node::CallerSink
{
public:
    CallerSessions(std::size_t bufferLimit, EventRing &ring);

    /// Opens a session for a new exchange. Called on the connection's thread.
    std::shared_ptr<CallerSession> open();
    /// Closes the session at the end of the exchange. Tells the node if the exchange ended early
    /// and the node does not know it yet. Called on the connection's thread.
    void close(const CallerSession &session);
    /// Tells the node that the caller's connection was closed. May be called on any thread.
    void hangUp(Node::CallerId caller);
    /// Wakes every thread that waits for an answer, because the process ends. May be called on any
    /// thread.
    void hangUpAll();
    /// Returns the number of open sessions.
    std::size_t size() const;

    /// Returns and clears the events that the node's own calls have caused. They must be handled
    /// before any other event. Called on the core's thread.
    std::vector<Node::Event> takeEvents();

    void startAnswer(Node::CallerId caller, const Node::AnswerHead &head) override;
    void appendAnswer(Node::CallerId caller, const Node::AnswerPart &part) override;
    void finishAnswer(Node::CallerId caller) override;
    void fail(Node::CallerId caller, const Node::Failure &failure) override;
    void sendEntryHosts(Node::CallerId caller, const Node::EntryHostList &list) override;
    void sendTargets(Node::CallerId caller, const Node::TargetList &list) override;
    void sendStatus(Node::CallerId caller, const Node::NodeStatus &status) override;

private:
    std::shared_ptr<CallerSession> find(Node::CallerId caller) const;
    void put(Node::CallerId caller, SessionItem item);

    const std::size_t m_bufferLimit;
    EventRing &m_ring;
    std::atomic<Node::CallerId> m_lastId = 0;
    mutable std::mutex m_mutex;
    std::map<Node::CallerId, std::shared_ptr<CallerSession>> m_sessions;
    std::vector<Node::Event> m_pendingEvents;
};

} // namespace Daemon
