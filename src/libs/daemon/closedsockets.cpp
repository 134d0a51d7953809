#include "daemon/closedsockets.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace Daemon {

namespace {

/// The local port of \a socket, of either protocol; 0 if it has none.
std::uint16_t localPort(curl_socket_t socket)
{
    sockaddr_in6 address{};
    socklen_t size = sizeof(address);
    if (getsockname(socket, reinterpret_cast<sockaddr *>(&address), &size) != 0)
        return 0;
    // IPv4 has its port at the same place.
    return ntohs(address.sin6_port);
}

} // namespace

void ClosedSockets::watch(CURL *handle)
{
    curl_easy_setopt(handle, CURLOPT_CLOSESOCKETFUNCTION, &ClosedSockets::close);
    curl_easy_setopt(handle, CURLOPT_CLOSESOCKETDATA, this);
}

Base::ConnectionEnd ClosedSockets::endOf(CURL *handle) const
{
    long port = 0;
    curl_easy_getinfo(handle, CURLINFO_LOCAL_PORT, &port);
    const auto it = m_ends.find(static_cast<std::uint16_t>(port));
    return it == m_ends.end() ? Base::ConnectionEnd() : it->second;
}

int ClosedSockets::close(void *closedSockets, curl_socket_t socket)
{
    const Base::ConnectionEnd end = Base::connectionEnd(socket);
    if (end.isReset || !end.isRequestReceived)
        static_cast<ClosedSockets *>(closedSockets)->m_ends[localPort(socket)] = end;
    return ::close(socket);
}

} // namespace Daemon
