#include "daemon/httpserver.h"

#include "daemon/address.h"
#include "daemon/answerstream.h"
#include "daemon/bodymemory.h"
#include "daemon/completionassembler.h"
#include "daemon/daemonconstants.h"
#include "daemon/httpresponse.h"

#include <algorithm>
#include <array>
#include <utility>

#include <sys/resource.h>
#include <sys/socket.h>

namespace Daemon {

namespace {

/// The connection that the calling thread serves. Each connection has its own thread, and the HTTP
/// library passes the connection only to the callback for the request line.
thread_local MHD_Connection *currentConnection = nullptr;

constexpr unsigned int mhdFlags =
    MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL;

int socketOf(MHD_Connection *connection)
{
    const MHD_ConnectionInfo *info =
        connection ? MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD)
                   : nullptr;
    return info ? static_cast<int>(info->connect_fd) : -1;
}

int currentSocket()
{
    return socketOf(currentConnection);
}

/// Connections of callers for which the process has file descriptors.
std::size_t possibleConnections(std::size_t wanted)
{
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0)
        return wanted;
    const auto descriptors = static_cast<std::size_t>(limit.rlim_cur);
    const std::size_t callers = descriptors - descriptors / ownDescriptorPart;
    return std::min(wanted, callers - std::min(callers / 2, reservedConnections));
}

void setIdleTimeout(std::chrono::seconds timeout)
{
    if (currentConnection)
        MHD_set_connection_option(currentConnection, MHD_CONNECTION_OPTION_TIMEOUT,
                                  static_cast<unsigned int>(timeout.count()));
}

std::string headerOf(const _u_request &request, const char *name)
{
    const char *value = u_map_get_case(request.map_header, name);
    return value ? value : "";
}

HttpRequest readRequest(const _u_request &request)
{
    HttpRequest read;
    read.method = request.http_verb ? request.http_verb : "";
    read.target = request.http_url ? request.http_url : "";
    read.fields.authorization = headerOf(request, "Authorization");
    read.fields.contentType = headerOf(request, "Content-Type");
    read.fields.workClass = headerOf(request, "X-Lagoonmast-Class");
    read.fields.repeatable = headerOf(request, "X-Lagoonmast-Repeatable");
    read.fields.idempotencyKey = headerOf(request, "Idempotency-Key");
    read.fields.deadline = headerOf(request, "X-Lagoonmast-Deadline-Ms");
    read.fields.traceparent = headerOf(request, "traceparent");
    read.fields.ifMatch = headerOf(request, "If-Match");
    if (request.binary_body_length > 0)
        read.body.assign(static_cast<const char *>(request.binary_body),
                         request.binary_body_length);
    return read;
}

void setCaller(Node::Event &event, Node::CallerId caller)
{
    std::visit(
        [caller](auto &it) {
            if constexpr (requires { it.caller; })
                it.caller = caller;
        },
        event);
}

HttpServerSettings withPossibleConnections(HttpServerSettings settings)
{
    settings.connections = possibleConnections(settings.connections);
    return settings;
}

bool isStreamWanted(const Node::Event &event)
{
    const auto *asked = std::get_if<Node::CallerRequest>(&event);
    return asked && (asked->isStreaming || asked->kind == Node::WorkKind::ServiceCall);
}

/// Whether a response with this status never has a body.
bool hasNoBody(int status)
{
    return status == 204 || status == 304;
}

} // namespace

/// Callbacks of the HTTP library. These static functions forward to the object in their closure.
struct HttpServerCallbacks
{
    static int serve(const _u_request *request, _u_response *response, void *server)
    {
        static_cast<HttpServer *>(server)->serve(*request, *response);
        return U_CALLBACK_COMPLETE;
    }

    static void *recordConnection(void *closure, const char *uri, MHD_Connection *connection)
    {
        auto &server = *static_cast<HttpServer *>(closure);
        currentConnection = connection;
        setIdleTimeout(idleConnectionTimeout);
        server.m_idle.remove(currentSocket());
        BodyMemory::begin(server.m_memory, server.m_settings.bodyBytes, connection);
        return ulfius_uri_logger(nullptr, uri);
    }

