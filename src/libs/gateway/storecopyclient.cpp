#include "gateway/storecopyclient.h"

#include "gateway/boottime.h"
#include "gateway/eventlog.h"

#include <utility>

namespace Gateway {

namespace {

using std::chrono::milliseconds;

/// A neighbour answers within some milliseconds; one that is behind with its work, or down, must
/// not cost the time in which a change has to be in force.
constexpr Base::Duration copyTimeout = milliseconds(300);
/// Between two questions for the same thing: what is newer by then is asked for once.
constexpr Base::Duration copyInterval = milliseconds(150);

} // namespace

StoreCopyClient::StoreCopyClient(boost::asio::io_context &io, StoreCopyListener &listener,
                                 EventLog &log)
    : m_io(&io)
    , m_listener(&listener)
    , m_log(&log)
{}

void StoreCopyClient::requestCopy(StoreData what, const std::string &peerAddress)
{
    Question &question = m_questions[what];
    question.isWanted = true;
    question.peerAddress = peerAddress;
}

void StoreCopyClient::advance(Base::TimePoint now)
{
    if (m_lane)
        m_lane->checkTime(now);
    for (auto &[what, question] : m_questions) {
        if (m_lane && m_lane->isBusy())
            return;
        if (question.isWanted && now >= question.nextAt)
            ask(what, question, now);
    }
}

void StoreCopyClient::ask(StoreData what, Question &question, Base::TimePoint now)
{
    question.isWanted = false;
    question.nextAt = now + copyInterval;
    if (!m_lane || m_laneAddress != question.peerAddress) {
        const auto address = Settings::parseAddress(question.peerAddress);
        if (!address) {
            failed(what, "address");
            return;
        }
        m_lane = std::make_shared<HttpLane>(*m_io, *address);
        m_laneAddress = question.peerAddress;
    }
    m_lane->call({"GET", pathOf(what), {}}, copyTimeout, now,
                 [this, what, now](const std::optional<HttpAnswer> &answer) {
                     answered(what, answer, now);
                 });
}

void StoreCopyClient::answered(StoreData what, const std::optional<HttpAnswer> &answer,
                               Base::TimePoint askedAt)
{
    if (!answer || answer->status != 200) {
        failed(what, answer ? "refused" : "no answer");
        return;
    }
    boost::leaf::try_handle_all(
        [&]() -> Base::Result<void> {
            if (what == StoreData::Configuration) {
                BOOST_LEAF_AUTO(copy, decodeCopy(answer->body));
                m_listener->configurationCopied(copy, askedAt);
                return {};
            }
            BOOST_LEAF_AUTO(report, decodeReport(answer->body));
            m_listener->serversCopied(report, askedAt);
            return {};
        },
        [&] { failed(what, "malformed"); });
}

void StoreCopyClient::failed(StoreData what, const char *why)
{
    m_log->write(LogLine("copy.failed")
                     .add("what", pathOf(what) + 1)
                     .add("host", m_laneAddress)
                     .add("why", why),
                 bootTimeNow());
    m_listener->copyFailed(what);
}

} // namespace Gateway
