#include "base/connectionend.h"

#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace Base {

namespace {

constexpr unsigned firstRefusalStatus = 400;

} // namespace

ConnectionEnd connectionEnd(int socket)
{
    ConnectionEnd end;
    int error = 0;
    socklen_t size = sizeof(error);
    end.isReset = getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &size) == 0 && error != 0;
    // The end of the server's side acknowledges all that its system has received.
    int unacknowledged = 0;
    end.isRequestReceived = ioctl(socket, SIOCOUTQ, &unacknowledged) != 0 || unacknowledged == 0;
    return end;
}

bool isCutOff(const ConnectionEnd &end, unsigned status)
{
    return end.isReset || (!end.isRequestReceived && status < firstRefusalStatus);
}

} // namespace Base
