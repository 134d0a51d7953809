#include <boost/asio/ip/address_v4.hpp>

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <netinet/in.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cerrno>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace {

constexpr std::size_t blockBytes = 65536;
/// What a body announces that is far over any limit.
constexpr std::uint64_t terabyte = 1'000'000'000'000;
/// How often a client of a kind that comes back connects.
constexpr int visits = 3;

std::atomic<bool> isStopped = false;

std::string chunkOf(std::size_t size)
{
    std::array<char, 24> line{};
    std::snprintf(line.data(), line.size(), "%zx\r\n", size);
    return line.data() + std::string(size, 'x') + "\r\n";
}

/// What a client sends behind the head of its request.
class Body
{
public:
    virtual ~Body() = default;
    /// The field that announces the body.
    virtual std::string framing() const { return "Transfer-Encoding: chunked"; }
    /// The next bytes; empty at the end.
    virtual std::string next() = 0;
};

/// One chunk; the last chunk is missing.
class LargeChunk : public Body
{
public:
    explicit LargeChunk(std::size_t size, const std::string &rest = {})
        : m_text(chunkOf(size) + rest)
    {}
    std::string next() override { return std::exchange(m_text, {}); }

private:
    std::string m_text;
};

/// Chunks of one byte; the last chunk is missing.
class SmallChunks final : public Body
{
public:
    explicit SmallChunks(std::size_t size)
        : m_left(size)
    {}
    std::string next() override
    {
        constexpr std::size_t chunksPerBlock = 4096;
        const std::size_t n = std::min(m_left, chunksPerBlock);
        m_left -= n;
        std::string text;
        for (std::size_t i = 0; i < n; ++i)
            text += "1\r\nx\r\n";
        return text;
    }

private:
    std::size_t m_left;
};

/// Chunks without end.
class EndlessChunks final : public Body
{
public:
    std::string next() override { return chunkOf(blockBytes); }
};

/// Bytes of which a length was announced.
class Bytes final : public Body
{
public:
    Bytes(std::uint64_t announced, std::uint64_t sent)
        : m_announced(announced)
        , m_left(sent)
    {}
    std::string framing() const override
    {
        return "Content-Length: " + std::to_string(m_announced);
    }
    std::string next() override
    {
        const std::uint64_t n = std::min<std::uint64_t>(m_left, blockBytes);
        m_left -= n;
        return std::string(n, 'x');
    }

private:
    std::uint64_t m_announced;
    std::uint64_t m_left;
};

/// The body that client \a number of a crowd of \a kind sends; null if the kind is unknown.
std::unique_ptr<Body> bodyOf(std::string_view kind, int number, std::size_t size)
{
    if (kind == "mixed")
        return bodyOf(number % 2 == 0 ? "large" : "small", number, size);
    if (kind == "large")
        return std::make_unique<LargeChunk>(size);
    if (kind == "sizeline")
        return std::make_unique<LargeChunk>(size - 1, "1");
    if (kind == "small")
        return std::make_unique<SmallChunks>(size);
    if (kind == "length")
        return std::make_unique<Bytes>(size, size - 1);
    if (kind == "whole")
        return std::make_unique<Bytes>(size, size);
    if (kind == "announced")
        return std::make_unique<Bytes>(terabyte, terabyte);
    if (kind == "endless")
        return std::make_unique<EndlessChunks>();
    return nullptr;
}

struct Options
{
    sockaddr_in address{};
    std::string kind;
    std::size_t bodyBytes = 0;
    std::string head;
    /// Whether the clients send nothing at all.
    bool isIdle = false;
    int visits = 1;
};

/// A client that sends its request, whatever the server says, and holds its connection open.
class Client
{
public:
    Client(const Options &options, int number)
        : m_options(&options)
        , m_number(number)
        , m_left(options.visits)
    {}

    /// Whether the client has sent all it wants to, was answered, or was closed.
    bool isSettled() const { return m_left == 0 && (m_fd < 0 || m_isSent || m_isAnswered); }
    bool isOpen() const { return m_fd >= 0; }
    bool isAnswered() const { return m_isAnswered; }

    pollfd wanted()
    {
        if (m_fd < 0 && m_left > 0)
            connect();
        const bool isSending = !m_isSent && !m_isAnswered;
        return {m_fd, static_cast<short>(isSending ? POLLIN | POLLOUT : POLLIN), 0};
    }
    void handle(short events)
    {
        if ((events & (POLLIN | POLLERR | POLLHUP)) != 0)
            receive();
        if (m_fd >= 0 && (events & POLLOUT) != 0)
            send();
        // A client that comes back does so once it has sent all or knows that it was refused.
        if (m_fd >= 0 && m_left > 0 && (m_isSent || m_isAnswered))
            close();
    }

private:
    void connect()
    {
        --m_left;
        m_isSent = m_options->isIdle;
        m_isAnswered = false;
        m_body = bodyOf(m_options->kind, m_number, m_options->bodyBytes);
        m_unsent = m_body ? m_options->head + m_body->framing() + "\r\n\r\n" : std::string();
        m_fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
        const auto *address = reinterpret_cast<const sockaddr *>(&m_options->address);
        if (::connect(m_fd, address, sizeof m_options->address) != 0 && errno != EINPROGRESS)
            close();
    }
    void receive()
    {
        std::array<char, 4096> buf{};
        const ssize_t n = recv(m_fd, buf.data(), buf.size(), 0);
        if (n > 0)
            m_isAnswered = true;
        else if (n == 0 || (errno != EAGAIN && errno != EWOULDBLOCK))
            close();
    }
    void send()
    {
        if (m_unsent.empty())
            m_unsent = m_body->next();
        if (m_unsent.empty()) {
            m_isSent = true;
            return;
        }
        const ssize_t n = ::send(m_fd, m_unsent.data(), m_unsent.size(), MSG_NOSIGNAL);
        if (n >= 0)
            m_unsent.erase(0, static_cast<std::size_t>(n));
        else if (errno != EAGAIN && errno != EWOULDBLOCK)
            close();
    }
    void close()
    {
        ::close(m_fd);
        m_fd = -1;
    }

    const Options *m_options;
    int m_number;
    int m_left;
    int m_fd = -1;
    std::unique_ptr<Body> m_body;
    std::string m_unsent;
    bool m_isSent = false;
    bool m_isAnswered = false;
};

} // namespace

