#include "daemon/bufferedtransfer.h"

#include <utility>

namespace Daemon {

BufferedTransfer::BufferedTransfer(const TransferRequest &request, std::size_t maxAnswerBytes,
                                   Done done)
    : HttpTransfer(request)
    , m_maxAnswerBytes(maxAnswerBytes)
    , m_done(std::move(done))
{}

void BufferedTransfer::finished(CURLcode code)
{
    m_done({code, isSent(), status(), isDelimited(), std::move(m_answerBody)});
}

bool BufferedTransfer::receiveBody(std::string_view bytes)
{
    if (m_answerBody.size() + bytes.size() > m_maxAnswerBytes)
        return false;
    m_answerBody += bytes;
    return true;
}

} // namespace Daemon
