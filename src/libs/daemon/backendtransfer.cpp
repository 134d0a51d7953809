#include "daemon/backendtransfer.h"

#include "daemon/chunkunits.h"
#include "daemon/daemonconstants.h"
#include "daemon/ssewriter.h"

#include <charconv>
#include <utility>

namespace Daemon {

namespace {

std::optional<std::uint64_t> parseNumber(std::string_view text)
{
    std::uint64_t number = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (ec != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return number;
}

TransferRequest toTransferRequest(const Node::BackendRequest &from)
{
    TransferRequest to;
    to.method = "POST";
    to.url = "http://" + from.address + from.path;
    to.body = from.body;
    to.mayReuseConnection = from.idempotencyKey.empty();
    to.deadline = Base::Clock::now() + backendIdleTimeout;
    to.headers.push_back("X-Request-Id: " + Base::toString(from.attempt.request) + '#'
                         + std::to_string(from.attempt.number));
    to.headers.push_back("Content-Type: " + from.contentType);
    if (!from.traceparent.empty())
        to.headers.push_back("traceparent: " + from.traceparent);
    if (!from.idempotencyKey.empty())
        to.headers.push_back("Idempotency-Key: " + from.idempotencyKey);
    if (from.fence > 0)
        to.headers.push_back("X-Fence: " + std::to_string(from.fence));
    if (!from.resumeStream.empty()) {
        to.headers.push_back("X-Resume-Stream: " + from.resumeStream);
        to.headers.push_back("X-Resume-From: " + std::to_string(from.resumeFrom));
    }
    return to;
}

} // namespace

BackendTransfer::BackendTransfer(const Node::BackendRequest &request, EventRing &ring,
                                 FinishedHandler handler)
    : HttpTransfer(toTransferRequest(request))
    , m_ring(ring)
    , m_handler(std::move(handler))
    , m_attempt(request.attempt)
    , m_kind(request.kind)
    , m_address(request.address)
    , m_parser(maxSseEventBytes)
    , m_nextIndex(request.resumeStream.empty() ? 0 : request.resumeFrom)
{
    m_head.attempt = m_attempt;
}

void BackendTransfer::pause()
{
    m_isPaused = true;
    // No idle timeout applies: the caller is slow, not the server.
    setDeadline(Base::TimePoint::max());
    curl_easy_pause(handle(), CURLPAUSE_RECV);
}

void BackendTransfer::resume()
{
    m_isPaused = false;
    extendDeadline();
    curl_easy_pause(handle(), CURLPAUSE_CONT);
}

void BackendTransfer::finished(CURLcode code)
{
    const bool isComplete =
        code == CURLE_OK && m_kind == Node::WorkKind::ServiceCall && !m_isNotRun;
    if (isComplete)
        pushFinished();
    else
        pushFailed();
    m_handler(*this);
}

void BackendTransfer::receiveHeader(std::string_view name, std::string_view value)
{
    extendDeadline();
    if (!isInFinalHead())
        return;
    if (equalsIgnoringCase(name, "Content-Type"))
        m_head.contentType = value;
    if (equalsIgnoringCase(name, "X-Stream-Name"))
        m_head.streamName = value;
    if (equalsIgnoringCase(name, "X-Not-Run"))
        m_isNotRun = equalsIgnoringCase(value, "yes");
    if (!equalsIgnoringCase(name, "Retry-After"))
        return;
    constexpr std::uint64_t maxRetryAfterSeconds = 86400;
    const std::optional<std::uint64_t> seconds = parseNumber(value);
    if (seconds && *seconds <= maxRetryAfterSeconds)
        m_retryAfter = std::chrono::seconds(*seconds);
}

bool BackendTransfer::receiveBody(std::string_view bytes)
{
    extendDeadline();
    if (isErrorAnswer() || m_isOutcomePushed) {
        m_unusedBytes += bytes.size();
        return m_unusedBytes <= maxUnusedBodyBytes;
    }
    if (m_kind == Node::WorkKind::ChatCompletion)
        return receiveEvents(bytes);
    pushHead();
    pushPart(m_nextIndex, std::string(bytes), bytes.size() / bytesPerToken);
    return true;
}

bool BackendTransfer::receiveEvents(std::string_view bytes)
{
    std::vector<SseEvent> events;
    if (!m_parser.feed(bytes, events))
        return false;
    for (const SseEvent &event : events) {
        if (!receiveEvent(event))
            return false;
    }
    return true;
}

bool BackendTransfer::receiveEvent(const SseEvent &event)
{
    if (m_isOutcomePushed)
        return true;
    if (event.name == "error")
        return false;
    if (event.data == doneMarker) {
        pushFinished();
        return true;
    }
    pushHead();
    pushPart(parseNumber(event.id).value_or(m_nextIndex), event.data, chunkUnits(event.data));
    return true;
}

bool BackendTransfer::isErrorAnswer() const
{
    return m_isNotRun || (m_kind == Node::WorkKind::ChatCompletion && status() != 200);
}

void BackendTransfer::pushHead()
{
    if (std::exchange(m_isHeadPushed, true))
        return;
    m_head.status = status();
    m_ring.push(m_head);
}

void BackendTransfer::pushPart(std::uint64_t index, std::string payload, Base::ServiceUnits units)
{
    m_nextIndex = index + 1;
    m_ring.push(Node::BackendPart{m_attempt, index, std::move(payload), units});
}

void BackendTransfer::pushFinished()
{
    if (m_isOutcomePushed)
        return;
    pushHead();
    m_isOutcomePushed = true;
    m_ring.push(Node::BackendFinished{m_attempt, m_nextIndex});
}

void BackendTransfer::pushFailed()
{
    if (std::exchange(m_isOutcomePushed, true))
        return;
    Node::BackendFailed failed;
    failed.attempt = m_attempt;
    failed.sent = isSent() ? Node::SendState::MaybeRan : Node::SendState::NeverSent;
    if (m_isNotRun && isHeadComplete())
        failed.sent = Node::SendState::Refused;
    failed.status = status();
    failed.retryAfter = m_retryAfter;
    m_ring.push(failed);
}

void BackendTransfer::extendDeadline()
{
    if (!m_isPaused)
        setDeadline(Base::Clock::now() + backendIdleTimeout);
}

} // namespace Daemon
