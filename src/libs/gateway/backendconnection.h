#pragma once

#include "base/time.h"
#include "gateway/headernames.h"
#include "gateway/httptext.h"
#include "gateway/outputbuffer.h"
#include "routing/work.h"

#include <boost/beast/http/parser.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace Gateway {

/// How an attempt failed, and whether the server may have run it.
struct AttemptFailure
{
    Routing::AttemptOutcome outcome = Routing::AttemptOutcome::Broken;
    /// A byte of the request was written.
    bool maybeSent = false;
};

/// Takes the answer to one attempt: answerStarted(), any number of answerData(), answerEnded(); or
/// attemptFailed() at any point. After the last two, and after BackendConnection::cancel(), nothing
/// more comes.
class BackendListener
{
public:
    virtual ~BackendListener() = default;
    virtual void answerStarted(const ResponseHead &head) = 0;
    virtual void answerData(std::string_view data) = 0;
    virtual void answerEnded() = 0;
    virtual void attemptFailed(const AttemptFailure &failure) = 0;
};

/// Told when a connection can take another request, or never will.
class ConnectionOwner
{
public:
    virtual ~ConnectionOwner() = default;
    virtual void connectionIdle(class BackendConnection &connection) = 0;
    virtual void connectionClosed(class BackendConnection &connection) = 0;
};

/// One attempt, ready to be written.
struct OutgoingAttempt
{
    std::string text;
    /// Its answer carries the same id; any other answer is not for this attempt.
    std::string requestId;
    bool isHead = false;
};

/// One connection to a backend server; one request at a time.
///
/// Answers are matched by the request's id: a server may send a second answer to an older request,
/// which comes where the next answer is expected. Such an answer is skipped. Whatever else comes
/// that nobody asked for closes the connection.
class BackendConnection final : public std::enable_shared_from_this<BackendConnection>
{
public:
    /// \a names, \a readBuffer and \a owner outlive the connection; \a serverKey is the owner's.
    BackendConnection(boost::asio::io_context &io, std::string serverKey, const HeaderNames &names,
                      std::string &readBuffer, ConnectionOwner &owner);

    /// Connects first, if that was not done yet. The listener outlives the attempt.
    void send(OutgoingAttempt attempt, const std::string &ip, std::uint16_t port,
              BackendListener &listener, Base::TimePoint now);
    /// Ends the attempt: the connection is closed, so that the server stops working on it.
    void cancel();
    /// Stops and restarts reading: back pressure from a slow caller.
    void pause() { m_isPaused = true; }
    void resume();
    /// Ends an attempt to connect that takes too long.
    void checkTime(Base::TimePoint now);
    /// Whether the server has closed it, or sent something that nobody asked for. Costs a system
    /// call; asked before a request that must not be sent twice.
    bool isStale();
    void close();

    const std::string &serverKey() const { return m_serverKey; }
    bool isConnected() const { return m_isConnected; }
    bool isIdle() const { return m_isConnected && !m_listener && m_socket.is_open(); }
    Base::TimePoint idleUntil() const { return m_idleUntil; }

private:
    void connected(const boost::system::error_code &ec);
    void write();
    void waitRead();
    void readable();
    void parse();
    void headParsed();
    void deliverBody();
    void answerDone();
    void endOfInput(bool isClean);
    void fail(Routing::AttemptOutcome outcome);

    Tcp::socket m_socket;
    std::string m_serverKey;
    const HeaderNames *m_names;
    std::string *m_readBuffer;
    ConnectionOwner *m_owner;
    BackendListener *m_listener = nullptr;
    std::optional<Http::response_parser<Http::string_body>> m_parser;
    OutgoingAttempt m_attempt;
    OutputBuffer m_output;
    std::string m_input;
    Base::TimePoint m_connectBy;
    Base::TimePoint m_idleUntil = Base::TimePoint::max();
    Base::Duration m_keepAlive{};
    int m_strays = 0;
    bool m_isConnected = false;
    bool m_isUsed = false;
    bool m_maybeSent = false;
    bool m_isHeadSeen = false;
    /// The answer under way belongs to an older request.
    bool m_isStray = false;
    bool m_isPaused = false;
    bool m_isWaitingRead = false;
    bool m_isWaitingWrite = false;
};

} // namespace Gateway
