#pragma once

#include "base/connectionend.h"
#include "base/time.h"
#include "untrusted/answerheadreader.h"

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <curl/curl.h>

namespace Daemon {

/// The parts of one outgoing HTTP request.
struct TransferRequest
{
    std::string method = "GET";
    std::string url;
    /// Header lines of the form "Name: value".
    std::vector<std::string> headers;
    std::string body;
    /// Whether the request may use an idle connection. A server may close an idle connection just
    /// as the request is sent, and then it is unknown whether the request ran.
    bool mayReuseConnection = true;
    Base::TimePoint deadline;
};

/// Compares names or values of header fields.
bool equalsIgnoringCase(std::string_view text, std::string_view wanted);

/// One outgoing HTTP request and its answer. It runs on the thread of a TransferLoop. It fails if a
/// line of a head or of the trailers is broken, or if they are longer than maxAnswerHeadBytes.
class HttpTransfer
{
public:
    virtual ~HttpTransfer();
    HttpTransfer(const HttpTransfer &) = delete;
    HttpTransfer &operator=(const HttpTransfer &) = delete;

    /// The library's handle; null if the library provided none.
    CURL *handle() const { return m_handle.get(); }
    /// Whether a byte of the request has left this process, on any connection.
    bool isSent() const { return m_isSent; }
    /// HTTP status of the answer; 0 until its head arrives.
    int status() const { return m_head.status(); }
    bool isExpired(Base::TimePoint now) const { return now >= m_deadline; }

    /// Called once when the transfer ends, with the library's result \a code and what is known of
    /// the connection, if the transfer has closed it. A transfer that is dropped from its loop gets
    /// no call. The library takes any end of the connection for the end of an answer without a
    /// length; here such a transfer fails if the end comes within the head, or cuts the answer off.
    void end(CURLcode code, const Base::ConnectionEnd &connection);

protected:
    explicit HttpTransfer(const TransferRequest &request);

    /// Called by end(). With CURLE_OK, the answer is complete.
    virtual void finished(CURLcode code) = 0;
    /// Called for each field of any head, also of a 1xx answer and of the trailers; \a value is
    /// trimmed.
    virtual void receiveHeader(std::string_view name, std::string_view value) = 0;
    /// Called for each piece of the body. Returns whether to continue; false fails the transfer.
    virtual bool receiveBody(std::string_view bytes) = 0;
    /// Whether the fields that arrive now belong to the head of the final answer.
    bool isInFinalHead() const { return m_head.isInFinalHead(); }
    bool isHeadComplete() const { return m_head.isComplete(); }
    /// Whether the head told where the body ends. Otherwise it ends with the connection.
    bool isDelimited() const { return m_isDelimited; }
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
    /// Whether the whole request has left this process.
    bool isWritten() const;

    std::unique_ptr<CURL, HandleDeleter> m_handle;
    std::unique_ptr<curl_slist, ListDeleter> m_headers;
    std::string m_body;
    Base::TimePoint m_deadline;
    /// The library takes many broken lines, and reports all of them here.
    Untrusted::AnswerHeadReader m_head;
    std::size_t m_headBytes = 0;
    bool m_isDelimited = false;
    bool m_isSent = false;
};

} // namespace Daemon
