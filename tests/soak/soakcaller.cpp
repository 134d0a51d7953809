#include "untrusted/answerheadreader.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <sys/socket.h>

#include <array>
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <mutex>
#include <random>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace {

using boost::asio::ip::tcp;

/// Port at which the first gateway takes requests; the others follow.
constexpr std::uint16_t firstPort = 19721;
constexpr int gateways = 3;
constexpr int eventsOfStream = 12;
constexpr std::chrono::seconds receiveTimeout(9);

/// One kind of request; its name is the first part of the path.
struct Kind
{
    const char *name;
    const char *method;
    bool isStream;
};
constexpr std::array<Kind, 3> kinds = {
    {{"stream", "POST", true}, {"once", "POST", false}, {"read", "GET", false}}};

std::int64_t nowMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

/// Prints one line for each request: id, kind, key, time of sending (Unix time in ms), status,
/// verdict. A verdict that begins with "bad" is a violation that soak.sh reports. Thread-safe.
class Record
{
public:
    void write(const std::string &line)
    {
        const std::lock_guard lock(m_mutex);
        std::puts(line.c_str());
    }

private:
    std::mutex m_mutex;
};

/// Decodes a body in chunked encoding. Sets \a isWhole to whether the last chunk is there; without
/// it, the result is the part that arrived.
std::string unchunked(const std::string &body, bool &isWhole)
{
    std::string text;
    std::size_t at = 0;
    isWhole = false;
    while (true) {
        const std::size_t line = body.find("\r\n", at);
        if (line == std::string::npos)
            return text;
        const std::size_t size = std::strtoul(body.c_str() + at, nullptr, 16);
        if (size == 0) {
            isWhole = true;
            return text;
        }
        text += body.substr(line + 2, size);
        at = line + 4 + size;
        if (at > body.size())
            return text;
    }
}

/// Whether \a text is a prefix of the stream of \a path, or all of it if \a isWhole.
bool isPrefixOfStream(const std::string &text, const std::string &path, bool isWhole)
{
    std::string expected;
    for (int i = 1; i <= eventsOfStream; ++i) {
        const std::string id = std::to_string(i);
        for (const std::string &part : {std::string("id: "), id, std::string("\ndata: "), path,
                                        std::string(" "), id, std::string("\n\n")})
            expected += part;
    }
    if (isWhole)
        return text == expected;
    return expected.compare(0, text.size(), text) == 0;
}

/// Whether \a head, which ends with the empty line, is one of HTTP.
bool isHead(const std::string &head)
{
    Untrusted::AnswerHeadReader reader;
    for (std::size_t at = 0; at < head.size();) {
        const std::size_t end = head.find("\r\n", at) + 2;
        if (!reader.read(std::string_view(head).substr(at, end - at)))
            return false;
        at = end;
    }
    return reader.isComplete();
}

/// The verdict on the \a answer to the request \a id.
std::string verdictOf(const std::string &answer, const Kind &kind, const std::string &id,
                      const std::string &path)
{
    const std::size_t headEnd = answer.find("\r\n\r\n");
    if (headEnd == std::string::npos)
        return "cut";
    const std::string head = answer.substr(0, headEnd);
    const std::string body = answer.substr(headEnd + 4);
    if (!isHead(answer.substr(0, headEnd + 4)))
        return "bad_head";
    if (answer.compare(9, 3, "200") != 0)
        return "failed";
    if (head.find("Attempt-Id: " + id) == std::string::npos)
        return "bad_id";
    if (head.find("Server-Stamp: ") == std::string::npos)
        return "bad_unsigned";
    if (!kind.isStream)
        return body.find("\"path\":\"" + path + "\"") == std::string::npos ? "bad_body" : "served";
    bool isWhole = false;
    const std::string text = unchunked(body, isWhole);
    if (!isPrefixOfStream(text, path, isWhole))
        return "bad_stream";
    return isWhole ? "served" : "cut";
}

/// Sends \a request and returns the bytes of the answer that arrive until the connection closes or
/// nothing has come for receiveTimeout; empty if there is no connection.
std::string exchange(boost::asio::io_context &io, std::uint16_t port, const std::string &ip,
                     const std::string &request)
{
    tcp::socket socket(io);
    boost::system::error_code ec;
    socket.connect({boost::asio::ip::make_address(ip), port}, ec);
    if (ec)
        return {};
    const timeval timeout{receiveTimeout.count(), 0};
    setsockopt(socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
    boost::asio::write(socket, boost::asio::buffer(request), ec);
    std::string answer;
    std::array<char, 8192> buf{};
    while (!ec) {
        const ssize_t n = recv(socket.native_handle(), buf.data(), buf.size(), 0);
        if (n <= 0)
            break;
        answer.append(buf.data(), static_cast<std::size_t>(n));
    }
    return answer;
}

/// Sends random requests to random gateways, one after the other, until \a isStopped.
void call(const std::string &ip, std::uint32_t seed, int caller, const std::atomic<bool> &isStopped,
          Record &record)
{
    boost::asio::io_context io;
    std::mt19937 random(seed * 1000 + static_cast<std::uint32_t>(caller));
    for (int serial = 0; !isStopped; ++serial) {
        const Kind &kind = kinds[random() % kinds.size()];
        const std::string id = "c" + std::to_string(caller) + "-" + std::to_string(serial);
        std::string path = "/";
        path.append(kind.name).append("/").append(id);
        const std::string key = random() % 3 == 0 ? "key-2" : "key-1";
        const auto port = static_cast<std::uint16_t>(firstPort + random() % gateways);
        std::string request = kind.method;
        request.append(" ").append(path).append(" HTTP/1.1\r\nHost: cars.example\r\n");
        request.append("Connection: close\r\nDeadline-Ms: 8000\r\nAttempt-Id: ").append(id);
        request.append("\r\nAuthorization: Bearer ").append(key).append("\r\n");
        if (kind.isStream)
            request += "Model: m\r\nToken-Count: 700,40\r\nPrefix-Hash: ab:500,cd:200\r\n";
        request += "Content-Length: 1\r\n\r\nx";
        const std::int64_t sentAt = nowMs();
        const std::string answer = exchange(io, port, ip, request);
        const std::string status = answer.size() > 12 ? answer.substr(9, 3) : "000";
        std::ostringstream line;
        line << id << ' ' << kind.name << ' ' << key << ' ' << sentAt << ' ' << status << ' '
             << (answer.empty() ? "unconnected" : verdictOf(answer, kind, id, path));
        record.write(line.str());
        std::this_thread::sleep_for(std::chrono::milliseconds(random() % 30));
    }
}

} // namespace

/// soakcaller IP SEED CALLERS: runs CALLERS threads that send requests until SIGTERM.
int main(int argc, char **argv)
{
    if (argc < 4) {
        std::fputs("usage: soakcaller IP SEED CALLERS\n", stderr);
        return 2;
    }
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::atomic<bool> isStopped = false;
    Record record;
    std::vector<std::thread> threads;
    for (int i = 0; i < std::stoi(argv[3]); ++i)
        threads.emplace_back([&, i] {
            call(argv[1], static_cast<std::uint32_t>(std::stoul(argv[2])), i, isStopped, record);
        });
    int signal = 0;
    sigwait(&signals, &signal);
    isStopped = true;
    for (std::thread &it : threads)
        it.join();
    return 0;
}
