#include "daemon/idleconnections.h"

#include <sys/socket.h>

namespace Daemon {

void IdleConnections::add(int socket)
{
    const std::lock_guard lock(m_mutex);
    if (!m_positions.contains(socket))
        m_positions[socket] = m_sockets.insert(m_sockets.end(), socket);
}

void IdleConnections::remove(int socket)
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_positions.find(socket);
    if (it == m_positions.end())
        return;
    m_sockets.erase(it->second);
    m_positions.erase(it);
}

bool IdleConnections::shutDownLongest()
{
    // The lock keeps the socket from being closed, and its number from being used again.
    const std::lock_guard lock(m_mutex);
    if (m_sockets.empty())
        return false;
    shutdown(m_sockets.front(), SHUT_RDWR);
    m_positions.erase(m_sockets.front());
    m_sockets.pop_front();
    return true;
}

} // namespace Daemon