/// crowd IP PORT KIND COUNT BODY_BYTES TARGET [FIELD...]: COUNT clients send a POST with a body of
/// KIND, most of which never end, and hold their connections open until SIGTERM. Prints "settled"
/// with the numbers of open and of answered connections once none has anything left to send. Kinds:
/// large (one chunk), small (chunks of one byte), mixed, sizeline (ends within the size of a
/// chunk), length (the last byte is missing), whole, announced (a terabyte), endless (chunks), idle
/// (no byte). With "again-" before the kind, each client comes back twice.
int main(int argc, char **argv)
{
    if (argc < 7) {
        std::fputs("usage: crowd IP PORT KIND COUNT BODY_BYTES TARGET [FIELD...]\n", stderr);
        return 2;
    }
    Options options;
    options.address.sin_family = AF_INET;
    options.address.sin_port = htons(static_cast<std::uint16_t>(std::atoi(argv[2])));
    options.address.sin_addr.s_addr = htonl(boost::asio::ip::make_address_v4(argv[1]).to_uint());
    constexpr std::string_view again = "again-";
    options.kind = argv[3];
    if (options.kind.starts_with(again)) {
        options.kind.erase(0, again.size());
        options.visits = visits;
    }
    options.isIdle = options.kind == "idle";
    options.bodyBytes = std::stoul(argv[5]);
    options.head = "POST " + std::string(argv[6]) + " HTTP/1.1\r\n";
    for (int i = 7; i < argc; ++i)
        options.head.append(argv[i]).append("\r\n");
    if (!options.isIdle && !bodyOf(options.kind, 0, 2)) {
        std::fprintf(stderr, "unknown kind: %s\n", argv[3]);
        return 2;
    }
    std::signal(SIGTERM, [](int) { isStopped = true; });

    std::vector<Client> clients;
    for (int i = 0; i < std::atoi(argv[4]); ++i)
        clients.emplace_back(options, i);
    std::vector<pollfd> fds(clients.size());
    bool isReported = false;
    while (!isStopped) {
        std::ranges::transform(clients, fds.begin(), [](Client &it) { return it.wanted(); });
        poll(fds.data(), fds.size(), 100);
        for (std::size_t i = 0; i < fds.size(); ++i) {
            if (fds[i].revents != 0)
                clients[i].handle(fds[i].revents);
        }
        if (!isReported && std::ranges::all_of(clients, &Client::isSettled)) {
            std::printf("settled open=%td answered=%td\n",
                        std::ranges::count_if(clients, &Client::isOpen),
                        std::ranges::count_if(clients, &Client::isAnswered));
            std::fflush(stdout);
            isReported = true;
        }
    }
    return 0;
}
