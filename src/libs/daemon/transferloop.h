#pragma once

#include "base/result.h"
#include "daemon/closedsockets.h"
#include "daemon/httptransfer.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

namespace Daemon {

/// The HTTP client library provided no handle.
struct ClientUnavailable
{};

/// Connection limits of a TransferLoop.
struct TransferLoopSettings
{
    /// Connections that may be open at the same time; 0 means no limit. Further transfers wait for
    /// one.
    std::size_t maxConnections = 0;
    /// Idle connections that are kept for later transfers.
    std::size_t maxIdleConnections = 64;
};

/// Runs any number of HTTP transfers on one thread.
class TransferLoop
{
public:
    using Task = std::function<void()>;

    /// Creates the loop and starts its thread. Fails with ClientUnavailable.
    static Base::Result<std::unique_ptr<TransferLoop>> create(const TransferLoopSettings &settings);
    /// Drops the transfers that still run.
    ~TransferLoop();

    /// Runs \a task on the loop's thread, in the order of the calls. May be called on any thread
    /// and never waits.
    ///
    /// The list of tasks has no bound of its own: the core's thread posts them and must never wait.
    /// It posts only a few tasks for each open request, and the number of open requests is bounded.
    void post(Task task);

    /// Starts a transfer. Called on the loop's thread.
    void add(std::unique_ptr<HttpTransfer> transfer);
    /// Drops the transfer without calling its finished(). Called on the loop's thread.
    void drop(HttpTransfer &transfer);

private:
    using Transfers = std::map<CURL *, std::unique_ptr<HttpTransfer>>;

    explicit TransferLoop(CURLM *multi);
    void run();
    bool runTasks();
    void processFinished();
    void expire(Base::TimePoint now);
    void finish(CURL *handle, CURLcode code);
    std::unique_ptr<HttpTransfer> remove(CURL *handle);

    CURLM *m_multi;
    ClosedSockets m_closedSockets;
    Transfers m_transfers;
    Base::TimePoint m_nextExpiry{};
    std::mutex m_mutex;
    std::vector<Task> m_tasks;
    bool m_isStopped = false;
    std::thread m_thread;
};

} // namespace Daemon
