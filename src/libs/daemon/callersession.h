#pragma once

#include "daemon/eventring.h"
#include "node/callersink.h"

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <mutex>
#include <optional>
#include <variant>

namespace Daemon {

/// Marks the end of a complete answer.
struct AnswerFinished
{};

/// One item that the core sends to a caller. Items arrive in order.
using SessionItem = std::variant<Node::AnswerHead, Node::AnswerPart, AnswerFinished, Node::Failure,
                                 Node::EntryHostList, Node::TargetList, Node::NodeStatus>;

/// One exchange with a caller: a bounded buffer between the core's thread, which never waits, and
/// the connection's thread, which does.
///
/// The bound keeps the answer of a caller that reads more slowly than its answer arrives from
/// filling the memory. Above the limit the node is told to pause the stream at its backend server;
/// at half the limit or less it is told to resume. The gap between the two keeps them from
/// alternating with every part. Parts that are under way when the stream is paused are still
/// accepted.
class CallerSession
{
public:
    CallerSession(Node::CallerId id, std::size_t bufferLimit, EventRing &ring);

    Node::CallerId id() const { return m_id; }

    /// Appends \a item; discards it if the caller has hung up. Returns whether the buffer has just
    /// exceeded its limit. Called on the core's thread.
    bool put(SessionItem item);

    /// Waits for the next item and removes it. Returns nothing once the caller has hung up. Called
    /// on the connection's thread.
    std::optional<SessionItem> take();
    /// Marks the caller as gone, discards the buffer and wakes take(). May be called on any thread.
    void hangUp();

    bool isHungUp() const;
    /// Whether the final item for the caller has been taken.
    bool isEnded() const;
    /// Returns the bytes of answer parts in the buffer.
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
