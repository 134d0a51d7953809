#pragma once

#include "base/result.h"
#include "daemon/httptransfer.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

namespace Daemon {

/// The HTTP client library gave no handle.
struct ClientUnavailable
{};

struct TransferLoopSettings
{
    /// Connections open at a time; 0 is no bound. Further transfers wait for one.
    std::size_t maxConnections = 0;
    /// Idle connections kept for the next transfer.
    std::size_t maxIdleConnections = 64;
};

/// One thread that runs any number of HTTP transfers.
class TransferLoop
{
public:
    using Task = std::function<void()>;

    /// Fails with ClientUnavailable.
    static Base::Result<std::unique_ptr<TransferLoop>> create(const TransferLoopSettings &settings);
    /// Drops what still runs.
    ~TransferLoop();

    /// Any thread, never waits: \a task is run on the loop's thread, in order.
    ///
    /// The list of tasks has no bound of its own: the core's thread posts them and must never
    /// wait, and it posts a handful for each open request, of which there is a bounded number.
    void post(Task task);

    /// Loop's thread.
    void add(std::unique_ptr<HttpTransfer> transfer);
    /// Loop's thread: drops the transfer without a call of finished().
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
    Transfers m_transfers;
    Base::TimePoint m_nextExpiry{};
    std::mutex m_mutex;
    std::vector<Task> m_tasks;
    bool m_isStopped = false;
    std::thread m_thread;
};

} // namespace Daemon