    static void endRequest(void *closure, MHD_Connection *connection, void **context,
                           MHD_RequestTerminationCode code)
    {
        mhd_request_completed(closure, connection, context, code);
        BodyMemory::end();
        static_cast<HttpServer *>(closure)->m_idle.add(socketOf(connection));
    }

    static void countConnection(void *closure, MHD_Connection *connection, void **,
                                MHD_ConnectionNotificationCode code)
    {
        auto &server = *static_cast<HttpServer *>(closure);
        if (code != MHD_CONNECTION_NOTIFY_STARTED) {
            --server.m_connections;
            server.m_idle.remove(socketOf(connection));
            return;
        }
        if (++server.m_connections > server.m_settings.connections)
            server.m_idle.shutDownLongest();
        server.m_idle.add(socketOf(connection));
    }

    static ssize_t readStream(void *stream, std::uint64_t, char *buf, std::size_t size)
    {
        return static_cast<AnswerStream *>(stream)->read(buf, size);
    }

    static void freeStream(void *stream) { delete static_cast<AnswerStream *>(stream); }
};

Base::Result<std::unique_ptr<HttpServer>>
HttpServer::create(const HttpServerSettings &settings, CallerSessions &sessions, EventRing &ring,
                   const ProcessState &state, MetricsPage &metrics)
{
    std::unique_ptr<HttpServer> server(new HttpServer(settings, sessions, ring, state, metrics));
    Base::Result<void> started = server->start();
    if (!started)
        return started.error();
    return server;
}

HttpServer::HttpServer(const HttpServerSettings &settings, CallerSessions &sessions,
                       EventRing &ring, const ProcessState &state, MetricsPage &metrics)
    : m_settings(withPossibleConnections(settings))
    , m_memory(settings.callerMemoryBytes)
    , m_sessions(sessions)
    , m_ring(ring)
    , m_state(state)
    , m_metrics(metrics)
{}

HttpServer::~HttpServer() = default;

void HttpServer::InstanceDeleter::operator()(_u_instance *instance) const
{
    ulfius_stop_framework(instance);
    ulfius_clean_instance(instance);
    delete instance;
}

Base::Result<void> HttpServer::start()
{
    BOOST_LEAF_AUTO(address, parseAddress(m_settings.address));
    BOOST_LEAF_ASSIGN(m_watcher, HangupWatcher::create(
                                     [this](Node::CallerId caller) { m_sessions.hangUp(caller); }));
    BodyMemory::install();
    // Ulfius does not accept port 0. It gets port 1 instead, and MHD_OPTION_SOCK_ADDR sets the real
    // address.
    m_instance.reset(new _u_instance);
    ulfius_init_instance(m_instance.get(), 1, nullptr, nullptr);
    m_instance->allowed_post_processor = U_POST_PROCESS_NONE;
    m_instance->check_utf8 = 0;
    // Reads one byte more than allowed, so that a body that is too large can be recognized.
    m_instance->max_post_body_size = m_settings.bodyBytes + 1;
    ulfius_add_endpoint_by_val(m_instance.get(), "*", nullptr, "*", 0, &HttpServerCallbacks::serve,
                               this);
    const auto limit = static_cast<intptr_t>(m_settings.connections + reservedConnections);
    std::array<MHD_OptionItem, 9> options{{
        {MHD_OPTION_NOTIFY_COMPLETED, reinterpret_cast<intptr_t>(&HttpServerCallbacks::endRequest),
         this},
        {MHD_OPTION_URI_LOG_CALLBACK,
         reinterpret_cast<intptr_t>(&HttpServerCallbacks::recordConnection), this},
        {MHD_OPTION_NOTIFY_CONNECTION,
         reinterpret_cast<intptr_t>(&HttpServerCallbacks::countConnection), this},
        {MHD_OPTION_SOCK_ADDR, 0, &address},
        {MHD_OPTION_THREAD_STACK_SIZE, static_cast<intptr_t>(connectionStackBytes), nullptr},
        {MHD_OPTION_CONNECTION_LIMIT, limit, nullptr},
        {MHD_OPTION_CONNECTION_TIMEOUT, static_cast<intptr_t>(idleConnectionTimeout.count()),
         nullptr},
        {MHD_OPTION_LISTENING_ADDRESS_REUSE, 1, nullptr},
        {MHD_OPTION_END, 0, nullptr},
    }};
    const int started =
        ulfius_start_framework_with_mhd_options(m_instance.get(), mhdFlags, options.data());
    if (started != U_OK)
        return boost::leaf::new_error(CannotListen{m_settings.address});
    return {};
}

