#pragma once

#include "base/connectionend.h"

#include <cstdint>
#include <map>

#include <curl/curl.h>

namespace Daemon {

/// Closes the sockets of an HTTP library's connections, and remembers how those ended that the
/// other end may have cut off. The library does not tell that of a finished transfer, whose socket
/// is closed by then.
class ClosedSockets
{
public:
    /// Makes \a handle close its connections here. This object must outlive them.
    void watch(CURL *handle);
    /// Returns how the last connection of the finished transfer \a handle ended.
    Base::ConnectionEnd endOf(CURL *handle) const;
    /// Forgets all connections. Their local ports may be used again.
    void clear() { m_ends.clear(); }

private:
    static int close(void *closedSockets, curl_socket_t socket);

    /// By local port.
    std::map<std::uint16_t, Base::ConnectionEnd> m_ends;
};

} // namespace Daemon
