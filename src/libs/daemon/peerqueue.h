#pragma once

#include "node/peermessage.h"

#include <cstddef>
#include <deque>
#include <vector>

namespace Daemon {

/// Bounded queue of the messages to one peer.
///
/// The bound limits the memory used when a peer is gone or slow while messages for it keep coming.
/// A full queue drops its oldest heartbeat first, because a newer heartbeat supersedes it. Without
/// a heartbeat it drops its oldest message, which the node handles like any lost message.
class PeerQueue
{
public:
    explicit PeerQueue(std::size_t capacity);

    void push(const Node::PeerMessage &message);
    /// Removes and returns at most \a limit messages, oldest first.
    std::vector<Node::PeerMessage> take(std::size_t limit);
    bool isEmpty() const { return m_messages.empty(); }
    std::size_t size() const { return m_messages.size(); }
    /// Returns the number of messages dropped so far.
    std::size_t dropped() const { return m_dropped; }

private:
    void dropOne();

    std::size_t m_capacity;
    std::size_t m_dropped = 0;
    std::deque<Node::PeerMessage> m_messages;
};

} // namespace Daemon
