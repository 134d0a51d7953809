#pragma once

#include "base/time.h"
#include "gateway/answerfault.h"
#include "gateway/headernames.h"
#include "gateway/httptext.h"
#include "gateway/outputbuffer.h"
#include "routing/work.h"

#include <boost/beast/http/parser.hpp>

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace Gateway {

/// Describes how an attempt failed and whether the server may have run it.
struct AttemptFailure
{
    Routing::AttemptOutcome outcome = Routing::AttemptOutcome::Broken;
    /// At least one byte of the request was written, so the server may have run it.
    bool maybeSent = false;
    AnswerFault fault = AnswerFault::None;
};

/// Receives the answer to one attempt: answerStarted(), any number of answerData() calls, then
/// answerEnded(). attemptFailed() may be called instead at any point. No call follows
/// answerEnded(), attemptFailed() or BackendConnection::cancel().
class BackendListener
{
public:
    virtual ~BackendListener() = default;
    virtual void answerStarted(const ResponseHead &head) = 0;
    virtual void answerData(std::string_view data) = 0;
    virtual void answerEnded() = 0;
    virtual void attemptFailed(const AttemptFailure &failure) = 0;
    /// Whether the answer is broken off if nothing more arrives.
    virtual bool isIncomplete() const { return false; }
};

/// Is notified when a request is written to a connection, when the head of any answer arrives on
/// it, and when it becomes idle, and can take another request, or is closed. Decides whether an
/// answer is whole that has ended with its connection.
class ConnectionOwner
{
public:
    virtual ~ConnectionOwner() = default;
    virtual void requestWritten(class BackendConnection &connection) = 0;
    virtual void headReceived(class BackendConnection &connection, const ResponseHead &head) = 0;
    virtual void connectionIdle(class BackendConnection &connection) = 0;
    virtual void connectionClosed(class BackendConnection &connection) = 0;
    /// An answer with neither a length nor chunks has ended with \a connection. The owner calls
    /// settleEnd() later.
    virtual void endDoubted(class BackendConnection &connection) = 0;
};

/// One attempt, serialized for sending.
struct OutgoingAttempt
{
    /// The head, and the body if it is short.
    std::string text;
    /// A longer body, which all attempts share; null if there is none.
    std::shared_ptr<const std::string> body;
    /// Id that the answer must repeat; an answer with another id belongs to another attempt.
    std::string requestId;
    bool isHead = false;
};

/// A connection to a backend server that carries one request at a time.
///
/// Answers are matched by the request's id, since a server may send a second answer to an older
/// request, which arrives where the next answer is expected. Such a late answer is skipped, and so
/// is a 1xx answer. Any other unsolicited data closes the connection.
///
/// The id does not tell several sendings of one request apart. A request must therefore not be sent
/// on a connection that has carried it before (hasCarried()).
///
/// An answer is read within the limits of answerfault.h, so that a server that sends without end
/// takes neither memory nor time without end.
///
/// The end of a connection does not tell a whole answer without a length from one whose server has
/// ended: the kernel of a killed process closes its connections in the same way. The owner decides,
/// unless the server stopped while the request was still on its way (Base::isCutOff()).
class BackendConnection final : public std::enable_shared_from_this<BackendConnection>
{
public:
    /// \a names, \a readBuffer and \a owner must outlive the connection. \a serverKey is the key
    /// under which the owner keeps the connection.
    BackendConnection(boost::asio::io_context &io, std::string serverKey, const HeaderNames &names,
                      std::string &readBuffer, ConnectionOwner &owner);

    /// Sends \a attempt; connects to \a ip and \a port first if the connection is not open yet.
    /// \a listener must outlive the attempt.
    void send(OutgoingAttempt attempt, const std::string &ip, std::uint16_t port,
              BackendListener &listener, Base::TimePoint now);
    /// Connects to \a server without a request. The connection is idle then, or closed.
    void open(const Tcp::endpoint &server);
    /// Ends an answer whose end was in doubt, as whole or as broken off, once all of it is read.
    void settleEnd(bool isWhole);
    /// Cancels the attempt by closing the connection, which makes the server stop working on it.
    void cancel();
    /// Fails the attempt as withdrawn if it still waits for the connection to be established.
    void withdrawUnsent();
    /// Stops reading, to apply backpressure to the server while its caller is slow.
    void pause() { m_isPaused = true; }
    bool isPaused() const { return m_isPaused; }
    /// Reads on after pause().
    void resume();
    /// Fails the attempt, or open(), if connecting has timed out.
    void checkTime(Base::TimePoint now);
    /// Whether the server has closed the idle connection or sent unsolicited data on it. Costs a
    /// system call; called before a request is sent that must not run twice.
    bool isStale();
    /// Whether either end has closed the connection, also while data are still unread.
    bool isEnded();
    void close();

    const std::string &serverKey() const { return m_serverKey; }
    /// The address that the connection was made to.
    const Tcp::endpoint &server() const { return m_server; }
    /// Whether an answer without a length is open for which somebody still waits, and whose end was
    /// not settled.
    bool isEndUnsettled() const { return m_listener && !m_isEndWhole; }
    /// Whether the connection has ended behind an answer without a length that is not read, since
    /// its caller is slow.
    bool isEndUnread();
    /// A number that no other connection of this process has.
    std::uint64_t number() const { return m_number; }
    bool isConnected() const { return m_isConnected; }
    bool isOpening() const { return m_isOpening; }
    bool isIdle() const { return m_isConnected && !m_listener && m_socket.is_open(); }
    /// Whether a request with this id was sent on the connection before.
    bool hasCarried(const std::string &requestId) const;
    /// When the server may soon close the connection: it must not be reused from then on.
    Base::TimePoint idleUntil() const { return m_idleUntil; }

private:
    void connect();
    void connected(const boost::system::error_code &ec);
    /// Ends open().
    void opened(bool isOpen);
    void write();
    void waitRead();
    void readable();
    void parse();
    /// Fails the attempt if a limit of the answer is exceeded. \a parsed is the number of bytes
    /// that the parser has just taken; it left the rest if it \a needsMore.
    void checkLimits(std::size_t parsed, bool needsMore);
    void headParsed();
    void deliverBody();
    void answerCompleted();
    void inputEnded(bool isClean);
    /// Whether the server stopped in the middle of an answer that ends with its connection.
    bool isCutOff();
    void fail(Routing::AttemptOutcome outcome, AnswerFault fault = AnswerFault::None);

    Tcp::socket m_socket;
    Tcp::endpoint m_server;
    std::string m_serverKey;
    std::uint64_t m_number;
    const HeaderNames *m_names;
    std::string *m_readBuffer;
    ConnectionOwner *m_owner;
    BackendListener *m_listener = nullptr;
    std::optional<Http::response_parser<Http::string_body>> m_parser;
    OutgoingAttempt m_attempt;
    /// Hashes of the ids of the latest requests, the newest one last.
    std::deque<std::uint64_t> m_carriedIds;
    OutputBuffer m_output;
    std::string m_input;
    /// Empty until the first checkTime() after open().
    std::optional<Base::TimePoint> m_connectDeadline;
    Base::TimePoint m_idleUntil = Base::TimePoint::max();
    Base::Duration m_keepAliveTimeout{};
    int m_lateAnswers = 0;
    int m_interimAnswers = 0;
    std::size_t m_lateAnswerBytes = 0;
    /// The bytes of an incomplete head that the parser has taken.
    std::size_t m_headBytes = 0;
    /// How the end of the answer was settled.
    std::optional<bool> m_isEndWhole;
    bool m_isConnected = false;
    bool m_isOpening = false;
    /// Also of a connection whose socket could not be opened.
    bool m_isClosed = false;
    bool m_isUsed = false;
    bool m_maybeSent = false;
    bool m_isHeadSeen = false;
    /// The answer being read belongs to an older request, or is not the final one.
    bool m_isLateAnswer = false;
    bool m_isPaused = false;
    bool m_isWaitingRead = false;
    bool m_isWaitingWrite = false;
};

} // namespace Gateway
