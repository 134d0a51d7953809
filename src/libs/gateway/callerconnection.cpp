#include "gateway/callerconnection.h"

#include "gateway/boottime.h"

#include <boost/beast/http/error.hpp>

#include <utility>

namespace Gateway {

namespace {

/// Bytes of pipelined requests that are buffered while a request is open; reading stops beyond it.
constexpr std::size_t maxPipelinedBytes = 65536;
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
{}

void CallerConnection::start(Base::TimePoint now)
{
    m_lastActivityAt = now;
    // On an overloaded host the request has often arrived already; it can then be read and answered
    // without a registration with the event loop.
    readable();
}

void CallerConnection::checkTime(Base::TimePoint now)
{
    if (!isOpen() || m_active || !isLate(now))
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
    std::string &buf = m_context.readBuffer;
    boost::system::error_code ec;
    const std::size_t n = m_socket.read(buf, ec);
    if (ec == boost::asio::error::would_block) {
        waitRead();
        return;
    }
    if (ec) {
        connectionLost();
        return;
    }
    m_input.append(buf, 0, n);
    parse();
    if (isOpen() && m_input.size() < maxPipelinedBytes)
        waitRead();
}

void CallerConnection::parse()
{
    while (isOpen() && !m_isAnswering && !m_closesAfterAnswer && !m_input.empty()) {
        if (!parseOne())
            return;
        dispatch();
    }
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
    }
    while (!m_input.empty() && !m_parser->is_done()) {
        const bool isHead = !m_parser->is_header_done();
        boost::system::error_code ec;
        const std::size_t n = m_parser->put(boost::asio::buffer(m_input), ec);
        const bool isFolded = isHead && hasFoldedLine(std::string_view(m_input).substr(0, n));
        m_input.erase(0, n);
        if ((ec && ec != Http::error::need_more) || isFolded) {
            rejectInput(statusFor(ec));
            return false;
        }
        if (isHead && m_parser->is_header_done() && !acceptHead())
            return false;
        if (ec == Http::error::need_more)
            return false;
    }
    return m_parser->is_done();
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
    m_head.reset();
    m_parser.reset();
    m_input.clear();
    m_isAnswering = true;
    m_closesAfterAnswer = true;
    sendAnswer(head, {});
}

void CallerConnection::dispatch()
{
    CallerRequest request{m_parser->release(), m_lastActivityAt};
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
    if (m_closesAfterAnswer && !m_isAnswering)
        close();
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
    m_socket.close();
}

} // namespace Gateway
