#pragma once

#include "daemon/httptransfer.h"

#include <functional>
#include <string>

namespace Daemon {

/// The result of a BufferedTransfer.
struct BufferedAnswer
{
    CURLcode code = CURLE_OK;
    /// Whether a byte of the request has left this process.
    bool isSent = false;
    /// HTTP status; 0 if no head of an answer arrived.
    int status = 0;
    /// Whether the head told where the body ends. Otherwise it ends with the connection, and a body
    /// that was cut off looks whole.
    bool isDelimited = false;
    std::string body;

    /// Whether the complete answer has arrived, with whatever status.
    bool isComplete() const { return code == CURLE_OK; }
};

/// An HTTP call whose short answer is buffered and passed on as a whole.
class BufferedTransfer final : public HttpTransfer
{
public:
    using Done = std::function<void(const BufferedAnswer &)>;

    /// Calls \a done when the transfer ends. Fails if the answer's body has more than \a
    /// maxAnswerBytes.
    BufferedTransfer(const TransferRequest &request, std::size_t maxAnswerBytes, Done done);

private:
    void finished(CURLcode code) override;
    void receiveHeader(std::string_view, std::string_view) override {}
    bool receiveBody(std::string_view bytes) override;

    std::size_t m_maxAnswerBytes;
    Done m_done;
    std::string m_answerBody;
};

} // namespace Daemon
