#include "daemon/bufferedtransfer.h"

#include <utility>

namespace Daemon {

BufferedTransfer::BufferedTransfer(const TransferRequest &request, std::size_t largestAnswer,
                                   Done done)
    : HttpTransfer(request)
    , m_largestAnswer(largestAnswer)
    , m_done(std::move(done))
{}

void BufferedTransfer::finished(CURLcode code)
{
    m_done({code, isSent(), status(), std::move(m_received)});
}

void BufferedTransfer::receiveHeader(std::string_view, std::string_view) {}

bool BufferedTransfer::receiveBody(std::string_view bytes)
{
    if (m_received.size() + bytes.size() > m_largestAnswer)
        return false;
    m_received += bytes;
    return true;
}

} // namespace Daemon
