#pragma once

#include "daemon/eventring.h"
#include "node/callerport.h"

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <mutex>
#include <optional>
#include <variant>

namespace Daemon {

/// The answer is whole.
struct AnswerFinished
{};

/// What the core sends to one caller, in order.
using SessionItem = std::variant<Node::AnswerHead, Node::AnswerPart, AnswerFinished, Node::Failure,
                                 Node::EntryHostList, Node::TargetList, Node::NodeStatus>;

/// One exchange with a caller: a bounded buffer between the core's thread, which never waits,
/// and the connection's thread, which does.
///
/// Answers the load pattern of a caller that reads slower than its answer comes: without the
/// bound its answer would pile up here. Past the limit the core is told to hold the stream
/// back at its server, at half the limit to go on, so that the two do not alternate for each
/// part. What was already on its way when the stream is held back is still taken.
class CallerSession
{
public:
    CallerSession(Node::CallerId id, std::size_t bufferLimit, EventRing &ring);

    Node::CallerId id() const { return m_id; }

    /// Core's thread. Returns whether the buffer has just become full.
    bool put(SessionItem item);

    /// Connection's thread: waits for the next item. Empty once the caller has hung up.
    std::optional<SessionItem> take();
    /// Any thread: the caller hung up; wakes take().
    void hangUp();

    bool isHungUp() const;
    /// Whether the last item that the caller gets has been taken.
    bool isEnded() const;
    std::size_t bufferedBytes() const;

private:
    const Node::CallerId m_id;
    const std::size_t m_bufferLimit;
    EventRing &m_ring;
    mutable std::mutex m_mutex;
    std::condition_variable m_notEmpty;
    std::deque<SessionItem> m_items;
    std::size_t m_bufferedBytes = 0;
    bool m_isBlocked = false;
    bool m_isHungUp = false;
    bool m_isEnded = false;
};

} // namespace Daemon
