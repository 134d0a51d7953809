#include "gateway/callerconnection.h"

#include "gateway/boottime.h"

#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <tuple>
#include <utility>

namespace Gateway {

namespace {

/// Unparsed bytes beyond which reading stops.
constexpr std::size_t maxInputBytes = 65536;
/// The same while a request is open, and the memory that an empty input buffer keeps.
constexpr std::size_t maxPipelinedBytes = 4096;
/// How much is discarded of a request that was refused before its end, in multiples of the largest
/// body, and for how long. A caller that writes all of its request before it reads is answered.
constexpr std::size_t maxDiscardedBodies = 2;
constexpr Base::Duration discardTimeout = std::chrono::seconds(2);
/// Retry-After of a request for which there is no memory.
constexpr const char *memoryRetryAfterSeconds = "1";
/// Answer bytes that a slow caller may leave unread before backpressure is applied to its server.
constexpr std::size_t blockedOutputBytes = 256U << 10;

unsigned statusFor(const boost::system::error_code &ec)
{
    if (ec == Http::error::header_limit)
        return 431;
    if (ec == Http::error::body_limit)
        return 413;
    return 400;
}

} // namespace

CallerConnection::CallerConnection(boost::asio::io_context &io, int fd,
                                   const ConnectionContext &context)
    : m_socket(io, fd)
    , m_context(context)
{
    ++m_context.share.connections;
}

void CallerConnection::start(Base::TimePoint now)
{
    m_lastActivityAt = now;
    // On an overloaded host the request has often arrived already; it can then be read and answered
    // without a registration with the event loop.
    readable();
}

void CallerConnection::checkTime(Base::TimePoint now)
{
    if (m_discardsUntil && now >= *m_discardsUntil)
        close();
    if (!isOpen() || m_discardsUntil || m_active || !isLate(now))
        return;
    // A request may have arrived since the event loop last looked, and a close with unread bytes
    // resets the connection.
    readable();
    if (isOpen() && !m_active && isLate(now))
        close();
}

void CallerConnection::finish()
{
    if (!isOpen() || m_active)
        return;
    // A request that was sent before the caller could know of the end gets an answer.
    readable();
    if (isOpen() && !m_active && m_output.isEmpty())
        close();
}

bool CallerConnection::closesBefore(const CallerConnection &other) const
{
    const auto rank = [](const CallerConnection &it) {
        return std::tuple(!it.m_discardsUntil, it.m_parser.has_value(), it.m_lastActivityAt);
    };
    return rank(*this) < rank(other);
}

bool CallerConnection::closeIfIdle()
{
    if (isIdle())
        readable();
    if (isIdle())
        close();
    return !isOpen();
}

bool CallerConnection::isLate(Base::TimePoint now) const
{
    const bool isReadingHeader = m_parser && !m_parser->is_header_done();
    const Base::Duration limit =
        isReadingHeader ? m_context.limits.headerTimeout : m_context.limits.idleTimeout;
    return now - m_lastActivityAt >= limit;
}

void CallerConnection::waitRead()
{
    if (m_isWaitingRead || !isOpen())
        return;
    m_isWaitingRead = true;
    m_socket.waitRead([self = shared_from_this()](const boost::system::error_code &ec) {
        self->m_isWaitingRead = false;
        if (!ec)
            self->readable();
    });
}

void CallerConnection::readable()
{
    if (!isOpen())
        return;
    if (m_discardsUntil) {
        discardInput();
        return;
    }
    std::string &buf = m_context.readBuffer;
    boost::system::error_code ec;
    const std::size_t limit = m_isAnswering ? maxPipelinedBytes : buf.size();
    const std::size_t n = m_socket.read(buf, limit, ec);
    if (ec == boost::asio::error::would_block) {
        waitRead();
        return;
    }
    if (ec) {
        connectionLost();
        return;
    }
    // The refusal may still wait for the caller to read earlier answers.
    if (!m_isRefused)
        m_input.append(buf, 0, n);
    parse();
    if (isOpen() && m_input.size() < (m_isAnswering ? maxPipelinedBytes : maxInputBytes))
        waitRead();
}

void CallerConnection::parse()
{
    while (isOpen() && !m_isAnswering && !m_closesAfterAnswer && !m_input.empty()) {
        if (!parseOne())
            break;
        dispatch();
    }
    if (m_input.empty() && m_input.capacity() > maxPipelinedBytes)
        m_input.shrink_to_fit();
}

bool CallerConnection::parseOne()
{
    if (!m_parser) {
        m_parser.emplace();
        m_parser->header_limit(static_cast<std::uint32_t>(m_context.limits.headerBytes));
        m_parser->body_limit(m_context.limits.bodyBytes);
        // The parser stops after the head, which decides whether the body is read.
        m_parser->eager(false);
        m_lastActivityAt = bootTimeNow();
        m_headBytes = 0;
        m_isHeadAccepted = false;
    }
    while (!m_input.empty() && !m_parser->is_done()) {
        const bool isHead = !m_parser->is_header_done();
        if (!isHead && m_head && !growBody()) {
            refuseForMemory();
            return false;
        }
        boost::system::error_code ec;
        const std::size_t n = m_parser->put(boost::asio::buffer(m_input), ec);
        const bool isFolded = isHead && hasFoldedLine(std::string_view(m_input).substr(0, n));
        m_input.erase(0, n);
        m_headBytes += isHead ? n : 0;
        if ((ec && ec != Http::error::need_more) || isFolded) {
            rejectInput(statusFor(ec));
            return false;
        }
        if (isHead && m_parser->is_header_done() && !acceptHead())
            return false;
        if (ec == Http::error::need_more)
            break;
    }
    return m_parser->is_done() || acceptIncomplete();
}

bool CallerConnection::acceptIncomplete()
{
    const bool isHeadDone = m_parser->is_header_done();
    if (isHeadDone && !std::exchange(m_isHeadAccepted, true)) {
        const RequestHead &head = m_head ? *m_head : m_parser->get().base();
        if (const auto refusal = m_context.handler.refuseEarly(head, m_lastActivityAt)) {
            refuse(refusal->head, refusal->body);
            return false;
        }
    }
    const std::size_t announced = isHeadDone ? m_parser->content_length().value_or(0) : 0;
    if (!reserve(std::max<std::size_t>(announced, m_parser->get().body().capacity())))
        refuseForMemory();
    return false;
}

bool CallerConnection::reserve(std::size_t bodyBytes)
{
    startReservation();
    return m_memory.resize(m_headBytes + bodyBytes + m_input.capacity(), bootTimeNow());
}

void CallerConnection::startReservation()
{
    if (m_memory.isEmpty())
        m_memory = {m_context.share.memory, *this, m_lastActivityAt};
}

bool CallerConnection::growBody()
{
    std::string &body = m_parser->get().body();
    const std::size_t needed = body.size() + m_input.size();
    if (needed <= body.capacity())
        return true;
    const std::size_t grown = std::max(needed, std::min(2 * needed, m_context.limits.bodyBytes));
    if (!reserve(grown))
        return false;
    body.reserve(grown);
    return true;
}

bool CallerConnection::acceptHead()
{
    RequestHead &head = m_parser->get().base();
    const Framing framing = requestFraming(head);
    if (framing != Framing::Clear || !takeAbsoluteTarget(head)) {
        rejectInput(framingStatus(framing));
        return false;
    }
    m_parser->eager(true);
    if (m_parser->chunked()) {
        m_parser->on_chunk_header(checkChunkExtensions);
        m_head = std::move(head);
    }
    return true;
}

void CallerConnection::rejectInput(unsigned status)
{
    ResponseHead head;
    head.result(status);
    refuse(head, {});
}

void CallerConnection::refuseForMemory()
{
    ResponseHead head;
    head.result(Http::status::service_unavailable);
    head.set(Http::field::retry_after, memoryRetryAfterSeconds);
    refuse(head, {});
}

void CallerConnection::refuse(const ResponseHead &head, std::string_view body)
{
    m_head.reset();
    m_parser.reset();
    m_input = {};
    m_memory.release();
    m_isAnswering = true;
    m_closesAfterAnswer = true;
    m_isRefused = true;
    m_isHead = false;
    sendAnswer(head, body);
}

bool CallerConnection::giveWay()
{
    m_head.reset();
    m_parser.reset();
    m_input = {};
    // Nothing more of the request is parsed.
    m_isAnswering = true;
    boost::asio::post(m_socket.executor(), [self = shared_from_this()] {
        if (self->isOpen())
            self->refuseForMemory();
    });
    return true;
}

void CallerConnection::discardInput()
{
    boost::system::error_code ec;
    m_discardedBytes += m_socket.read(m_context.readBuffer, m_context.readBuffer.size(), ec);
    const bool isAtEnd = ec && ec != boost::asio::error::would_block;
    if (isAtEnd
        || m_discardedBytes > maxDiscardedBodies * m_context.limits.bodyBytes + maxInputBytes)
        close();
    else
        waitRead();
}

void CallerConnection::dispatch()
{
    startReservation();
    m_memory.keep();
    if (!reserve(m_parser->get().body().capacity())) {
        refuseForMemory();
        return;
    }
    CallerRequest request{m_parser->release(), m_lastActivityAt, std::move(m_memory)};
    m_parser.reset();
    if (m_head)
        request.message.base() = *std::exchange(m_head, std::nullopt);
    m_isHead = request.message.method() == Http::verb::head;
    m_closesAfterAnswer = !request.message.keep_alive();
    m_isAnswering = true;
    m_isInHandler = true;
    std::shared_ptr<ActiveRequest> active = m_context.handler.handle(std::move(request), *this);
    m_isInHandler = false;
    if (m_isAnswering)
        m_active = std::move(active);
}

void CallerConnection::sendAnswer(const ResponseHead &head, std::string_view body)
{
    m_closesAfterAnswer |= m_context.limits.closesAfterAnswer;
    m_output.append(answerHeadText(head, BodyFraming::Length, body.size(), m_closesAfterAnswer));
    if (!m_isHead)
        m_output.append(body);
    finishAnswer();
}

void CallerConnection::sendLargeAnswer(const ResponseHead &head,
                                       const std::shared_ptr<const std::string> &body)
{
    m_closesAfterAnswer |= m_context.limits.closesAfterAnswer;
    m_output.append(answerHeadText(head, BodyFraming::Length, body->size(), m_closesAfterAnswer));
    if (!m_isHead)
        m_output.appendShared(body);
    finishAnswer();
}

void CallerConnection::startStream(const ResponseHead &head)
{
    m_closesAfterAnswer |= m_context.limits.closesAfterAnswer;
    m_output.append(answerHeadText(head, BodyFraming::Chunked, 0, m_closesAfterAnswer));
}

void CallerConnection::sendEvents(std::string_view data)
{
    if (data.empty())
        return;
    m_output.append(chunkText(data));
    flush();
}

void CallerConnection::endStream()
{
    m_output.append(lastChunkText);
    finishAnswer();
}

void CallerConnection::abortAnswer()
{
    m_active.reset();
    m_isAnswering = false;
    m_output.clear();
    close();
}

bool CallerConnection::isCallerGone() const
{
    return !isOpen() || m_socket.isAtEnd();
}

bool CallerConnection::isBlocked() const
{
    return m_output.size() >= blockedOutputBytes;
}

void CallerConnection::finishAnswer()
{
    m_active.reset();
    m_isAnswering = false;
    m_lastActivityAt = bootTimeNow();
    flush();
    if (m_isInHandler || !isOpen() || m_closesAfterAnswer || m_input.empty())
        return;
    // Parsing is deferred: the caller of this function may still use state that the next request
    // changes.
    boost::asio::post(m_socket.executor(), [self = shared_from_this()] {
        self->parse();
        self->waitRead();
    });
}

void CallerConnection::flush()
{
    if (!isOpen() || m_isWaitingWrite)
        return;
    m_wasBlocked |= isBlocked();
    boost::system::error_code ec;
    m_socket.write(m_output, ec);
    if (ec) {
        connectionLost();
        return;
    }
    if (!m_output.isEmpty()) {
        waitWrite();
        return;
    }
    if (std::exchange(m_wasBlocked, false) && m_active)
        m_active->outputDrained();
    if (!m_closesAfterAnswer || m_isAnswering)
        return;
    if (!m_isRefused) {
        close();
        return;
    }
    m_socket.shutdownOutput();
    m_discardsUntil = bootTimeNow() + discardTimeout;
    waitRead();
}

void CallerConnection::waitWrite()
{
    m_isWaitingWrite = true;
    m_socket.waitWrite([self = shared_from_this()](const boost::system::error_code &ec) {
        self->m_isWaitingWrite = false;
        if (!ec)
            self->flush();
    });
}

void CallerConnection::connectionLost()
{
    const std::shared_ptr<ActiveRequest> active = std::move(m_active);
    m_active.reset();
    m_isAnswering = false;
    close();
    if (active)
        active->callerGone();
}

void CallerConnection::close()
{
    if (!isOpen())
        return;
    m_socket.close();
    --m_context.share.connections;
    m_head.reset();
    m_parser.reset();
    m_input = {};
    m_output.clear();
    m_memory.release();
    m_discardsUntil.reset();
}

} // namespace Gateway
