#include "common/httpserver.h"

#include <ulfius.h>

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <charconv>
#include <mutex>
#include <poll.h>
#include <sys/socket.h>
#include <utility>

namespace StandIn {

namespace {

constexpr std::size_t threadStackBytes = 262'144;
constexpr unsigned int connectionLimit = 4000;
constexpr std::size_t streamBlockBytes = 16'384;

std::string lowerCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

std::map<std::string, std::string> entriesOf(const _u_map *map)
{
    std::map<std::string, std::string> entries;
    for (const char **key = u_map_enum_keys(map); key && *key; ++key)
        entries[*key] = u_map_get(map, *key) ? u_map_get(map, *key) : "";
    return entries;
}

std::string addressKey(const sockaddr *address)
{
    if (!address || address->sa_family != AF_INET)
        return {};
    const auto *in = reinterpret_cast<const sockaddr_in *>(address);
    return std::to_string(in->sin_addr.s_addr) + ":" + std::to_string(in->sin_port);
}

/// State of a streamed body that ulfius is sending.
struct StreamState
{
    std::unique_ptr<BodyStream> stream;
    std::string unsent;
};

ssize_t readStream(void *data, std::uint64_t, char *buf, std::size_t max)
{
    auto *state = static_cast<StreamState *>(data);
    if (state->unsent.empty()) {
        std::optional<std::string> piece = state->stream->next();
        if (!piece)
            return U_STREAM_ERROR;
        if (piece->empty())
            return U_STREAM_END;
        state->unsent = std::move(*piece);
    }
    const std::size_t n = std::min(max, state->unsent.size());
    std::copy_n(state->unsent.data(), n, buf);
    state->unsent.erase(0, n);
    return static_cast<ssize_t>(n);
}

void freeStream(void *data)
{
    delete static_cast<StreamState *>(data);
}

} // namespace

std::string HttpRequest::header(const std::string &name) const
{
    const auto it = headers.find(lowerCase(name));
    return it == headers.end() ? std::string() : it->second;
}

std::string HttpRequest::query(const std::string &name) const
{
    const auto it = queries.find(name);
    return it == queries.end() ? std::string() : it->second;
}

std::uint64_t HttpRequest::headerNumber(const std::string &name) const
{
    const std::string text = header(name);
    std::uint64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

bool isConnectionOpen(int connection)
{
    pollfd entry{connection, POLLRDHUP, 0};
    return poll(&entry, 1, 0) == 0;
}

struct HttpServer::Private
{
    HttpHandler handler;
    sockaddr_in address{};
    _u_instance instance{};
    std::mutex mutex;
    std::map<std::string, int> connections;

    int connectionOf(const sockaddr *peer)
    {
        const std::lock_guard lock(mutex);
        const auto it = connections.find(addressKey(peer));
        return it == connections.end() ? -1 : it->second;
    }

    static void trackConnection(void *cls, MHD_Connection *connection, void **,
                                MHD_ConnectionNotificationCode code)
    {
        auto *self = static_cast<Private *>(cls);
        const MHD_ConnectionInfo *peer =
            MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
        const MHD_ConnectionInfo *fd =
            MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
        if (!peer || !fd)
            return;
        const std::lock_guard lock(self->mutex);
        if (code == MHD_CONNECTION_NOTIFY_STARTED)
            self->connections[addressKey(peer->client_addr)] = fd->connect_fd;
        else
            self->connections.erase(addressKey(peer->client_addr));
    }

    static int answer(const _u_request *ulfiusRequest, _u_response *response, void *cls)
    {
        auto *self = static_cast<Private *>(cls);
        HttpRequest request;
        request.method = ulfiusRequest->http_verb;
        request.path = ulfiusRequest->http_url;
        request.path.erase(std::min(request.path.find('?'), request.path.size()));
        request.body.assign(static_cast<const char *>(ulfiusRequest->binary_body),
                            ulfiusRequest->binary_body_length);
        for (auto &[key, value] : entriesOf(ulfiusRequest->map_header))
            request.headers[lowerCase(key)] = value;
        request.queries = entriesOf(ulfiusRequest->map_url);
        request.connection = self->connectionOf(ulfiusRequest->client_address);

        HttpResponse result = self->handler(request);
        if (result.isCut && request.connection >= 0)
            shutdown(request.connection, SHUT_RDWR);
        for (const auto &[key, value] : result.headers)
            u_map_put(response->map_header, key.c_str(), value.c_str());
        const auto status = static_cast<unsigned int>(result.status);
        if (result.stream) {
            auto *state = new StreamState{std::move(result.stream), {}};
            ulfius_set_stream_response(response, status, readStream, freeStream,
                                       U_STREAM_SIZE_UNKNOWN, streamBlockBytes, state);
            return U_CALLBACK_COMPLETE;
        }
        response->status = result.status;
        if (!result.body.empty())
            ulfius_set_binary_body_response(response, status, result.body.data(),
                                            result.body.size());
        return U_CALLBACK_COMPLETE;
    }
};

HttpServer::HttpServer(std::unique_ptr<Private> data)
    : m_private(std::move(data))
{}

HttpServer::~HttpServer()
{
    ulfius_stop_framework(&m_private->instance);
    ulfius_clean_instance(&m_private->instance);
}

Base::Result<std::unique_ptr<HttpServer>> HttpServer::start(const std::string &address,
                                                            HttpHandler handler)
{
    auto data = std::make_unique<Private>();
    data->handler = std::move(handler);
    const std::size_t colon = address.rfind(':');
    unsigned int port = 0;
    if (colon != std::string::npos)
        std::from_chars(address.data() + colon + 1, address.data() + address.size(), port);
    data->address.sin_family = AF_INET;
    data->address.sin_port = htons(static_cast<std::uint16_t>(port));
    const std::string ip = address.substr(0, std::min(colon, address.size()));
    if (port == 0 || port > 65535 || inet_pton(AF_INET, ip.c_str(), &data->address.sin_addr) != 1)
        return boost::leaf::new_error(ListenFailed{address});
    if (ulfius_init_instance(&data->instance, port, &data->address, nullptr) != U_OK)
        return boost::leaf::new_error(ListenFailed{address});
    data->instance.allowed_post_processor = U_POST_PROCESS_NONE;
    ulfius_set_default_endpoint(&data->instance, &Private::answer, data.get());

    // The default start of ulfius uses select(), which loses connections whose file descriptor is
    // 1,024 or higher.
    MHD_OptionItem options[] = {
        {MHD_OPTION_NOTIFY_COMPLETED, reinterpret_cast<intptr_t>(mhd_request_completed), nullptr},
        {MHD_OPTION_URI_LOG_CALLBACK, reinterpret_cast<intptr_t>(ulfius_uri_logger), nullptr},
        {MHD_OPTION_NOTIFY_CONNECTION, reinterpret_cast<intptr_t>(&Private::trackConnection),
         data.get()},
        {MHD_OPTION_SOCK_ADDR, 0, &data->address},
        {MHD_OPTION_THREAD_STACK_SIZE, threadStackBytes, nullptr},
        {MHD_OPTION_CONNECTION_LIMIT, connectionLimit, nullptr},
        {MHD_OPTION_LISTENING_ADDRESS_REUSE, 1, nullptr},
        {MHD_OPTION_END, 0, nullptr}};
    const unsigned int flags =
        MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL;
    const int started = ulfius_start_framework_with_mhd_options(&data->instance, flags, options);
    if (started != U_OK)
        return boost::leaf::new_error(ListenFailed{address});
    return std::unique_ptr<HttpServer>(new HttpServer(std::move(data)));
}

} // namespace StandIn
