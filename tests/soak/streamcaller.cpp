#include "untrusted/answerhead.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace {

namespace http = boost::beast::http;
using std::chrono::milliseconds;

constexpr milliseconds receiveTimeout(4000);
constexpr int maxTries = 6;
constexpr double maxRetryAfterS = 2;

/// One kind of stream; its path begins with "/NAME-MEAN/".
struct Kind
{
    std::string name;
    std::string prefix;
    bool mayResume = false;
};

struct Options
{
    std::string ip;
    std::uint32_t seed = 0;
    int callers = 0;
    int gateways = 0;
    std::uint16_t firstPort = 0;
    std::vector<Kind> kinds;
};

/// How the answer to one attempt ended.
enum class End {
    Unconnected,
    Refused,   ///< An answer that is no stream.
    Whole,     ///< By its length or last chunk.
    Closed,    ///< Without a length or chunks, by the end of the connection.
    Broken,    ///< Before its end.
    Malformed, ///< Bytes that are no answer.
    LeftByCaller
};

const char *textOf(End end)
{
    constexpr std::array<const char *, 7> texts = {"unconnected", "refused",   "whole", "closed",
                                                   "broken",      "malformed", "left"};
    return texts.at(static_cast<std::size_t>(end));
}

std::int64_t nowMs()
{
    return std::chrono::duration_cast<milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

/// Checks the events of one stream over all attempts.
class StreamChecker
{
public:
    explicit StreamChecker(std::string path)
        : m_path(std::move(path))
    {}

    void attemptBegins()
    {
        m_isFirstOfAttempt = true;
        m_partial.clear();
    }

    /// \a stamp is the signature of the attempt's answer.
    void push(std::string_view text, std::string_view stamp)
    {
        m_partial.append(text);
        for (std::size_t end = m_partial.find("\n\n"); end != std::string::npos;
             end = m_partial.find("\n\n")) {
            check(m_partial.substr(0, end), stamp);
            m_partial.erase(0, end + 2);
        }
    }

    void ended(End end)
    {
        if (end != End::Whole && end != End::Closed)
            return;
        if (!m_partial.empty())
            m_faults.insert("bad_partial");
        if (m_last == 0 || m_last == m_total)
            return;
        m_faults.insert(m_framing == "L" ? "bad_early_without_length" : "bad_early");
    }

    std::uint64_t last() const { return m_last; }
    bool isWhole() const { return m_last > 0 && m_last == m_total; }
    std::uint64_t total() const { return m_total; }
    std::string verdict() const
    {
        std::string text;
        for (const std::string &it : m_faults)
            text += (text.empty() ? "" : ",") + it;
        return text.empty() ? "ok" : text;
    }
    std::size_t versions() const { return m_versions.size(); }
    void addFault(const std::string &fault) { m_faults.insert(fault); }

private:
    void check(const std::string &event, std::string_view stamp)
    {
        std::istringstream in(event);
        std::string idField;
        std::string dataField;
        std::string path;
        std::string position;
        std::string version;
        std::string server;
        std::string run;
        std::string framing;
        std::uint64_t id = 0;
        std::uint64_t from = 0;
        in >> idField >> id >> dataField >> path >> position >> version >> server >> run >> from
            >> framing;
        if (!in || idField != "id:" || dataField != "data:" || path != m_path) {
            m_faults.insert("bad_event");
            return;
        }
        const std::size_t slash = position.find('/');
        m_total = std::strtoull(position.c_str() + slash + 1, nullptr, 10);
        if (id <= m_last)
            m_faults.insert("bad_back");
        else if (id != m_last + 1)
            m_faults.insert("bad_gap");
        const std::string thisRun = server + " " + run;
        if (!m_run.empty() && thisRun != m_run && from != id)
            m_faults.insert("bad_join");
        if (m_isFirstOfAttempt && stamp != "stamp-of-" + server)
            m_faults.insert("bad_stamp");
        m_versions.insert(version);
        if (m_versions.size() > 1)
            m_faults.insert("bad_version");
        m_isFirstOfAttempt = false;
        m_last = std::max(m_last, id);
        m_run = thisRun;
        m_framing = framing;
    }

    std::string m_path;
    std::string m_partial;
    std::uint64_t m_last = 0;
    std::uint64_t m_total = 0;
    std::string m_run;
    std::string m_framing;
    std::set<std::string> m_versions;
    std::set<std::string> m_faults;
    bool m_isFirstOfAttempt = true;
};

/// A blocking connection that is kept for many requests.
class Connection
{
public:
    Connection() = default;
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;
    ~Connection() { close(false); }

    bool open(const std::string &ip, std::uint16_t port, bool isSlow)
    {
        close(false);
        m_fd = socket(AF_INET, SOCK_STREAM, 0);
        const timeval timeout{receiveTimeout.count() / 1000, 0};
        setsockopt(m_fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
        setsockopt(m_fd, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof(timeout));
        const int bytes = 2304;
        if (isSlow)
            setsockopt(m_fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
        if (connect(m_fd, reinterpret_cast<sockaddr *>(&address), sizeof(address)) != 0) {
            close(false);
            return false;
        }
        m_port = port;
        m_isSlow = isSlow;
        m_input.clear();
        return true;
    }
    void close(bool resets)
    {
        if (m_fd < 0)
            return;
        const linger reset{1, 0};
        if (resets)
            setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
        ::close(m_fd);
        m_fd = -1;
    }
    bool isOpen() const { return m_fd >= 0; }
    bool isSlow() const { return m_isSlow; }
    std::uint16_t port() const { return m_port; }
    bool send(const std::string &text)
    {
        return ::send(m_fd, text.data(), text.size(), MSG_NOSIGNAL)
               == static_cast<ssize_t>(text.size());
    }
    /// Returns what recv() does, and appends the bytes to input().
    ssize_t receive()
    {
        std::array<char, 4096> buf{};
        const ssize_t n = recv(m_fd, buf.data(), m_isSlow ? 1024 : buf.size(), 0);
        if (n > 0)
            m_input.append(buf.data(), static_cast<std::size_t>(n));
        return n;
    }
    std::string &input() { return m_input; }

private:
    int m_fd = -1;
    std::uint16_t m_port = 0;
    bool m_isSlow = false;
    std::string m_input;
};

/// One caller, who sends streams one after the other.
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
            stream(serial);
            std::this_thread::sleep_for(milliseconds(draw(60)));
        }
    }

private:
    struct Answer
    {
        End end = End::Unconnected;
        unsigned status = 0;
        std::optional<double> retryAfterS;
    };

    unsigned draw(unsigned below) { return static_cast<unsigned>(m_random() % below); }

    void stream(int serial)
    {
        const Kind &kind = m_options.kinds.at(draw(static_cast<unsigned>(m_options.kinds.size())));
        const std::string name = std::to_string(m_number) + "-" + std::to_string(serial);
        const std::string path = kind.prefix + name;
        StreamChecker checker(path);
        const std::int64_t sentAt = nowMs();
        std::string firstAttempt;
        std::ostringstream ends;
        int tries = 0;
        int takenUp = 0;
        int wentOn = 0;
        while (tries < maxTries && !checker.isWhole()) {
            const std::string id = "c" + name + "-" + std::to_string(tries);
            const std::uint64_t before = checker.last();
            checker.attemptBegins();
            const Answer answer = attempt(kind, path, id, firstAttempt, checker);
            ++tries;
            ends << (tries > 1 ? "," : "") << textOf(answer.end) << answer.status;
            checker.ended(answer.end);
            if (before > 0 && answer.end != End::Unconnected) {
                ++takenUp;
                wentOn += answer.status == 200 ? 1 : 0;
            }
            if (before == 0 && checker.last() > 0)
                firstAttempt = id;
            if (answer.end == End::Whole || answer.end == End::Closed)
                break;
            if (checker.last() > 0 && !kind.mayResume)
                break;
            if (answer.end == End::Refused && answer.status != 503 && answer.status != 429
                && answer.status != 502 && answer.status != 504)
                break;
            const double waitS =
                std::min(answer.retryAfterS.value_or(0.02 * draw(10)), maxRetryAfterS);
            std::this_thread::sleep_for(milliseconds(static_cast<int>(waitS * 1000)));
        }
        const std::lock_guard lock(m_output);
        std::printf("%s %s %lld %s %s %llu/%llu tries %d taken_up %d went_on %d\n", name.c_str(),
                    path.c_str(), static_cast<long long>(sentAt), checker.verdict().c_str(),
                    ends.str().c_str(), static_cast<unsigned long long>(checker.last()),
                    static_cast<unsigned long long>(checker.total()), tries, takenUp, wentOn);
    }

    bool connect()
    {
        for (int i = 0; i < 4; ++i) {
            const auto port = static_cast<std::uint16_t>(
                m_options.firstPort + draw(static_cast<unsigned>(m_options.gateways)));
            if (m_connection.open(m_options.ip, port, draw(4) == 0))
                return true;
        }
        return false;
    }

    Answer attempt(const Kind &kind, const std::string &path, const std::string &id,
                   const std::string &firstAttempt, StreamChecker &checker)
    {
        // A caller whose stream has broken off takes it up on another connection.
        const bool wasOpen = m_connection.isOpen() && checker.last() == 0 && draw(5) != 0;
        if (!wasOpen && !connect())
            return {};
        std::ostringstream request;
        request << "POST " << path << " HTTP/1.1\r\nHost: cars.example\r\nDeadline-Ms: 12000\r\n"
                << "Attempt-Id: " << id << "\r\nAuthorization: Bearer key-1\r\nModel: m\r\n"
                << "Token-Count: 700,200\r\nPrefix-Hash: ab" << m_number % 8 << ":500,c" << m_number
                << "f" << id.size() << ":200\r\nContent-Length: 1\r\n";
        if (checker.last() > 0) {
            request << "Last-Event-Id: " << checker.last() << "\r\nResumes: " << firstAttempt
                    << "\r\n";
        }
        request << "\r\nx";
        if (!m_connection.send(request.str())) {
            m_connection.close(false);
            return {End::Broken, 0, std::nullopt};
        }
        // Some callers leave before the end, with or without a reset.
        const bool leaves = kind.mayResume && draw(12) == 0;
        const std::uint64_t leavesAfter = checker.last() + 1 + draw(20);
        Answer answer = receive(id, checker, leaves ? leavesAfter : 0);
        if (answer.end != End::Whole && answer.end != End::Refused)
            m_connection.close(draw(2) == 0);
        return answer;
    }

    Answer receive(const std::string &id, StreamChecker &checker, std::uint64_t leavesAfter)
    {
        http::response_parser<http::string_body> parser;
        parser.body_limit(boost::none);
        parser.eager(true);
        Answer answer{End::Broken, 0, std::nullopt};
        bool isStream = false;
        std::string stamp;
        while (true) {
            std::string &input = m_connection.input();
            while (!input.empty() && !parser.is_done()) {
                boost::system::error_code ec;
                const std::size_t n = parser.put(boost::asio::buffer(input), ec);
                input.erase(0, n);
                if (parser.is_header_done() && answer.status == 0) {
                    answer.status = parser.get().result_int();
                    isStream = answer.status == 200;
                    if (!Untrusted::isAnswerStatus(answer.status))
                        checker.addFault("bad_status");
                    stamp = std::string(parser.get()["Server-Stamp"]);
                    if (isStream && parser.get()["Attempt-Id"] != id)
                        checker.addFault("bad_id");
                    const std::string retryAfter(parser.get()["Retry-After"]);
                    if (!retryAfter.empty())
                        answer.retryAfterS = std::strtod(retryAfter.c_str(), nullptr);
                }
                if (ec && ec != http::error::need_more) {
                    checker.addFault("bad_framing");
                    answer.end = End::Malformed;
                    return answer;
                }
                if (isStream && !parser.get().body().empty())
                    checker.push(std::exchange(parser.get().body(), {}), stamp);
                if (ec == http::error::need_more)
                    break;
            }
            if (parser.is_done()) {
                answer.end = isStream ? End::Whole : End::Refused;
                if (isStream && checker.last() == 0)
                    checker.addFault("bad_empty");
                if (!parser.keep_alive())
                    m_connection.close(false);
                else if (!m_connection.input().empty())
                    checker.addFault("bad_extra");
                return answer;
            }
            if (leavesAfter > 0 && checker.last() >= leavesAfter) {
                answer.end = End::LeftByCaller;
                return answer;
            }
            if (m_connection.isSlow())
                std::this_thread::sleep_for(milliseconds(draw(80)));
            const ssize_t n = m_connection.receive();
            if (n > 0)
                continue;
            boost::system::error_code ec;
            if (n == 0 && parser.is_header_done()) {
                parser.put_eof(ec);
                if (!ec && parser.is_done())
                    answer.end = isStream ? End::Closed : End::Refused;
            }
            return answer;
        }
    }

    const Options &m_options;
    int m_number;
    std::mt19937 m_random;
    const std::atomic<bool> &m_isStopped;
    std::mutex &m_output;
    Connection m_connection;
};

} // namespace

