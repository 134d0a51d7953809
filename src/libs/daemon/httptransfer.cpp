#include "daemon/httptransfer.h"

#include "daemon/daemonconstants.h"

#include <strings.h>

namespace Daemon {

bool equalsIgnoringCase(std::string_view text, std::string_view wanted)
{
    return text.size() == wanted.size()
           && strncasecmp(text.data(), wanted.data(), wanted.size()) == 0;
}

namespace {

/// Whether \a field tells where the body ends.
bool tellsEnd(const Untrusted::AnswerField &field)
{
    return equalsIgnoringCase(field.name, "Content-Length")
           || (equalsIgnoringCase(field.name, "Transfer-Encoding")
               && equalsIgnoringCase(field.value, "chunked"));
}

} // namespace

struct HttpTransfer::Callbacks
{
    static std::size_t header(char *data, std::size_t, std::size_t size, void *transfer)
    {
        auto &self = *static_cast<HttpTransfer *>(transfer);
        self.m_headBytes += size;
        // Any other count than that of the bytes fails the transfer.
        if (self.m_headBytes > maxAnswerHeadBytes || !self.m_head.read({data, size}))
            return 0;
        if (const auto &field = self.m_head.field()) {
            self.m_isDelimited |= self.m_head.isInFinalHead() && tellsEnd(*field);
            self.receiveHeader(field->name, field->value);
        }
        return size;
    }

    static std::size_t body(char *data, std::size_t, std::size_t size, void *transfer)
    {
        const bool isAccepted = static_cast<HttpTransfer *>(transfer)->receiveBody({data, size});
        return isAccepted ? size : 0;
    }

    static int recordSending(CURL *, curl_infotype type, char *, std::size_t size, void *transfer)
    {
        const bool isRequest = type == CURLINFO_HEADER_OUT || type == CURLINFO_DATA_OUT;
        if (isRequest && size > 0)
            static_cast<HttpTransfer *>(transfer)->m_isSent = true;
        return 0;
    }

    /// Keeps the library from sending a request a second time by itself, which it does when an idle
    /// connection dies before the answer. The first copy may have run.
    static int beforeSending(void *transfer, char *, char *, int, int)
    {
        return static_cast<HttpTransfer *>(transfer)->m_isSent ? CURL_PREREQFUNC_ABORT
                                                               : CURL_PREREQFUNC_OK;
    }
};

HttpTransfer::HttpTransfer(const TransferRequest &request)
    : m_handle(curl_easy_init())
    , m_body(request.body)
    , m_deadline(request.deadline)
{
    if (m_handle)
        setOptions(request);
}

HttpTransfer::~HttpTransfer() = default;

void HttpTransfer::end(CURLcode code, const Base::ConnectionEnd &connection)
{
    Base::ConnectionEnd end = connection;
    end.isRequestReceived &= isWritten();
    const bool endsWithConnection = !m_isDelimited && status() != 204 && status() != 304;
    const bool isIncomplete =
        !isHeadComplete()
        || (endsWithConnection && Base::isCutOff(end, static_cast<unsigned>(status())));
    finished(code == CURLE_OK && isIncomplete ? CURLE_WEIRD_SERVER_REPLY : code);
}

bool HttpTransfer::isWritten() const
{
    curl_off_t bytes = 0;
    return curl_easy_getinfo(handle(), CURLINFO_SIZE_UPLOAD_T, &bytes) != CURLE_OK
           || bytes >= static_cast<curl_off_t>(m_body.size());
}

void HttpTransfer::setOptions(const TransferRequest &request)
{
    curl_slist *headers = curl_slist_append(nullptr, "Expect:");
    for (const std::string &header : request.headers)
        headers = curl_slist_append(headers, header.c_str());
    m_headers.reset(headers);
    CURL *const it = m_handle.get();
    curl_easy_setopt(it, CURLOPT_URL, request.url.c_str());
    curl_easy_setopt(it, CURLOPT_CUSTOMREQUEST, request.method.c_str());
    curl_easy_setopt(it, CURLOPT_HTTPHEADER, m_headers.get());
    if (!m_body.empty() || request.method == "POST") {
        curl_easy_setopt(it, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(m_body.size()));
        curl_easy_setopt(it, CURLOPT_POSTFIELDS, m_body.data());
    }
    curl_easy_setopt(it, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(it, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(it, CURLOPT_PROXY, "");
    curl_easy_setopt(it, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(it, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(connectTimeout.count()));
    curl_easy_setopt(it, CURLOPT_FRESH_CONNECT, request.mayReuseConnection ? 0L : 1L);
    curl_easy_setopt(it, CURLOPT_HEADERFUNCTION, &Callbacks::header);
    curl_easy_setopt(it, CURLOPT_HEADERDATA, this);
    curl_easy_setopt(it, CURLOPT_WRITEFUNCTION, &Callbacks::body);
    curl_easy_setopt(it, CURLOPT_WRITEDATA, this);
    curl_easy_setopt(it, CURLOPT_VERBOSE, 1L);
    curl_easy_setopt(it, CURLOPT_DEBUGFUNCTION, &Callbacks::recordSending);
    curl_easy_setopt(it, CURLOPT_DEBUGDATA, this);
    curl_easy_setopt(it, CURLOPT_PREREQFUNCTION, &Callbacks::beforeSending);
    curl_easy_setopt(it, CURLOPT_PREREQDATA, this);
    curl_easy_setopt(it, CURLOPT_PRIVATE, this);
}

} // namespace Daemon
