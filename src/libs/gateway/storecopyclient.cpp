#include "gateway/storecopyclient.h"

#include "gateway/boottime.h"
#include "gateway/eventlog.h"

#include <algorithm>
#include <utility>

namespace Gateway {

namespace {

using std::chrono::milliseconds;

/// A neighbour answers within a few milliseconds. The timeout is short since waiting for one that
/// is overloaded or down uses up the time within which a change has to be in force.
constexpr Base::Duration configurationTimeout = milliseconds(300);
/// A list of ten thousand servers takes over a megabyte. A weak host needs a few hundred
/// milliseconds to encode it and to send it to several others.
constexpr Base::Duration serversTimeout = milliseconds(1000);
/// Minimum interval between two requests for the same data, so that several changes within it are
/// fetched with one request.
constexpr Base::Duration copyInterval = milliseconds(150);

} // namespace

StoreCopyClient::StoreCopyClient(boost::asio::io_context &io, StoreCopyListener &listener,
                                 EventLog &log)
    : m_io(&io)
    , m_listener(&listener)
    , m_log(&log)
{}

void StoreCopyClient::requestCopy(StoreData what, const std::string &peerAddress,
                                  Base::TimePoint earliestAt)
{
    PendingCopy &pending = m_pendingCopies[what];
    pending.isRequested = true;
    pending.peerAddress = peerAddress;
    pending.earliestAt = std::max(pending.earliestAt, earliestAt);
}

void StoreCopyClient::advance(Base::TimePoint now)
{
    if (m_client)
        m_client->checkTime(now);
    for (auto &[what, pending] : m_pendingCopies) {
        if (m_client && m_client->isBusy())
            return;
        if (pending.isRequested && now >= pending.earliestAt)
            sendRequest(what, pending, now);
    }
}

void StoreCopyClient::sendRequest(StoreData what, PendingCopy &pending, Base::TimePoint now)
{
    pending.isRequested = false;
    pending.earliestAt = now + copyInterval;
    if (!m_client || m_clientAddress != pending.peerAddress) {
        const auto address = Settings::parseAddress(pending.peerAddress);
        if (!address) {
            reportFailure(what, "address");
            return;
        }
        m_client = std::make_shared<HttpClient>(*m_io, *address);
        m_clientAddress = pending.peerAddress;
    }
    const Base::Duration timeout =
        what == StoreData::Configuration ? configurationTimeout : serversTimeout;
    m_client->call({"GET", copyPath(what), {}}, timeout, now,
                   [this, what, now](const std::optional<HttpAnswer> &answer) {
                       answerReceived(what, answer, now);
                   });
}

void StoreCopyClient::answerReceived(StoreData what, const std::optional<HttpAnswer> &answer,
                                     Base::TimePoint askedAt)
{
    if (!answer || answer->status != 200) {
        reportFailure(what, answer ? "refused" : nameOfMissing(*m_client));
        return;
    }
    boost::leaf::try_handle_all(
        [&]() -> Base::Result<void> {
            BOOST_LEAF_AUTO(copy, decodeCopy(answer->body));
            // Reports repeat that there is newer data until it is known. What has become newer
            // since the request will be told again.
            m_pendingCopies[what].isRequested = false;
            if (what == StoreData::Configuration) {
                m_listener->configurationCopied(copy, askedAt);
                return {};
            }
            BOOST_LEAF_AUTO(report, decodeReport(copy.text));
            report.store.proofAge = copy.proofAge;
            m_listener->serversCopied(report, askedAt);
            return {};
        },
        [&] { reportFailure(what, "malformed"); });
}

void StoreCopyClient::reportFailure(StoreData what, const char *why)
{
    m_log->write(LogLine("copy.failed")
                     .add("what", copyPath(what) + 1)
                     .add("host", m_clientAddress)
                     .add("why", why),
                 bootTimeNow());
    m_listener->copyFailed(what);
}

} // namespace Gateway
