#pragma once

#include "base/time.h"

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <curl/curl.h>

namespace Daemon {

/// What one HTTP request is made of.
struct TransferRequest
{
    std::string method = "GET";
    std::string url;
    /// "Name: value".
    std::vector<std::string> headers;
    std::string body;
    /// Whether a kept connection may carry it. A server may close a kept connection just as
    /// the request goes out, and then nobody knows whether it ran.
    bool mayReuseConnection = true;
    Base::TimePoint deadline;
};

/// One HTTP request of this process and its answer, on the thread of a TransferLoop.
class HttpTransfer
{
public:
    virtual ~HttpTransfer();
    HttpTransfer(const HttpTransfer &) = delete;
    HttpTransfer &operator=(const HttpTransfer &) = delete;

    CURL *handle() const { return m_handle.get(); }
    /// Whether a byte of the request has left this process, on any connection.
    bool isSent() const { return m_isSent; }
    /// HTTP status; 0 before the answer's head came.
    int status() const { return m_status; }
    bool isExpired(Base::TimePoint now) const { return now >= m_deadline; }

    /// The transfer is over, with \a code. Called once, unless the loop is told to drop it.
    virtual void finished(CURLcode code) = 0;

protected:
    explicit HttpTransfer(const TransferRequest &request);

    /// Values longer than the header's line never come.
    virtual void receiveHeader(std::string_view name, std::string_view value) = 0;
    /// Returns whether to go on; false fails the transfer.
    virtual bool receiveBody(std::string_view bytes) = 0;
    void setDeadline(Base::TimePoint deadline) { m_deadline = deadline; }

private:
    struct Callbacks;
    struct HandleDeleter
    {
        void operator()(CURL *handle) const { curl_easy_cleanup(handle); }
    };
    struct ListDeleter
    {
        void operator()(curl_slist *list) const { curl_slist_free_all(list); }
    };

    void setOptions(const TransferRequest &request);

    std::unique_ptr<CURL, HandleDeleter> m_handle;
    std::unique_ptr<curl_slist, ListDeleter> m_headers;
    std::string m_body;
    Base::TimePoint m_deadline;
    int m_status = 0;
    bool m_isSent = false;
};

} // namespace Daemon
