#pragma once

namespace Base {

/// What is known of a request's connection when the server has ended it behind its answer.
struct ConnectionEnd
{
    /// The server has reset the connection. A read may report an orderly end all the same, if the
    /// server ended its side before.
    bool isReset = false;
    /// The server's system has received the whole request.
    bool isRequestReceived = true;
};

/// Returns what the system knows of \a socket, whose request is written. Takes the error of the
/// socket.
ConnectionEnd connectionEnd(int socket);

/// Whether an answer with \a status is cut off whose only end is \a end. A server that stops while
/// its request still arrives has not served it, but it need not read a request that it refuses.
bool isCutOff(const ConnectionEnd &end, unsigned status);

} // namespace Base
