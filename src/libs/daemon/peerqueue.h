#pragma once

#include "node/peermessage.h"

#include <cstddef>
#include <deque>
#include <vector>

namespace Daemon {

/// Messages that wait for one peer, bounded.
///
/// Answers the load pattern of a peer that is gone or slow while work for it goes on. Without
/// the bound its messages would pile up until the process dies. When full, the oldest
/// heartbeat goes first: a newer one says all that it said. Without one the oldest message
/// goes, which the node copes with as with any lost message.
class PeerQueue
{
public:
    explicit PeerQueue(std::size_t capacity);

    void push(const Node::PeerMessage &message);
    /// At most \a limit messages, oldest first.
    std::vector<Node::PeerMessage> take(std::size_t limit);
    bool isEmpty() const { return m_messages.empty(); }
    std::size_t size() const { return m_messages.size(); }
    std::size_t dropped() const { return m_dropped; }

private:
    void dropOne();

    std::size_t m_capacity;
    std::size_t m_dropped = 0;
    std::deque<Node::PeerMessage> m_messages;
};

} // namespace Daemon