std::uint16_t HttpServer::port() const
{
    // Asks the socket, because the HTTP library only returns the port that it was started with.
    const MHD_DaemonInfo *info =
        MHD_get_daemon_info(m_instance->mhd_daemon, MHD_DAEMON_INFO_LISTEN_FD);
    sockaddr_in address{};
    socklen_t size = sizeof address;
    if (!info || getsockname(info->listen_fd, reinterpret_cast<sockaddr *>(&address), &size) != 0)
        return 0;
    return ntohs(address.sin_port);
}

void HttpServer::serve(const _u_request &request, _u_response &response)
{
    // From here on the caller waits for this process, so the idle timeout does not apply.
    setIdleTimeout(std::chrono::seconds(0));
    if (!BodyMemory::keep(request.binary_body_length * bodyCopies)) {
        refuseForMemory(response);
        return;
    }
    const HttpRequest read = readRequest(request);
    boost::leaf::try_handle_all(
        [&]() -> Base::Result<void> {
            BOOST_LEAF_AUTO(parsed, parseRequest(read, m_settings.bodyBytes));
            if (const auto *page = std::get_if<LocalPage>(&parsed))
                servePage(*page, response);
            else if (m_connections > m_settings.connections)
                refuseConnection(response);
            else if (m_state.refusesWork)
                refuseLate(response);
            else
                serveEvent(std::move(std::get<Node::Event>(parsed)), response);
            return {};
        },
        [&](const BadRequest &bad) { refuse(bad.fault, response); },
        [&] { refuse(RequestFault::MalformedBody, response); });
}

void HttpServer::servePage(LocalPage page, _u_response &response)
{
    if (page == LocalPage::Metrics) {
        respondText(response, 200, "text/plain; version=0.0.4", m_metrics.text());
        return;
    }
    const bool isAcceptingWork = m_state.isReady && !m_state.isLeaving;
    const bool isOk = page == LocalPage::Health || isAcceptingWork;
    respondText(response, isOk ? 200 : 503, "text/plain", isOk ? "ok\n" : "not ready\n");
}

void HttpServer::serveEvent(Node::Event event, _u_response &response)
{
    const std::shared_ptr<CallerSession> session = m_sessions.open();
    const bool isStreaming = isStreamWanted(event);
    const int socket = currentSocket();
    setCaller(event, session->id());
    m_watcher->watch(socket, session->id());
    if (!m_ring.push(std::move(event)))
        session->hangUp();
    const std::optional<SessionItem> item = session->take();
    if (item)
        respondWithItem(session, *item, isStreaming, response);
    else
        respondGivenUp(response);
    if (!response.stream_callback)
        closeSession(*session, socket);
}

void HttpServer::respondWithItem(const std::shared_ptr<CallerSession> &session,
                                 const SessionItem &item, bool isStreaming, _u_response &response)
{
    if (const auto *head = std::get_if<Node::AnswerHead>(&item))
        startAnswer(session, *head, isStreaming, response);
    if (const auto *failure = std::get_if<Node::Failure>(&item))
        respondFailure(response, *failure);
    if (const auto *hosts = std::get_if<Node::EntryHostList>(&item))
        respondEntryHosts(response, *hosts);
    if (const auto *targets = std::get_if<Node::TargetList>(&item))
        respondTargets(response, *targets);
    if (const auto *status = std::get_if<Node::NodeStatus>(&item))
        respondStatus(response, *status);
}

