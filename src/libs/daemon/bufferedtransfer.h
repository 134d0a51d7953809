#pragma once

#include "daemon/httptransfer.h"

#include <functional>
#include <string>

namespace Daemon {

/// The whole answer of a short call.
struct BufferedAnswer
{
    CURLcode code = CURLE_OK;
    bool isSent = false;
    int status = 0;
    std::string body;

    bool isComplete() const { return code == CURLE_OK; }
};

/// A call whose answer is short and taken whole.
class BufferedTransfer final : public HttpTransfer
{
public:
    using Done = std::function<void(const BufferedAnswer &)>;

    BufferedTransfer(const TransferRequest &request, std::size_t maxAnswerBytes, Done done);

    void finished(CURLcode code) override;

private:
    void receiveHeader(std::string_view name, std::string_view value) override;
    bool receiveBody(std::string_view bytes) override;

    std::size_t m_maxAnswerBytes;
    Done m_done;
    std::string m_answerBody;
};

} // namespace Daemon
