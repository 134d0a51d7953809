#include "untrusted/answerhead.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <sys/socket.h>

#include <array>
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using std::chrono::milliseconds;

constexpr std::chrono::seconds receiveTimeout(9);
constexpr milliseconds reconnectPause(20);
/// Pauses between two requests of a caller are shorter than this.
constexpr unsigned pauseBelowMs = 30;

std::int64_t nowMs()
{
    return std::chrono::duration_cast<milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

struct Options
{
    tcp::endpoint gateway;
    std::uint32_t seed = 0;
    int callers = 0;
    /// Whether a caller ends when nobody listens any more.
    bool endsWithGateway = false;
    /// Length of the body of a request that may not be repeated.
    std::size_t bodyBytes = 1;
};

/// One caller, who sends requests to one gateway for as long as it runs, whatever it says of its
/// leaving: over the open connection, or over a new one if the gateway has closed it.
class Caller
{
public:
    Caller(const Options &options, int number, const std::atomic<bool> &isStopped,
           std::mutex &output)
        : m_options(options)
        , m_number(number)
        , m_random(options.seed * 1000 + static_cast<std::uint32_t>(number))
        , m_isStopped(isStopped)
        , m_output(output)
    {}

    void run()
    {
        for (int serial = 0; !m_isStopped; ++serial) {
            if (!m_socket && !connect()) {
                if (m_options.endsWithGateway)
                    return;
                std::this_thread::sleep_for(reconnectPause);
                continue;
            }
            call(serial);
            std::this_thread::sleep_for(milliseconds(m_random() % pauseBelowMs));
        }
    }

private:
    bool connect()
    {
        m_socket.emplace(m_io);
        m_buffer.clear();
        boost::system::error_code ec;
        m_socket->connect(m_options.gateway, ec);
        if (ec) {
            m_socket.reset();
            return false;
        }
        const timeval timeout{receiveTimeout.count(), 0};
        setsockopt(m_socket->native_handle(), SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
        return true;
    }

    void call(int serial)
    {
        const bool isGet = m_random() % 2 == 0;
        const std::string id = "k" + std::to_string(m_options.gateway.port()) + "-"
                               + std::to_string(m_number) + "-" + std::to_string(serial);
        std::string request = isGet ? "GET /read/" : "POST /once/";
        request.append(id).append(" HTTP/1.1\r\nHost: cars.example\r\nDeadline-Ms: 8000\r\n");
        request.append("Authorization: Bearer key-1\r\nAttempt-Id: ").append(id);
        request.append(isGet ? "\r\n\r\n"
                             : "\r\nContent-Length: " + std::to_string(m_options.bodyBytes)
                                   + "\r\n\r\n" + std::string(m_options.bodyBytes, 'x'));
        const std::int64_t sentAt = nowMs();
        boost::system::error_code ec;
        boost::asio::write(*m_socket, boost::asio::buffer(request), ec);
        http::response_parser<http::string_body> parser;
        if (!ec)
            http::read(*m_socket, m_buffer, parser, ec);
        const bool isWhole = !ec && Untrusted::isAnswerStatus(parser.get().result_int());
        const unsigned status = isWhole ? parser.get().result_int() : 0;
        if (!isWhole || !parser.get().keep_alive())
            m_socket.reset();
        const std::lock_guard lock(m_output);
        std::printf("%s %s %lld %lld %u %s\n", id.c_str(), isGet ? "read" : "once",
                    static_cast<long long>(sentAt), static_cast<long long>(nowMs()), status,
                    isWhole ? "whole" : "cut");
    }

    const Options &m_options;
    int m_number;
    std::mt19937 m_random;
    const std::atomic<bool> &m_isStopped;
    std::mutex &m_output;
    boost::asio::io_context m_io;
    std::optional<tcp::socket> m_socket;
    boost::beast::flat_buffer m_buffer;
};

} // namespace

/// stayingcaller IP PORT SEED CALLERS [once [BODY_BYTES]]: runs CALLERS threads that send requests
/// to one gateway until SIGTERM; with "once", each until nobody listens any more. Requests that may
/// not be repeated have BODY_BYTES, 1 by default. Prints a line for each request: id, kind, times
/// of sending and of the end (Unix time in ms), status, and whether the answer was whole or cut.
int main(int argc, char **argv)
{
    if (argc < 5) {
        std::fputs("usage: stayingcaller IP PORT SEED CALLERS [once [BODY_BYTES]]\n", stderr);
        return 2;
    }
    Options options;
    options.gateway = {boost::asio::ip::make_address(argv[1]),
                       static_cast<std::uint16_t>(std::stoul(argv[2]))};
    options.seed = static_cast<std::uint32_t>(std::stoul(argv[3]));
    options.callers = std::stoi(argv[4]);
    options.endsWithGateway = argc > 5;
    if (argc > 6)
        options.bodyBytes = std::stoul(argv[6]);
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::atomic<bool> isStopped = false;
    std::mutex output;
    std::vector<std::thread> threads;
    for (int i = 0; i < options.callers; ++i)
        threads.emplace_back([&, i] { Caller(options, i, isStopped, output).run(); });
    if (!options.endsWithGateway) {
        int signal = 0;
        sigwait(&signals, &signal);
        isStopped = true;
    }
    for (std::thread &it : threads)
        it.join();
    return 0;
}
