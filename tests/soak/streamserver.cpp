#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <sys/socket.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <optional>
#include <random>
#include <string>
#include <string_view>

namespace {

using boost::asio::awaitable;
using boost::asio::use_awaitable;
using boost::asio::ip::tcp;
using std::chrono::milliseconds;
namespace http = boost::beast::http;
using Request = http::request<http::string_body>;

constexpr unsigned maxOpenStreams = 64;
constexpr std::uint64_t maxBodyBytes = 1 << 20;

/// What goes wrong in one answer.
enum class Fault {
    None,
    Pause,        ///< Silent for a second or so, then goes on.
    Silence,      ///< Sends nothing more and keeps the connection open.
    CutHead,      ///< Ends within the head.
    CutEvent,     ///< Ends within an event.
    CutBetween,   ///< Ends between two events.
    CutSize,      ///< Ends within the size line of a chunk.
    CutLastChunk, ///< Sends every event, but not the last chunk.
    LateCopy      ///< Sends the answer again before the next one on the connection.
};

struct Options
{
    std::string ip;
    std::uint16_t port = 0;
    std::string id;
    std::string version;
    std::uint32_t seed = 0;
    unsigned faultsInHundred = 0;
    milliseconds eventPause{40};
    /// How many answers in a hundred have neither a length nor chunks.
    unsigned withoutLengthInHundred = 20;
};

/// How one answer is sent.
struct Plan
{
    Fault fault = Fault::None;
    /// Neither a length nor chunks.
    bool endsWithConnection = false;
    bool resets = false;
    bool isInPieces = false;
    /// The fault comes after this many events.
    std::uint64_t faultAfter = 0;
};

std::uint64_t stableHash(std::string_view text)
{
    std::uint64_t hash = 14695981039346656037ULL;
    for (const char it : text)
        hash = (hash ^ static_cast<unsigned char>(it)) * 1099511628211ULL;
    return hash;
}

/// Sends streams whose events tell which run made them:
/// "id: N\ndata: PATH N/TOTAL VERSION SERVER RUN FROM FRAMING PADDING\n\n". TOTAL follows from the
/// path, "/KIND-MEAN/NAME", so all servers agree on it.
class StreamServer
{
public:
    explicit StreamServer(Options options)
        : m_options(std::move(options))
        , m_random(m_options.seed)
    {}

    awaitable<void> listen()
    {
        const tcp::endpoint endpoint(boost::asio::ip::make_address(m_options.ip), m_options.port);
        tcp::acceptor acceptor(m_io, endpoint);
        std::puts("ready");
        std::fflush(stdout);
        while (true) {
            tcp::socket socket = co_await acceptor.async_accept(use_awaitable);
            socket.set_option(tcp::no_delay(true));
            co_spawn(m_io, serve(std::move(socket)), boost::asio::detached);
        }
    }

    void run()
    {
        co_spawn(m_io, listen(), [](const std::exception_ptr &ec) {
            if (ec)
                std::rethrow_exception(ec);
        });
        m_io.run();
    }

private:
    unsigned draw(unsigned below) { return static_cast<unsigned>(m_random() % below); }

    Plan drawPlan(std::uint64_t events)
    {
        Plan plan;
        plan.endsWithConnection = draw(100) < m_options.withoutLengthInHundred;
        plan.resets = draw(2) == 0;
        plan.isInPieces = draw(3) == 0;
        plan.faultAfter = events == 0 ? 0 : draw(static_cast<unsigned>(events));
        if (draw(100) < m_options.faultsInHundred)
            plan.fault = static_cast<Fault>(1 + draw(8));
        // A whole answer without a length and one whose server ends it between two events are
        // alike, unless the connection is reset.
        if (plan.endsWithConnection && plan.fault == Fault::CutBetween)
            plan.resets = true;
        if (plan.endsWithConnection
            && (plan.fault == Fault::CutSize || plan.fault == Fault::CutLastChunk
                || plan.fault == Fault::LateCopy))
            plan.fault = Fault::CutEvent;
        return plan;
    }

    awaitable<void> sleep(milliseconds time)
    {
        boost::asio::steady_timer timer(m_io, time);
        co_await timer.async_wait(use_awaitable);
    }

