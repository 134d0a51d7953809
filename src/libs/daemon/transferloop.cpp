#include "daemon/transferloop.h"

#include "daemon/daemonconstants.h"

#include <utility>

namespace Daemon {

Base::Result<std::unique_ptr<TransferLoop>>
TransferLoop::create(const TransferLoopSettings &settings)
{
    CURLM *multi = curl_multi_init();
    if (!multi)
        return boost::leaf::new_error(ClientUnavailable{});
    curl_multi_setopt(multi, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
    curl_multi_setopt(multi, CURLMOPT_MAXCONNECTS, static_cast<long>(settings.maxIdleConnections));
    if (settings.maxConnections > 0)
        curl_multi_setopt(multi, CURLMOPT_MAX_TOTAL_CONNECTIONS,
                          static_cast<long>(settings.maxConnections));
    return std::unique_ptr<TransferLoop>(new TransferLoop(multi));
}

TransferLoop::TransferLoop(CURLM *multi)
    : m_multi(multi)
    , m_thread([this] { run(); })
{}

TransferLoop::~TransferLoop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isStopped = true;
    }
    curl_multi_wakeup(m_multi);
    m_thread.join();
    for (const auto &[handle, transfer] : m_transfers)
        curl_multi_remove_handle(m_multi, handle);
    m_transfers.clear();
    curl_multi_cleanup(m_multi);
}

void TransferLoop::post(Task task)
{
    {
        const std::lock_guard lock(m_mutex);
        m_tasks.push_back(std::move(task));
    }
    curl_multi_wakeup(m_multi);
}

void TransferLoop::add(std::unique_ptr<HttpTransfer> transfer)
{
    CURL *const handle = transfer->handle();
    if (handle)
        m_closedSockets.watch(handle);
    const bool isAdded = handle && curl_multi_add_handle(m_multi, handle) == CURLM_OK;
    if (!isAdded) {
        transfer->end(CURLE_FAILED_INIT, {});
        return;
    }
    m_transfers[handle] = std::move(transfer);
}

void TransferLoop::drop(HttpTransfer &transfer)
{
    remove(transfer.handle());
}

void TransferLoop::run()
{
    while (runTasks()) {
        int running = 0;
        curl_multi_perform(m_multi, &running);
        processFinished();
        expire(Base::Clock::now());
        curl_multi_poll(m_multi, nullptr, 0, static_cast<int>(transferLoopInterval.count()),
                        nullptr);
    }
}

bool TransferLoop::runTasks()
{
    std::vector<Task> tasks;
    {
        const std::lock_guard lock(m_mutex);
        if (m_isStopped)
            return false;
        tasks.swap(m_tasks);
    }
    for (const Task &task : tasks)
        task();
    return true;
}

void TransferLoop::processFinished()
{
    int waiting = 0;
    while (const CURLMsg *message = curl_multi_info_read(m_multi, &waiting)) {
        if (message->msg == CURLMSG_DONE)
            finish(message->easy_handle, message->data.result);
    }
    m_closedSockets.clear();
}

void TransferLoop::expire(Base::TimePoint now)
{
    if (now < m_nextExpiry)
        return;
    m_nextExpiry = now + transferLoopInterval;
    std::vector<CURL *> expired;
    for (const auto &[handle, transfer] : m_transfers) {
        if (transfer->isExpired(now))
            expired.push_back(handle);
    }
    for (CURL *handle : expired)
        finish(handle, CURLE_OPERATION_TIMEDOUT);
}

void TransferLoop::finish(CURL *handle, CURLcode code)
{
    const Base::ConnectionEnd connection = m_closedSockets.endOf(handle);
    const std::unique_ptr<HttpTransfer> transfer = remove(handle);
    if (transfer)
        transfer->end(code, connection);
}

std::unique_ptr<HttpTransfer> TransferLoop::remove(CURL *handle)
{
    const auto it = m_transfers.find(handle);
    if (it == m_transfers.end())
        return nullptr;
    std::unique_ptr<HttpTransfer> transfer = std::move(it->second);
    m_transfers.erase(it);
    curl_multi_remove_handle(m_multi, handle);
    return transfer;
}

} // namespace Daemon
