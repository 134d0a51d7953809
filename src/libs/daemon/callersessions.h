#pragma once

#include "daemon/callersession.h"
#include "daemon/eventring.h"
#include "node/callerport.h"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

namespace Daemon {

/// All exchanges open with callers: the node's way to them.
class CallerSessions final : public Node::CallerPort
{
public:
    CallerSessions(std::size_t bufferLimit, EventRing &ring);

    /// Connection's thread.
    std::shared_ptr<CallerSession> open();
    /// Connection's thread: the exchange is over. Tells the node if it ended early.
    void close(const CallerSession &session);
    /// Any thread: the caller's connection was cut.
    void hangUp(Node::CallerId caller);
    /// Any thread: the process ends. Wakes every thread that waits for an answer.
    void hangUpAll();
    std::size_t size() const;

    /// Core's thread: what the node's own calls led to, to be handled before anything else.
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