/// streamcaller IP SEED CALLERS GATEWAYS FIRST_PORT KIND...: runs CALLERS threads that send streams
/// until SIGTERM. A KIND is NAME-MEAN, or NAME-MEAN! if its streams may not be resumed.
int main(int argc, char **argv)
{
    if (argc < 7) {
        std::fputs("usage: streamcaller IP SEED CALLERS GATEWAYS FIRST_PORT KIND...\n", stderr);
        return 2;
    }
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    Options options{argv[1],
                    static_cast<std::uint32_t>(std::strtoul(argv[2], nullptr, 10)),
                    std::atoi(argv[3]),
                    std::atoi(argv[4]),
                    static_cast<std::uint16_t>(std::atoi(argv[5])),
                    {}};
    for (int i = 6; i < argc; ++i) {
        std::string text = argv[i];
        const bool mayResume = !text.ends_with('!');
        if (!mayResume)
            text.pop_back();
        options.kinds.push_back({text, "/" + text + "/", mayResume});
    }
    std::atomic<bool> isStopped = false;
    std::mutex output;
    std::vector<std::thread> threads;
    for (int i = 0; i < options.callers; ++i)
        threads.emplace_back([&, i] { Caller(options, i, isStopped, output).run(); });
    int signal = 0;
    sigwait(&signals, &signal);
    isStopped = true;
    for (std::thread &it : threads)
        it.join();
    return 0;
}
