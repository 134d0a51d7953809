#pragma once

#include "base/time.h"
#include "gateway/answersink.h"
#include "gateway/callersocket.h"
#include "gateway/outputbuffer.h"

#include <boost/beast/http/parser.hpp>

#include <cstddef>
#include <memory>
#include <optional>
#include <string>

namespace Gateway {

/// Bounds on one caller's connection; they follow the configuration in force.
struct ConnectionLimits
{
    std::size_t headerBytes = 16384;
    std::size_t bodyBytes = 4U << 20;
    Base::Duration headerTimeout = std::chrono::seconds(3);
    Base::Duration idleTimeout = std::chrono::seconds(15);
    /// Set while the process leaves: each answer is the last one of its connection.
    bool closesAfterAnswer = false;
};

/// What all connections of a listener share. Outlives them.
struct ConnectionContext
{
    RequestHandler &handler;
    const ConnectionLimits &limits;
    /// Scratch space that reads go to; used only within one handler.
    std::string &readBuffer;
};

/// One caller's connection: reads requests one after the other and writes their answers.
class CallerConnection final : public AnswerSink,
                               public std::enable_shared_from_this<CallerConnection>
{
public:
    /// Takes over \a fd, a connected socket that does not block.
    CallerConnection(boost::asio::io_context &io, int fd, const ConnectionContext &context);

    void start(Base::TimePoint now);
    /// Closes the connection if it has been idle, or slow with its header, for too long.
    void checkTime(Base::TimePoint now);
    /// Closes it if no request is open.
    void closeIfIdle();
    bool isOpen() const { return m_socket.isOpen(); }
    bool isBusy() const { return m_active || m_parser || !m_output.isEmpty(); }

    void sendAnswer(const ResponseHead &head, std::string_view body) override;
    void startStream(const ResponseHead &head) override;
    void sendEvents(std::string_view data) override;
    void endStream() override;
    void abortAnswer() override;
    void closeAfterAnswer() override { m_closesAfterAnswer = true; }
    bool isCallerGone() const override;
    bool isBlocked() const override;

private:
    void waitRead();
    void readable();
    void parse();
    /// Takes bytes of the input until a request is whole; returns whether one is.
    bool parseOne();
    void refuseInput(const boost::system::error_code &ec);
    void dispatch();
    void finishAnswer();
    void flush();
    void waitWrite();
    void lose();
    void close();

    CallerSocket m_socket;
    ConnectionContext m_context;
    std::optional<Http::request_parser<Http::string_body>> m_parser;
    std::string m_input;
    OutputBuffer m_output;
    std::shared_ptr<ActiveRequest> m_active;
    /// Time of the last whole request or answer, or of the first byte of the request under way.
    Base::TimePoint m_since;
    bool m_isAnswering = false;
    bool m_isInHandler = false;
    bool m_closesAfterAnswer = false;
    bool m_isHead = false;
    bool m_isWaitingRead = false;
    bool m_isWaitingWrite = false;
    /// The server was held back since the output was last empty.
    bool m_wasBlocked = false;
};

} // namespace Gateway