    awaitable<void> write(tcp::socket &socket, std::string_view text, bool isInPieces)
    {
        while (!text.empty()) {
            std::size_t n = text.size();
            if (isInPieces)
                n = std::min<std::size_t>(n, 1 + draw(n < 200 ? 40 : 2000));
            co_await boost::asio::async_write(socket, boost::asio::buffer(text.data(), n),
                                              use_awaitable);
            text.remove_prefix(n);
            if (isInPieces && draw(3) == 0)
                co_await sleep(milliseconds(1 + draw(3)));
        }
    }

    static void end(tcp::socket &socket, bool resets)
    {
        boost::system::error_code ec;
        if (resets)
            socket.set_option(boost::asio::socket_base::linger(true, 0), ec);
        else
            socket.shutdown(tcp::socket::shutdown_send, ec);
        socket.close(ec);
    }

    awaitable<void> serve(tcp::socket socket)
    {
        boost::beast::flat_buffer buffer;
        std::string lateCopy;
        try {
            while (socket.is_open()) {
                http::request_parser<http::string_body> parser;
                parser.body_limit(maxBodyBytes);
                co_await http::async_read(socket, buffer, parser, use_awaitable);
                const Request request = parser.release();
                if (!lateCopy.empty())
                    co_await write(socket, std::exchange(lateCopy, {}), false);
                if (request["Expect-Instance"] != m_options.id || m_open >= maxOpenStreams) {
                    const bool isOther = request["Expect-Instance"] != m_options.id;
                    co_await write(socket, refusal(request, isOther), false);
                    continue;
                }
                ++m_open;
                const Leave leave{&m_open};
                if (!co_await answer(socket, request, lateCopy))
                    break;
            }
        } catch (const boost::system::system_error &) {
            // The gateway has closed the connection.
        }
    }

    /// Counts a stream as open for as long as it exists.
    struct Leave
    {
        unsigned *open;
        ~Leave() { --*open; }
    };

    static std::string refusal(const Request &request, bool isOther)
    {
        std::string text = isOther ? "HTTP/1.1 421 Misdirected Request\r\n"
                                   : "HTTP/1.1 503 Service Unavailable\r\n";
        text += "Not-Executed: 1\r\nContent-Length: 0\r\nAttempt-Id: ";
        text += std::string(request["Attempt-Id"]) + "\r\n\r\n";
        return text;
    }

    static std::uint64_t totalOf(std::string_view path)
    {
        const std::size_t dash = path.find('-');
        const std::uint64_t mean =
            dash == std::string_view::npos
                ? 20
                : std::strtoull(std::string(path.substr(dash + 1)).c_str(), nullptr, 10);
        return 1 + mean / 2 + stableHash(path) % (mean + 1);
    }

    std::string event(const std::string &path, std::uint64_t n, std::uint64_t total,
                      const std::string &run, bool endsWithConnection) const
    {
        // Some streams have events that fill the buffers of a caller who reads slowly.
        const std::size_t padding = stableHash(path) % 4 == 0 ? 6000 : 20;
        std::string text = "id: " + std::to_string(n) + "\ndata: " + path + " " + std::to_string(n)
                           + "/" + std::to_string(total) + " " + m_options.version + " "
                           + m_options.id + " " + run + " " + (endsWithConnection ? "L " : "C ");
        text.append(padding, 'p');
        return text + "\n\n";
    }

