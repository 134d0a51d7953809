#pragma once

#include "base/result.h"
#include "node/callersink.h"

#include <functional>
#include <memory>
#include <thread>

namespace Daemon {

/// The system provided no descriptor for watching connections.
struct WatcherUnavailable
{
    /// The errno of the failed call.
    int error = 0;
};

/// Detects that a caller has closed its connection while the connection's thread waits for the node
/// and does not look at the socket.
///
/// Otherwise the request of a caller that gave up would stay in the queue and run, and the closed
/// connection would show only at the first write.
class HangupWatcher
{
public:
    using Handler = std::function<void(Node::CallerId)>;

    /// Creates the watcher, which calls \a handler on its own thread. Fails with
    /// WatcherUnavailable.
    static Base::Result<std::unique_ptr<HangupWatcher>> create(Handler handler);
    ~HangupWatcher();

    /// Calls the handler once when the other side of \a socket closes the connection.
    void watch(int socket, Node::CallerId caller);
    void unwatch(int socket);

private:
    HangupWatcher(int epollFd, int wakeFd, Handler handler);
    void run();

    int m_epollFd;
    int m_wakeFd;
    Handler m_handler;
    std::thread m_thread;
};

} // namespace Daemon
