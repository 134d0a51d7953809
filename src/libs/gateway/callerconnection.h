#pragma once

#include "base/time.h"
#include "gateway/answersink.h"
#include "gateway/callersocket.h"
#include "gateway/messageframing.h"
#include "gateway/outputbuffer.h"

#include <boost/beast/http/parser.hpp>

#include <cstddef>
#include <memory>
#include <optional>
#include <string>

namespace Gateway {

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

/// What all connections of a listener share. The referenced objects must outlive the connections.
struct ConnectionContext
{
    RequestHandler &handler;
    const ConnectionLimits &limits;
    /// Scratch buffer for reads; its content is valid only within one handler.
    std::string &readBuffer;
};

/// A caller's connection: reads requests one after the other and writes their answers.
class CallerConnection final : public AnswerSink,
                               public std::enable_shared_from_this<CallerConnection>
{
public:
    /// Takes ownership of \a fd, a connected non-blocking socket.
    CallerConnection(boost::asio::io_context &io, int fd, const ConnectionContext &context);

    void start(Base::TimePoint now);
    /// Closes the connection if its idle timeout or header timeout has passed and what has arrived
    /// meanwhile, which is read first, is no request.
    void checkTime(Base::TimePoint now);
    /// Handles what has arrived, and closes the connection unless an answer is still to be written.
    void finish();
    bool isOpen() const { return m_socket.isOpen(); }
    /// Whether a request is being handled, which refers to this object.
    bool hasActiveRequest() const { return static_cast<bool>(m_active); }
    /// Whether part of an answer has not been written yet.
    bool hasOutput() const { return isOpen() && !m_output.isEmpty(); }

    void sendAnswer(const ResponseHead &head, std::string_view body) override;
    void startStream(const ResponseHead &head) override;
    void sendEvents(std::string_view data) override;
    void endStream() override;
    void abortAnswer() override;
    void closeAfterAnswer() override { m_closesAfterAnswer = true; }
    bool isCallerGone() const override;
    bool isBlocked() const override;

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
    void rejectInput(unsigned status);
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
    std::string m_input;
    OutputBuffer m_output;
    std::shared_ptr<ActiveRequest> m_active;
    /// When the connection started, the last answer ended, or the first byte of the current request
    /// was parsed, whichever was last.
    Base::TimePoint m_lastActivityAt;
    bool m_isAnswering = false;
    bool m_isInHandler = false;
    bool m_closesAfterAnswer = false;
    bool m_isHead = false;
    bool m_isWaitingRead = false;
    bool m_isWaitingWrite = false;
    /// Whether the output has been blocked since it was last empty; the server is paused meanwhile.
    bool m_wasBlocked = false;
};

} // namespace Gateway
