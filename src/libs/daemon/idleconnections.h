#pragma once

#include <list>
#include <mutex>
#include <unordered_map>

namespace Daemon {

/// The open connections on which no request has begun, the one that has been idle for longest
/// first. Thread-safe. A socket must be removed before it is closed.
class IdleConnections
{
public:
    void add(int socket);
    void remove(int socket);
    /// Shuts down the connection that has been idle for longest; its thread then closes it. Returns
    /// false if none is idle.
    bool shutDownLongest();

private:
    std::mutex m_mutex;
    std::list<int> m_sockets;
    std::unordered_map<int, std::list<int>::iterator> m_positions;
};

} // namespace Daemon
