#pragma once

#include "base/memorybudget.h"
#include "base/time.h"
#include "gateway/answersink.h"
#include "gateway/callersocket.h"
#include "gateway/messageframing.h"
#include "gateway/outputbuffer.h"

#include <boost/beast/http/parser.hpp>

#include <cstddef>
#include <cstdint>
#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Gateway {

/// Memory for callers' requests where the settings do not limit that of the process.
inline constexpr std::size_t defaultCallerMemoryBytes = 128U << 20;

/// Largest body of a request for one of the process's own pages, none of which reads it, in bytes.
inline constexpr std::size_t maxIgnoredBodyBytes = 1024;

/// Limits of one caller's connection, taken from the configuration in force.
struct ConnectionLimits
{
    std::size_t headerBytes = 16384;
    std::size_t bodyBytes = 4U << 20;
    Base::Duration headerTimeout = std::chrono::seconds(3);
    Base::Duration idleTimeout = std::chrono::seconds(15);
    /// Each answer closes its connection; set while the process shuts down.
    bool closesAfterAnswer = false;
};

/// What callers may take of a process, and have taken, on all its listeners.
class CallerShare
{
public:
    Base::MemoryBudget memory{defaultCallerMemoryBytes};
    /// Each connection has a file descriptor. The others are left to the connections that the
    /// process itself opens.
    std::size_t maxConnections = std::numeric_limits<std::size_t>::max();
    std::size_t connections = 0;
    /// Connections that makeRoom() has closed.
    std::uint64_t closedIdle = 0;

    void add(class HttpListener &listener) { m_listeners.push_back(&listener); }
    void remove(HttpListener &listener) { std::erase(m_listeners, &listener); }
    bool isFull() const { return connections >= maxConnections; }
    /// Closes connections that have been idle for longest until another one may be accepted.
    /// Returns whether one may.
    bool makeRoom();

private:
    std::vector<HttpListener *> m_listeners;
};

/// What all connections of a listener share. The referenced objects must outlive the connections.
struct ConnectionContext
{
    RequestHandler &handler;
    const ConnectionLimits &limits;
    /// Scratch buffer for reads; its content is valid only within one handler.
    std::string &readBuffer;
    /// What callers may take of this process, on all its listeners.
    CallerShare &share;
};

/// A caller's connection: reads requests one after the other and writes their answers.
///
/// Callers are not under control. All memory of a request is reserved from the budget of the
/// process, which may make the connection give up an incomplete request; that one is answered with
/// 503. When a request is refused before its end, the rest of it is read and discarded for a while:
/// a close with unread bytes would reset the connection and destroy the answer.
class CallerConnection final : public AnswerSink,
                               public Base::MemoryHolder,
                               public std::enable_shared_from_this<CallerConnection>
{
public:
    /// Takes ownership of \a fd, a connected non-blocking socket.
    CallerConnection(boost::asio::io_context &io, int fd, const ConnectionContext &context);
    ~CallerConnection() override { close(); }
    CallerConnection(const CallerConnection &) = delete;
    CallerConnection &operator=(const CallerConnection &) = delete;

    void start(Base::TimePoint now);
    /// Closes the connection if its idle timeout or header timeout has passed and what has arrived
    /// meanwhile, which is read first, is no request.
    void checkTime(Base::TimePoint now);
    /// Handles what has arrived, and closes the connection unless an answer is still to be written.
    void finish();
    bool isOpen() const { return m_socket.isOpen(); }
    /// Whether no whole request is being handled or answered.
    bool isIdle() const { return isOpen() && !m_isAnswering && m_output.isEmpty(); }
    /// Whether an idle connection is to be closed before \a other if there are too many: first
    /// those whose request was refused, then those without a request, then incomplete requests, and
    /// of these the one with the oldest activity.
    bool closesBefore(const CallerConnection &other) const;
    /// Closes an idle connection, unless what has arrived meanwhile makes a whole request. Returns
    /// whether it is closed.
    bool closeIfIdle();
    /// Whether a request is being handled, which refers to this object.
    bool hasActiveRequest() const { return static_cast<bool>(m_active); }
    /// Whether part of an answer has not been written yet.
    bool hasOutput() const { return isOpen() && !m_output.isEmpty(); }

    void sendAnswer(const ResponseHead &head, std::string_view body) override;
    void sendLargeAnswer(const ResponseHead &head,
                         const std::shared_ptr<const std::string> &body) override;
    void startStream(const ResponseHead &head) override;
    void sendEvents(std::string_view data) override;
    void endStream() override;
    void abortAnswer() override;
    void closeAfterAnswer() override { m_closesAfterAnswer = true; }
    bool isCallerGone() const override;
    bool isBlocked() const override;

    bool giveWay() override;

private:
    bool isLate(Base::TimePoint now) const;
    void waitRead();
    void readable();
    void parse();
    /// Parses input until a request is complete; returns whether one is.
    bool parseOne();
    /// Decides on the parsed head before any of the body is read; returns whether the request is
    /// read on.
    bool acceptHead();
    /// Decides whether an incomplete request is read on.
    bool acceptIncomplete();
    void startReservation();
    /// Reserves memory for what has arrived of the current request, with \a bodyBytes for its body.
    bool reserve(std::size_t bodyBytes);
    /// Makes room in a chunked body for all that has arrived; returns whether there is memory.
    bool growBody();
    void rejectInput(unsigned status);
    void refuseForMemory();
    /// Answers a request whose rest is not wanted.
    void refuse(const ResponseHead &head, std::string_view body);
    void discardInput();
    void dispatch();
    void finishAnswer();
    void flush();
    void waitWrite();
    void connectionLost();
    void close();

    CallerSocket m_socket;
    ConnectionContext m_context;
    std::optional<Http::request_parser<Http::string_body>> m_parser;
    /// The head while chunks are read, out of reach of the parser, which adds trailers to the head.
    std::optional<RequestHead> m_head;
    /// What is reserved for the current request until it is dispatched.
    Base::MemoryBudget::Reservation m_memory;
    std::string m_input;
    /// Parsed bytes of the current request's head.
    std::size_t m_headBytes = 0;
    OutputBuffer m_output;
    std::shared_ptr<ActiveRequest> m_active;
    /// When the connection started, the last answer ended, or the first byte of the current request
    /// was parsed, whichever was last.
    Base::TimePoint m_lastActivityAt;
    /// Until when the rest of a refused request is read; empty before its answer is written.
    std::optional<Base::TimePoint> m_discardsUntil;
    std::size_t m_discardedBytes = 0;
    bool m_isAnswering = false;
    /// Whether the current request was refused before its end.
    bool m_isRefused = false;
    /// Whether the current request has passed RequestHandler::refuseEarly().
    bool m_isHeadAccepted = false;
    bool m_isInHandler = false;
    bool m_closesAfterAnswer = false;
    bool m_isHead = false;
    bool m_isWaitingRead = false;
    bool m_isWaitingWrite = false;
    /// Whether the output has been blocked since it was last empty; the server is paused meanwhile.
    bool m_wasBlocked = false;
};

} // namespace Gateway