void HttpServer::startAnswer(const std::shared_ptr<CallerSession> &session,
                             const Node::AnswerHead &head, bool isStreaming, _u_response &response)
{
    if (!isStreaming || hasNoBody(head.status)) {
        assembleAnswer(session, head, response);
        return;
    }
    const int socket = currentSocket();
    const AnswerFraming framing = head.isEventStream ? AnswerFraming::Events : AnswerFraming::Bytes;
    auto closed = [this, socket](const CallerSession &it) { closeSession(it, socket); };
    auto stream = std::make_unique<AnswerStream>(session, framing, closed);
    setHeader(response, "X-Request-Id", head.requestId);
    if (!head.contentType.empty())
        setHeader(response, "Content-Type", head.contentType);
    if (head.isEventStream)
        setHeader(response, "Cache-Control", "no-cache");
    ulfius_set_stream_response(&response, static_cast<unsigned int>(head.status),
                               &HttpServerCallbacks::readStream, &HttpServerCallbacks::freeStream,
                               U_STREAM_SIZE_UNKNOWN, maxStreamBlockBytes, stream.release());
}

void HttpServer::assembleAnswer(const std::shared_ptr<CallerSession> &session,
                                const Node::AnswerHead &head, _u_response &response)
{
    CompletionAssembler assembler;
    std::size_t bytes = 0;
    while (const std::optional<SessionItem> item = session->take()) {
        if (const auto *part = std::get_if<Node::AnswerPart>(&*item)) {
            bytes += part->payload.size();
            if (bytes > maxCompletionBytes) {
                respondTooLong(head, response);
                return;
            }
            assembler.add(part->payload);
            continue;
        }
        if (const auto *failure = std::get_if<Node::Failure>(&*item)) {
            respondFailure(response, *failure);
            return;
        }
        if (head.isEventStream)
            respondJson(response, head.status, assembler.completion());
        else
            respondText(response, head.status, head.contentType, {});
        setHeader(response, "X-Request-Id", head.requestId);
        return;
    }
    respondGivenUp(response);
}

void HttpServer::respondTooLong(const Node::AnswerHead &head, _u_response &response)
{
    Node::Failure failure;
    failure.type = Node::FailureType::BackendFailed;
    failure.message = "the answer is longer than " + std::to_string(maxCompletionBytes)
                      + " bytes, and no stream was asked for";
    failure.ran = Node::Ran::Unknown;
    failure.requestId = head.requestId;
    respondFailure(response, failure);
}

void HttpServer::respondGivenUp(_u_response &response)
{
    Node::Failure failure;
    failure.type = Node::FailureType::ShuttingDown;
    failure.message = "the caller's or this host's side was closed before the answer was complete";
    failure.ran = Node::Ran::Unknown;
    failure.requestId = nextRequestId();
    respondFailure(response, failure);
}

void HttpServer::refuse(RequestFault fault, _u_response &response)
{
    Node::Failure failure;
    failure.message = messageOf(fault);
    failure.requestId = nextRequestId();
    respondFailure(response, statusOf(fault), typeName(fault), failure);
}

void HttpServer::refuseConnection(_u_response &response)
{
    Node::Failure failure;
    failure.type = Node::FailureType::NoCapacity;
    failure.message = "too many callers are connected to this host";
    failure.retryAfter = connectionLimitRetryAfter;
    failure.requestId = nextRequestId();
    respondFailure(response, failure);
    // Closing the connection frees the reserved connection for the next caller.
    setHeader(response, "Connection", "close");
}

void HttpServer::refuseForMemory(_u_response &response)
{
    Node::Failure failure;
    failure.type = Node::FailureType::NoCapacity;
    failure.message = "this host has no memory left for the request";
    failure.retryAfter = memoryRetryAfter;
    failure.requestId = nextRequestId();
    respondFailure(response, failure);
    setHeader(response, "Connection", "close");
}

void HttpServer::refuseLate(_u_response &response)
{
    Node::Failure failure;
    failure.type = Node::FailureType::ShuttingDown;
    failure.message = "this host shuts down and is in no list of entry hosts any more";
    failure.retryAfter = shutdownRetryAfter;
    failure.requestId = nextRequestId();
    respondFailure(response, failure);
    setHeader(response, "Connection", "close");
}

void HttpServer::closeSession(const CallerSession &session, int socket)
{
    m_watcher->unwatch(socket);
    m_sessions.close(session);
}

std::string HttpServer::nextRequestId()
{
    return m_settings.requestIdPrefix + std::to_string(++m_lastRequestNumber);
}

} // namespace Daemon
