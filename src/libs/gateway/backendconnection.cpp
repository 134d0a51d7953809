#include "gateway/backendconnection.h"

#include "base/connectionend.h"
#include "base/hash.h"
#include "gateway/boottime.h"
#include "gateway/messageframing.h"

#include <boost/asio/ip/address_v4.hpp>

#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <utility>

namespace Gateway {

namespace {

/// A host that is powered off does not answer at all. Connecting takes about 2 ms; a lost SYN is
/// retransmitted only after 1 s, by when another server is the better choice.
constexpr Base::Duration connectTimeout = std::chrono::milliseconds(350);
/// The kernel closes the connection once sent bytes have been unacknowledged for this long, since
/// the server is then unreachable. Without it, a write into a network partition hangs for minutes.
constexpr int unacknowledgedTimeoutMs = 2500;
/// A connection is no longer reused this long before the server would close it, so that no request
/// is sent while the server closes it.
constexpr Base::Duration keepAliveMargin = std::chrono::milliseconds(700);
/// Longer times are cut; in nanoseconds, the longest that a server can state overflow.
constexpr std::uint64_t maxKeepAliveS = 86'400;
/// Number of late answers that are skipped before the connection is closed.
constexpr int maxLateAnswers = 3;
/// Number of requests whose ids a connection remembers. A busy connection carries fewer in the time
/// in which a request may be sent again.
constexpr std::size_t maxCarriedIds = 256;

bool isInformational(const ResponseHead &head)
{
    return Http::to_status_class(head.result_int()) == Http::status_class::informational;
}

std::uint64_t nextNumber()
{
    static std::uint64_t s_last = 0;
    return ++s_last;
}

Base::Duration keepAliveTimeout(const ResponseHead &head)
{
    const std::string_view text = field(head, "Keep-Alive");
    constexpr std::string_view key = "timeout=";
    const std::size_t at = text.find(key);
    if (at == std::string_view::npos)
        return Base::Duration::zero();
    std::string_view number = text.substr(at + key.size());
    number = number.substr(0, number.find_first_not_of("0123456789"));
    const std::uint64_t seconds = parseNumber(number).value_or(0);
    return std::chrono::seconds(static_cast<std::int64_t>(std::min(seconds, maxKeepAliveS)));
}

} // namespace

BackendConnection::BackendConnection(boost::asio::io_context &io, std::string serverKey,
                                     const HeaderNames &names, std::string &readBuffer,
                                     ConnectionOwner &owner)
    : m_socket(io)
    , m_serverKey(std::move(serverKey))
    , m_number(nextNumber())
    , m_names(&names)
    , m_readBuffer(&readBuffer)
    , m_owner(&owner)
{}

void BackendConnection::send(OutgoingAttempt attempt, const std::string &ip, std::uint16_t port,
                             BackendListener &listener, Base::TimePoint now)
{
    m_listener = &listener;
    m_attempt = std::move(attempt);
    m_maybeSent = false;
    m_isHeadSeen = false;
    m_isLateAnswer = false;
    m_isPaused = false;
    m_lateAnswers = 0;
    m_interimAnswers = 0;
    m_lateAnswerBytes = 0;
    m_parser.reset();
    m_output.clear();
    m_output.append(std::exchange(m_attempt.text, {}));
    if (m_attempt.body)
        m_output.appendShared(std::exchange(m_attempt.body, nullptr));
    m_carriedIds.push_back(Base::stableHash(m_attempt.requestId));
    if (m_carriedIds.size() > maxCarriedIds)
        m_carriedIds.pop_front();
    if (m_isConnected) {
        m_isUsed = true;
        m_owner->requestWritten(*this);
        write();
        return;
    }
    boost::system::error_code ec;
    m_server = {boost::asio::ip::make_address_v4(ip, ec), port};
    m_connectDeadline = now + connectTimeout;
    connect();
}

void BackendConnection::open(const Tcp::endpoint &server)
{
    m_isOpening = true;
    m_server = server;
    connect();
}

void BackendConnection::connect()
{
    m_socket.async_connect(
        m_server,
        [self = shared_from_this()](const boost::system::error_code &ec) { self->connected(ec); });
}

void BackendConnection::connected(const boost::system::error_code &ec)
{
    if (!m_listener && !m_isOpening)
        return;
    if (ec && m_isOpening) {
        opened(false);
        return;
    }
    if (ec) {
        fail(Routing::AttemptOutcome::Unreachable);
        return;
    }
    boost::system::error_code ignored;
    m_socket.non_blocking(true, ignored);
    m_socket.set_option(Tcp::no_delay(true), ignored);
    const int limit = unacknowledgedTimeoutMs;
    setsockopt(m_socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &limit, sizeof(limit));
    m_isConnected = true;
    if (m_isOpening) {
        waitRead();
        opened(true);
        return;
    }
    m_owner->requestWritten(*this);
    write();
    waitRead();
}

void BackendConnection::opened(bool isOpen)
{
    m_isOpening = false;
    if (isOpen)
        m_owner->connectionIdle(*this);
    else
        close();
}

void BackendConnection::write()
{
    boost::system::error_code ec;
    const std::size_t n = m_output.flush(m_socket, ec);
    m_maybeSent |= n > 0;
    if (ec) {
        fail(Routing::AttemptOutcome::Broken);
        return;
    }
    if (m_output.isEmpty() || m_isWaitingWrite)
        return;
    m_isWaitingWrite = true;
    m_socket.async_wait(Tcp::socket::wait_write,
                        [self = shared_from_this()](const boost::system::error_code &result) {
                            self->m_isWaitingWrite = false;
                            if (!result && self->m_listener)
                                self->write();
                        });
}

void BackendConnection::cancel()
{
    m_listener = nullptr;
    close();
}

void BackendConnection::withdrawUnsent()
{
    if (m_listener && !m_isConnected)
        fail(Routing::AttemptOutcome::Withdrawn);
}

void BackendConnection::resume()
{
    m_isPaused = false;
    waitRead();
}

void BackendConnection::checkTime(Base::TimePoint now)
{
    if (m_isOpening && !m_connectDeadline)
        m_connectDeadline = now + connectTimeout;
    if (m_isConnected || !m_connectDeadline || now < *m_connectDeadline)
        return;
    if (m_isOpening)
        opened(false);
    else if (m_listener)
        fail(Routing::AttemptOutcome::Unreachable);
}

bool BackendConnection::isStale()
{
    char byte = 0;
    const ssize_t n = recv(m_socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

bool BackendConnection::isEnded()
{
    pollfd it{m_socket.native_handle(), POLLRDHUP, 0};
    return !m_socket.is_open() || poll(&it, 1, 0) != 0;
}

bool BackendConnection::isEndUnread()
{
    return m_isPaused && isEndUnsettled() && m_parser && m_isHeadSeen && !m_isLateAnswer
           && m_parser->need_eof() && isEnded();
}

bool BackendConnection::hasCarried(const std::string &requestId) const
{
    return std::ranges::count(m_carriedIds, Base::stableHash(requestId)) > 0;
}

void BackendConnection::waitRead()
{
    if (m_isWaitingRead || m_isPaused || !m_socket.is_open())
        return;
    m_isWaitingRead = true;
    m_socket.async_wait(Tcp::socket::wait_read,
                        [self = shared_from_this()](const boost::system::error_code &ec) {
                            self->m_isWaitingRead = false;
                            if (!ec && !self->m_isPaused)
                                self->readable();
                        });
}

void BackendConnection::readable()
{
    if (!m_socket.is_open())
        return;
    boost::system::error_code ec;
    const std::size_t n = m_socket.read_some(boost::asio::buffer(*m_readBuffer), ec);
    if (ec == boost::asio::error::would_block) {
        waitRead();
        return;
    }
    if (ec) {
        inputEnded(ec == boost::asio::error::eof);
        return;
    }
    if (!m_listener) {
        // No request is open: the data are a second answer to an older request, or no answer at
        // all.
        close();
        return;
    }
    m_input.append(*m_readBuffer, 0, n);
    parse();
    waitRead();
}

void BackendConnection::parse()
{
    while (m_listener && !m_input.empty()) {
        if (!m_parser) {
            m_parser.emplace();
            // The parser stops after the head: for the body, it reserves as many bytes as the head
            // tells.
            m_parser->eager(false);
            m_parser->header_limit(maxAnswerHeadBytes);
            m_parser->body_limit(boost::none);
            m_parser->skip(m_attempt.isHead);
            m_isHeadSeen = false;
            m_headBytes = 0;
        }
        boost::system::error_code ec;
        const std::size_t n = m_parser->put(boost::asio::buffer(m_input), ec);
        const bool isFolded =
            !m_isHeadSeen && hasFoldedLine(std::string_view(m_input).substr(0, n));
        m_input.erase(0, n);
        if ((ec && ec != Http::error::need_more) || isFolded) {
            const bool isLongHead = ec == Http::error::header_limit;
            fail(Routing::AttemptOutcome::Broken,
                 isLongHead ? AnswerFault::LongHead : AnswerFault::Malformed);
            return;
        }
        if (m_parser->is_header_done() && !m_isHeadSeen)
            headParsed();
        if (m_listener)
            checkLimits(n, ec == Http::error::need_more);
        if (!m_listener)
            return;
        if (m_isHeadSeen)
            deliverBody();
        if (!m_listener)
            return;
        if (m_parser->is_done())
            answerCompleted();
        else if (ec == Http::error::need_more)
            return;
    }
}

void BackendConnection::checkLimits(std::size_t parsed, bool needsMore)
{
    AnswerFault fault = AnswerFault::None;
    if (!m_isHeadSeen) {
        // The parser's own limit is only for what is left of the head when a piece of it arrives.
        m_headBytes += parsed;
        if (m_headBytes + m_input.size() > maxAnswerHeadBytes)
            fault = AnswerFault::LongHead;
    } else {
        m_lateAnswerBytes += m_isLateAnswer ? parsed : 0;
        const auto bodyLeft = m_parser->content_length_remaining();
        if (!m_parser->is_done() && bodyLeft && *bodyLeft > maxAnswerBodyBytes)
            fault = AnswerFault::LongBody;
        // Once the head is parsed, the parser leaves nothing but incomplete text between chunks.
        else if (needsMore && m_input.size() > maxChunkFramingBytes)
            fault = AnswerFault::LongChunkFraming;
        else if (m_lateAnswerBytes > maxLateAnswerBytes)
            fault = AnswerFault::LongLateAnswers;
    }
    if (fault != AnswerFault::None)
        fail(Routing::AttemptOutcome::Broken, fault);
}

void BackendConnection::headParsed()
{
    m_isHeadSeen = true;
    const ResponseHead &head = m_parser->get().base();
    if (!isAnswerHead(head) || countOf(head, m_names->requestId) > 1
        || countOf(head, m_names->signature) > 1) {
        fail(Routing::AttemptOutcome::Broken, AnswerFault::Malformed);
        return;
    }
    m_parser->eager(true);
    m_parser->on_chunk_header(checkChunkExtensions);
    m_owner->headReceived(*this, head);
    const std::string_view id = field(head, m_names->requestId);
    m_isLateAnswer = isInformational(head) || id != m_attempt.requestId;
    if (m_isLateAnswer)
        return;
    m_keepAliveTimeout = keepAliveTimeout(head);
    m_listener->answerStarted(head);
}

void BackendConnection::deliverBody()
{
    std::string &body = m_parser->get().body();
    if (body.empty())
        return;
    const std::string data = std::exchange(body, {});
    if (!m_isLateAnswer)
        m_listener->answerData(data);
}

void BackendConnection::answerCompleted()
{
    const bool isKeepAlive = m_parser->keep_alive();
    const bool isInterim = isInformational(m_parser->get().base());
    m_parser.reset();
    if (m_isLateAnswer) {
        if (isInterim && ++m_interimAnswers > maxInterimAnswers)
            fail(Routing::AttemptOutcome::Broken, AnswerFault::ManyInterimAnswers);
        else if (!isInterim && (!isKeepAlive || ++m_lateAnswers > maxLateAnswers))
            fail(Routing::AttemptOutcome::Broken);
        return;
    }
    BackendListener *listener = std::exchange(m_listener, nullptr);
    // Unread bytes belong to no request. The server would take unsent bytes of this request as the
    // beginning of the next one.
    const bool isReusable = isKeepAlive && m_input.empty() && m_output.isEmpty();
    const std::shared_ptr<BackendConnection> self = shared_from_this();
    if (isReusable) {
        m_idleUntil = m_keepAliveTimeout > Base::Duration::zero()
                          ? bootTimeNow() + m_keepAliveTimeout - keepAliveMargin
                          : Base::TimePoint::max();
        m_owner->connectionIdle(*this);
    } else {
        close();
    }
    listener->answerEnded();
}

void BackendConnection::inputEnded(bool isClean)
{
    if (!m_listener) {
        close();
        return;
    }
    // An answer without a length ends when the server closes the connection; after a reset it is
    // incomplete.
    if (isClean && m_parser && m_isHeadSeen && !m_isLateAnswer && !isCutOff()) {
        boost::system::error_code ec;
        m_parser->put_eof(ec);
        if (!ec && m_parser->is_done() && !m_listener->isIncomplete()) {
            const std::shared_ptr<BackendConnection> self = shared_from_this();
            close();
            if (m_isEndWhole)
                settleEnd(*m_isEndWhole);
            else
                m_owner->endDoubted(*this);
            return;
        }
    }
    fail(Routing::AttemptOutcome::Broken);
}

bool BackendConnection::isCutOff()
{
    if (!m_parser->need_eof())
        return false;
    Base::ConnectionEnd end = Base::connectionEnd(m_socket.native_handle());
    end.isRequestReceived &= m_output.isEmpty();
    return Base::isCutOff(end, m_parser->get().result_int());
}

void BackendConnection::settleEnd(bool isWhole)
{
    m_isEndWhole = isWhole;
    if (!m_listener || m_socket.is_open())
        return;
    if (isWhole)
        answerCompleted();
    else
        fail(Routing::AttemptOutcome::Broken, AnswerFault::ServerEnded);
}

void BackendConnection::fail(Routing::AttemptOutcome outcome, AnswerFault fault)
{
    BackendListener *listener = std::exchange(m_listener, nullptr);
    const AttemptFailure failure{outcome, m_maybeSent, fault};
    const std::shared_ptr<BackendConnection> self = shared_from_this();
    close();
    if (listener)
        listener->attemptFailed(failure);
}

void BackendConnection::close()
{
    if (std::exchange(m_isClosed, true))
        return;
    const std::shared_ptr<BackendConnection> self = shared_from_this();
    boost::system::error_code ec;
    m_socket.close(ec);
    m_output.clear();
    m_owner->connectionClosed(*this);
}

} // namespace Gateway
