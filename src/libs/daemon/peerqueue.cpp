#include "daemon/peerqueue.h"

#include <algorithm>
#include <utility>

namespace Daemon {

PeerQueue::PeerQueue(std::size_t capacity)
    : m_capacity(std::max<std::size_t>(capacity, 1))
{}

void PeerQueue::push(const Node::PeerMessage &message)
{
    if (m_messages.size() >= m_capacity)
        dropOne();
    m_messages.push_back(message);
}

std::vector<Node::PeerMessage> PeerQueue::take(std::size_t limit)
{
    std::vector<Node::PeerMessage> taken;
    while (!m_messages.empty() && taken.size() < limit) {
        taken.push_back(std::move(m_messages.front()));
        m_messages.pop_front();
    }
    return taken;
}

void PeerQueue::dropOne()
{
    const auto heartbeat =
        std::find_if(m_messages.begin(), m_messages.end(), [](const Node::PeerMessage &it) {
            return std::holds_alternative<Coordination::Heartbeat>(it);
        });
    m_messages.erase(heartbeat == m_messages.end() ? m_messages.begin() : heartbeat);
    ++m_dropped;
}

} // namespace Daemon