    /// Returns whether the connection may carry another request.
    awaitable<bool> answer(tcp::socket &socket, const Request &request, std::string &lateCopy)
    {
        const std::string path(request.target());
        const std::uint64_t total = totalOf(path);
        const std::uint64_t from =
            1 + std::strtoull(std::string(request["Last-Event-Id"]).c_str(), nullptr, 10);
        const Plan plan = drawPlan(total + 1 - std::min(from, total + 1));
        const std::string run = std::to_string(++m_runs) + " " + std::to_string(from);
        std::printf("run %s %s %s from %llu fault %d after %llu\n",
                    std::string(request["Attempt-Id"]).c_str(), path.c_str(), m_options.id.c_str(),
                    static_cast<unsigned long long>(from), static_cast<int>(plan.fault),
                    static_cast<unsigned long long>(plan.faultAfter));
        std::fflush(stdout);
        std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nAttempt-Id: "
                           + std::string(request["Attempt-Id"]) + "\r\nServer-Stamp: stamp-of-"
                           + m_options.id + "\r\n";
        head += plan.endsWithConnection ? "Connection: close\r\n\r\n"
                                        : "Transfer-Encoding: chunked\r\n\r\n";
        co_await sleep(milliseconds(5 + draw(60)));
        if (plan.fault == Fault::CutHead) {
            co_await write(socket, std::string_view(head).substr(0, draw(head.size())),
                           plan.isInPieces);
            end(socket, plan.resets);
            co_return false;
        }
        std::string whole = head;
        co_await write(socket, head, plan.isInPieces);
        for (std::uint64_t n = from; n <= total; ++n) {
            co_await sleep(
                m_options.eventPause / 2
                + milliseconds(draw(static_cast<unsigned>(m_options.eventPause.count()) + 1)));
            std::string text = event(path, n, total, run, plan.endsWithConnection);
            const std::size_t eventBytes = text.size();
            std::string size;
            if (!plan.endsWithConnection) {
                char buf[32];
                std::snprintf(buf, sizeof(buf), "%zx\r\n", eventBytes);
                size = buf;
                text.insert(0, size).append("\r\n");
            }
            if (n - from == plan.faultAfter) {
                if (plan.fault == Fault::Pause)
                    co_await sleep(milliseconds(800 + draw(1000)));
                if (plan.fault == Fault::Silence) {
                    co_await sleep(std::chrono::seconds(20));
                    co_return false;
                }
                std::optional<std::size_t> cut;
                if (plan.fault == Fault::CutEvent)
                    cut = size.size() + 1 + draw(static_cast<unsigned>(eventBytes) - 2);
                else if (plan.fault == Fault::CutBetween)
                    cut = 0;
                else if (plan.fault == Fault::CutSize)
                    cut = 1 + draw(static_cast<unsigned>(size.size()));
                if (cut) {
                    co_await write(socket, std::string_view(text).substr(0, *cut), plan.isInPieces);
                    end(socket, plan.resets);
                    co_return false;
                }
            }
            whole += text;
            co_await write(socket, text, plan.isInPieces);
        }
        if (plan.endsWithConnection || plan.fault == Fault::CutLastChunk) {
            end(socket, plan.fault == Fault::CutLastChunk && plan.resets);
            co_return false;
        }
        whole += "0\r\n\r\n";
        co_await write(socket, "0\r\n\r\n", plan.isInPieces);
        if (plan.fault == Fault::LateCopy)
            lateCopy = std::move(whole);
        co_return true;
    }

    Options m_options;
    std::mt19937 m_random;
    boost::asio::io_context m_io;
    unsigned m_open = 0;
    std::uint64_t m_runs = 0;
};

} // namespace

/// streamserver IP PORT ID VERSION SEED FAULTS_IN_HUNDRED EVENT_PAUSE_MS
/// [WITHOUT_LENGTH_IN_HUNDRED]
int main(int argc, char **argv)
{
    if (argc < 8) {
        std::fputs("usage: streamserver IP PORT ID VERSION SEED FAULTS_IN_HUNDRED "
                   "EVENT_PAUSE_MS [WITHOUT_LENGTH_IN_HUNDRED]\n",
                   stderr);
        return 2;
    }
    Options options;
    options.ip = argv[1];
    options.port = static_cast<std::uint16_t>(std::atoi(argv[2]));
    options.id = argv[3];
    options.version = argv[4];
    options.seed = static_cast<std::uint32_t>(std::strtoul(argv[5], nullptr, 10));
    options.faultsInHundred = static_cast<unsigned>(std::atoi(argv[6]));
    options.eventPause = milliseconds(std::atoi(argv[7]));
    if (argc > 8)
        options.withoutLengthInHundred = static_cast<unsigned>(std::atoi(argv[8]));
    StreamServer(std::move(options)).run();
    return 0;
}
