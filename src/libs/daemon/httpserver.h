#pragma once

#include "base/memorybudget.h"
#include "base/result.h"
#include "daemon/callersessions.h"
#include "daemon/eventring.h"
#include "daemon/hangupwatcher.h"
#include "daemon/httprequest.h"
#include "daemon/idleconnections.h"
#include "daemon/processstate.h"
#include "daemon/requestparser.h"

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>

#include <ulfius.h>

namespace Daemon {

class AnswerStream;

/// The process could not listen at the address.
struct CannotListen
{
    std::string address;
};

/// Settings of the HTTP server.
struct HttpServerSettings
{
    /// "IP:PORT"; port 0 selects a free port.
    std::string address;
    /// Callers that may be connected at the same time.
    std::size_t connections = 2000;
    /// Largest accepted request body in bytes.
    std::size_t bodyBytes = 1048576;
    /// Memory for the requests of all callers, in bytes.
    std::size_t callerMemoryBytes = 256'000'000;
    /// Prefix of the ids of requests that are refused before they reach the node.
    std::string requestIdPrefix;
};

/// The HTTP server for callers and operators. One thread per connection reads the request, passes
/// it to the core as an event and writes the answer.
///
/// A caller beyond the connection limit takes the place of the connection that has been idle for
/// longest. If none is idle, it is told to retry later, on connections that are reserved for such
/// answers. Without them the HTTP library would close the connection, which a caller
/// cannot tell from a crash.
///
/// The HTTP library keeps each body until it is whole. Its memory is reserved from a budget of the
/// process (BodyMemory); whoever does not fit into it is disconnected, or refused once the body is
/// whole.
class HttpServer
{
public:
    /// Creates the server and starts to listen. Fails with MalformedAddress, CannotListen or
    /// WatcherUnavailable.
    static Base::Result<std::unique_ptr<HttpServer>>
    create(const HttpServerSettings &settings, CallerSessions &sessions, EventRing &ring,
           const ProcessState &state, MetricsPage &metrics);
    ~HttpServer();

    std::uint16_t port() const;
    /// Returns the number of open connections, including those beyond the limit.
    std::size_t openConnections() const { return m_connections; }

private:
    friend struct HttpServerCallbacks;
    struct InstanceDeleter
    {
        void operator()(_u_instance *instance) const;
    };

    HttpServer(const HttpServerSettings &settings, CallerSessions &sessions, EventRing &ring,
               const ProcessState &state, MetricsPage &metrics);
    Base::Result<void> start();

    void serve(const _u_request &request, _u_response &response);
    void servePage(LocalPage page, _u_response &response);
    void serveEvent(Node::Event event, _u_response &response);
    void respondWithItem(const std::shared_ptr<CallerSession> &session, const SessionItem &item,
                         bool isStreaming, _u_response &response);
    void startAnswer(const std::shared_ptr<CallerSession> &session, const Node::AnswerHead &head,
                     bool isStreaming, _u_response &response);
    void assembleAnswer(const std::shared_ptr<CallerSession> &session, const Node::AnswerHead &head,
                        _u_response &response);
    /// Answers an exchange that was given up. A response that is left unset would be sent as an
    /// empty 200.
    void respondGivenUp(_u_response &response);
    /// Answers for a stream that is too long for one completion.
    static void respondTooLong(const Node::AnswerHead &head, _u_response &response);
    void refuse(RequestFault fault, _u_response &response);
    void refuseConnection(_u_response &response);
    /// Refuses a whole request for whose copies there is no memory.
    void refuseForMemory(_u_response &response);
    /// Refuses work that comes after the lists of entry hosts with this host have expired.
    void refuseLate(_u_response &response);
    void closeSession(const CallerSession &session, int socket);
    std::string nextRequestId();

    HttpServerSettings m_settings;
    Base::MemoryBudget m_memory;
    CallerSessions &m_sessions;
    EventRing &m_ring;
    const ProcessState &m_state;
    MetricsPage &m_metrics;
    std::atomic<std::size_t> m_connections = 0;
    IdleConnections m_idle;
    std::atomic<std::uint64_t> m_lastRequestNumber = 0;
    std::unique_ptr<HangupWatcher> m_watcher;
    std::unique_ptr<_u_instance, InstanceDeleter> m_instance;
};

} // namespace Daemon
