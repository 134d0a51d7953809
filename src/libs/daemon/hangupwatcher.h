#pragma once

#include "base/result.h"
#include "node/callerport.h"

#include <functional>
#include <memory>
#include <thread>

namespace Daemon {

/// The system gave no descriptor for watching connections.
struct WatcherUnavailable
{
    int error = 0;
};

/// Notices that a caller has closed its connection while its thread waits for the node and
/// does not look at the socket.
///
/// Without it the work of a caller that gave up would keep its place in the queue and run, and
/// the loss would show only at the first write.
class HangupWatcher
{
public:
    using Handler = std::function<void(Node::CallerId)>;

    /// \a handler is called on the watcher's own thread. Fails with WatcherUnavailable.
    static Base::Result<std::unique_ptr<HangupWatcher>> create(Handler handler);
    ~HangupWatcher();

    /// Reports once when the other side of \a socket closes.
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
