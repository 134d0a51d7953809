// Stand-ins of the review's scripts: the platform's store, backend servers, clients, and the start
// of gateways as the deploy file starts them. They speak what PROTOCOL.md of the users' pages says,
// as far as the scripts need it.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include <nlohmann/json.hpp>

namespace Review {

using Clock = std::chrono::steady_clock;
using Json = nlohmann::json;
using std::chrono::milliseconds;

inline const Clock::time_point startedAt = Clock::now();

inline long nowMs()
{
    return std::chrono::duration_cast<milliseconds>(Clock::now() - startedAt).count();
}

inline void pause(long ms)
{
    std::this_thread::sleep_for(milliseconds(ms));
}

/// The record of what was sent, answered and run: record.txt of the case.
class Record
{
public:
    static Record &get()
    {
        static Record record;
        return record;
    }
    void open(const std::string &path)
    {
        m_file = std::fopen(path.c_str(), "w");
        if (!m_file)
            std::exit(2);
    }
    void write(const char *format, ...) __attribute__((format(printf, 2, 3)))
    {
        const std::lock_guard lock(m_mutex);
        if (!m_file)
            return;
        std::fprintf(m_file, "%7ld ", nowMs());
        va_list args;
        va_start(args, format);
        std::vfprintf(m_file, format, args);
        va_end(args);
        std::fputc('\n', m_file);
        std::fflush(m_file);
    }

private:
    std::mutex m_mutex;
    std::FILE *m_file = nullptr;
};

#define RECORD(...) ::Review::Record::get().write(__VA_ARGS__)

/// Ends the case as one that could not run.
[[noreturn]] void cannotRun(const std::string &why);

inline std::string lower(std::string text)
{
    for (char &c : text)
        c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    return text;
}

/// A loopback address of this run's own.
inline const std::string &loopback()
{
    static const std::string ip = [] {
        const unsigned pid = static_cast<unsigned>(getpid());
        char text[32];
        std::snprintf(text, sizeof(text), "127.%u.%u.%u", 1 + (pid >> 16) % 254, (pid >> 8) & 255,
                      pid & 255);
        return std::string(text);
    }();
    return ip;
}

inline sockaddr_in socketAddress(const std::string &ip, int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

/// Listens on a free port of \a ip and returns the socket and the port.
inline std::pair<int, int> listenAnywhere(const std::string &ip)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in address = socketAddress(ip, 0);
    socklen_t length = sizeof(address);
    if (bind(fd, reinterpret_cast<sockaddr *>(&address), sizeof(address)) != 0
        || listen(fd, 512) != 0
        || getsockname(fd, reinterpret_cast<sockaddr *>(&address), &length) != 0)
        cannotRun("no port to listen on");
    return {fd, ntohs(address.sin_port)};
}

inline int freePort(const std::string &ip)
{
    static std::set<int> given;
    for (;;) {
        const auto [fd, port] = listenAnywhere(ip);
        close(fd);
        if (given.insert(port).second)
            return port;
    }
}

inline int connectTo(const std::string &ip, int port, int receiveBuffer = 0)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (receiveBuffer > 0)
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof(receiveBuffer));
    const sockaddr_in address = socketAddress(ip, port);
    if (connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
        close(fd);
        return -1;
    }
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return fd;
}

inline bool sendAll(int fd, const std::string &text)
{
    std::size_t at = 0;
    while (at < text.size()) {
        const ssize_t n = send(fd, text.data() + at, text.size() - at, MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        at += static_cast<std::size_t>(n);
    }
    return true;
}

/// Whether the other end has closed the connection.
inline bool isClosed(int fd)
{
    pollfd entry{fd, POLLRDHUP, 0};
    return poll(&entry, 1, 0) > 0 && (entry.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

/// A request or an answer as it was read.
struct Message
{
    std::string first;
    std::map<std::string, std::string> fields;
    std::string body;

    std::string field(const std::string &name) const
    {
        const auto it = fields.find(lower(name));
        return it == fields.end() ? std::string() : it->second;
    }
    std::string method() const { return first.substr(0, first.find(' ')); }
    std::string target() const
    {
        const std::size_t at = first.find(' ');
        return first.substr(at + 1, first.find(' ', at + 1) - at - 1);
    }
    std::string path() const { return target().substr(0, target().find('?')); }
    std::string query(const std::string &name) const
    {
        const std::string text = target();
        std::size_t at = text.find('?');
        while (at != std::string::npos) {
            const std::size_t end = text.find('&', at + 1);
            const std::string pair = text.substr(at + 1, end - at - 1);
            if (pair.starts_with(name + "="))
                return pair.substr(name.size() + 1);
            at = end;
        }
        return {};
    }
    int status() const { return first.size() > 12 ? std::atoi(first.c_str() + 9) : 0; }
};

/// Reads messages from a connection, one after the other.
class Reader
{
public:
    explicit Reader(int fd)
        : m_fd(fd)
    {}
    enum class End { Whole, Closed, Broken, Late };

    /// Reads a message. An answer of unknown length ends with its connection.
    End read(Message &message, Clock::time_point until = Clock::time_point::max(),
             bool isAnswer = false)
    {
        message = {};
        std::size_t end = 0;
        while ((end = m_input.find("\r\n\r\n")) == std::string::npos) {
            const End more = fill(until);
            if (more != End::Whole)
                return more == End::Closed && !m_input.empty() ? End::Broken : more;
        }
        std::istringstream head(m_input.substr(0, end));
        m_input.erase(0, end + 4);
        std::string line;
        while (std::getline(head, line)) {
            if (line.ends_with('\r'))
                line.pop_back();
            if (message.first.empty()) {
                message.first = line;
                continue;
            }
            const std::size_t colon = line.find(':');
            std::size_t value = colon + 1;
            while (value < line.size() && line[value] == ' ')
                ++value;
            message.fields[lower(line.substr(0, colon))] = line.substr(value);
        }
        if (lower(message.field("Transfer-Encoding")) == "chunked")
            return readChunks(message, until);
        const std::string length = message.field("Content-Length");
        if (length.empty() && isAnswer) {
            for (;;) {
                message.body += std::exchange(m_input, {});
                const End more = fill(until);
                if (more != End::Whole)
                    return more == End::Closed ? End::Whole : more;
            }
        }
        const std::size_t size = length.empty() ? 0 : std::stoul(length);
        while (m_input.size() < size) {
            const End more = fill(until);
            if (more != End::Whole)
                return more == End::Closed ? End::Broken : more;
        }
        message.body = m_input.substr(0, size);
        m_input.erase(0, size);
        return End::Whole;
    }
    bool hasInput() const { return !m_input.empty(); }

private:
    End readChunks(Message &message, Clock::time_point until)
    {
        for (;;) {
            std::size_t end = 0;
            while ((end = m_input.find("\r\n")) == std::string::npos) {
                const End more = fill(until);
                if (more != End::Whole)
                    return more == End::Closed ? End::Broken : more;
            }
            const std::size_t size = std::strtoul(m_input.c_str(), nullptr, 16);
            while (m_input.size() < end + 2 + size + 2) {
                const End more = fill(until);
                if (more != End::Whole)
                    return more == End::Closed ? End::Broken : more;
            }
            message.body += m_input.substr(end + 2, size);
            m_input.erase(0, end + 2 + size + 2);
            if (size == 0)
                return End::Whole;
        }
    }
    End fill(Clock::time_point until)
    {
        if (until != Clock::time_point::max()) {
            const auto left =
                std::chrono::duration_cast<milliseconds>(until - Clock::now()).count();
            pollfd entry{m_fd, POLLIN, 0};
            if (left <= 0 || poll(&entry, 1, static_cast<int>(left)) <= 0)
                return End::Late;
        }
        char buffer[65536];
        const ssize_t n = recv(m_fd, buffer, sizeof(buffer), 0);
        if (n == 0)
            return End::Closed;
        if (n < 0)
            return End::Broken;
        m_input.append(buffer, static_cast<std::size_t>(n));
        return End::Whole;
    }

    int m_fd;
    std::string m_input;
};

/// Listens on a port and runs one thread for each connection.
class Listener
{
public:
    using Serve = std::function<void(int fd)>;

    explicit Listener(Serve serve)
        : m_serve(std::move(serve))
    {
        std::tie(m_fd, port) = listenAnywhere(loopback());
        std::thread([this] {
            for (;;) {
                const int fd = accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
                if (fd < 0)
                    continue;
                const int on = 1;
                setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
                std::thread([this, fd] {
                    m_serve(fd);
                    close(fd);
                }).detach();
            }
        }).detach();
    }
    std::string address() const { return loopback() + ":" + std::to_string(port); }

    int port = 0;

private:
    Serve m_serve;
    int m_fd = -1;
};

inline std::string answerText(int status, const std::map<std::string, std::string> &fields,
                              const std::string &body)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " Answer\r\n";
    for (const auto &[name, value] : fields)
        text += name + ": " + value + "\r\n";
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string base64(const std::string &text)
{
    static const char *const digits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < text.size(); i += 3) {
        unsigned bits = 0;
        for (std::size_t k = 0; k < 3; ++k)
            bits =
                (bits << 8) | (i + k < text.size() ? static_cast<unsigned char>(text[i + k]) : 0U);
        for (std::size_t k = 0; k < 4; ++k)
            out += i + k <= text.size() ? digits[(bits >> (18 - 6 * k)) & 63] : '=';
    }
    return out;
}

/// The platform's store: rows with versions, reads, a feed of changes and transactions.
class Store
{
public:
    Store()
        : m_listener([this](int fd) { serve(fd); })
    {}
    std::string address() const { return m_listener.address(); }

    /// Writes a row as the operator or a server does.
    void put(const std::string &table, const std::string &key, const Json &value)
    {
        const std::lock_guard lock(m_mutex);
        m_rows[{table, "", key}] = {base64(value.dump()), ++m_version, false};
        m_changed.notify_all();
    }
    void remove(const std::string &table, const std::string &key)
    {
        const std::lock_guard lock(m_mutex);
        m_rows[{table, "", key}] = {"", ++m_version, true};
        m_changed.notify_all();
    }

private:
    struct Row
    {
        std::string value;
        std::uint64_t version = 0;
        bool isRemoved = false;
    };
    using Name = std::tuple<std::string, std::string, std::string>;

    void serve(int fd)
    {
        Reader reader(fd);
        Message request;
        while (reader.read(request) == Reader::End::Whole) {
            std::pair<int, Json> answer{404, Json::object()};
            if (request.path() == "/-/rows-get")
                answer = get(request);
            else if (request.path() == "/-/rows-feed")
                answer = feed(request);
            else if (request.path() == "/-/rows-tx")
                answer = transact(Json::parse(request.body, nullptr, false));
            if (!sendAll(fd, answerText(answer.first, {{"Content-Type", "application/json"}},
                                        answer.second.dump())))
                return;
        }
    }
    static Json rowText(const Name &name, const Row &row)
    {
        Json json{{"table", std::get<0>(name)},
                  {"part", std::get<1>(name)},
                  {"key", std::get<2>(name)},
                  {"ver", row.version}};
        if (row.isRemoved)
            json["removed"] = true;
        else
            json["value"] = row.value;
        return json;
    }
    Json answerOf(const Json &rows) const
    {
        return {{"rows", rows}, {"hasMore", false}, {"ver", m_version}, {"nowMs", nowMs() + 1000}};
    }
    std::pair<int, Json> get(const Message &request)
    {
        const std::lock_guard lock(m_mutex);
        Json rows = Json::array();
        for (const auto &[name, row] : m_rows) {
            if (std::get<0>(name) == request.query("table")
                && std::get<1>(name) == request.query("part") && !row.isRemoved)
                rows.push_back(rowText(name, row));
        }
        return {200, answerOf(rows)};
    }
    std::pair<int, Json> feed(const Message &request)
    {
        const std::uint64_t after = std::stoull("0" + request.query("after"));
        const long wait = std::stol("0" + request.query("waitMs"));
        std::vector<std::pair<Name, Row>> changed;
        const auto find = [&] {
            changed.clear();
            for (const auto &it : m_rows) {
                if (std::get<0>(it.first) == request.query("table") && it.second.version > after)
                    changed.push_back(it);
            }
            return !changed.empty();
        };
        std::unique_lock lock(m_mutex);
        m_changed.wait_for(lock, milliseconds(wait), find);
        std::sort(changed.begin(), changed.end(),
                  [](const auto &a, const auto &b) { return a.second.version < b.second.version; });
        Json rows = Json::array();
        for (const auto &[name, row] : changed)
            rows.push_back(rowText(name, row));
        return {200, answerOf(rows)};
    }
    std::pair<int, Json> transact(const Json &call)
    {
        if (!call.is_object())
            return {400, Json::object()};
        const auto nameOf = [](const Json &it) {
            return Name(it.value("table", ""), it.value("part", ""), it.value("key", ""));
        };
        const std::lock_guard lock(m_mutex);
        for (const Json &it : call.value("expectedRevision", Json::array())) {
            const auto row = m_rows.find(nameOf(it));
            const bool isPresent = row != m_rows.end() && !row->second.isRemoved;
            if ((isPresent ? row->second.version : 0) != it.value("ver", std::uint64_t(0)))
                return {412, answerOf(Json::array())};
        }
        ++m_version;
        for (const Json &it : call.value("puts", Json::array()))
            m_rows[nameOf(it)] = {it.value("value", ""), m_version, false};
        for (const Json &it : call.value("remove", Json::array()))
            m_rows[nameOf(it)] = {"", m_version, true};
        m_changed.notify_all();
        return {200, answerOf(Json::array())};
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<Name, Row> m_rows;
    std::uint64_t m_version = 1;
    Listener m_listener;
};

/// Keeps the entry of a server in the store, as the server does with each heartbeat.
inline void registerServer(Store &store, const std::string &id, const std::string &service,
                           const std::string &zone, const std::string &address, int slots)
{
    std::thread([&store, id, service, zone, address, slots] {
        const long born = 1764700000000;
        for (int sequence = 1;; ++sequence) {
            store.put("servers", id,
                      {{"service", service},
                       {"address", address},
                       {"zone", zone},
                       {"version", "v1"},
                       {"slots", slots},
                       {"state", "ready"},
                       {"sequence", sequence},
                       {"coldRemainingMs", 0},
                       {"born", born}});
            pause(1200);
        }
    }).detach();
}

/// A gateway process, started with the command of the deploy file.
class GatewayProcess
{
public:
    GatewayProcess(const std::string &folder, const std::string &name, const std::string &zone,
                   const std::string &storeAddress)
        : m_folder(folder)
        , m_name(name)
    {
        const std::string ip = loopback();
        callerPort = freePort(ip);
        readyPort = freePort(ip);
        directoryPort = freePort(ip);
        const int peerPort = freePort(ip);
        const int metricsPort = freePort(ip);
        const auto at = [&](int port) { return ip + ":" + std::to_string(port); };
        // As deploy/settings.json.template is filled in on the platform.
        const Json settings{{"host", name},
                            {"zone", zone},
                            {"region", "lower-mainland"},
                            {"zoneRegions", {{"abbotsford", "lower-mainland"}}},
                            {"callerAddress", at(callerPort)},
                            {"readinessAddress", at(readyPort)},
                            {"discoveryAddress", at(directoryPort)},
                            {"peerAddress", at(peerPort)},
                            {"metricsAddress", at(metricsPort)},
                            {"storeAddress", storeAddress},
                            {"processorShare", 0.25},
                            {"processorCores", 1},
                            {"seeds", Json::array()},
                            {"bounds",
                             {{"entryListMaxAgeS", 2},
                              {"shutdownGraceS", 8},
                              {"keyRevocationMs", 5000},
                              {"configurationMs", 2000},
                              {"leavingMs", 2000},
                              {"retryRatio", 0.2},
                              {"retrySlack", 52},
                              {"retryWindowS", 10}}}};
        std::ofstream(m_folder + "/" + name + ".json") << settings.dump(1);
    }
    ~GatewayProcess() { stop(SIGKILL); }

    void start()
    {
        const std::string settings = m_folder + "/" + m_name + ".json";
        const std::string log = m_folder + "/" + m_name + ".log";
        const pid_t child = fork();
        if (child == 0) {
            const int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(fd, STDOUT_FILENO);
            dup2(fd, STDERR_FILENO);
            execl("target/src/app/lagoonmast", "target/src/app/lagoonmast", "serve", "--settings",
                  settings.c_str(), nullptr);
            _exit(127);
        }
        pid = child;
        startedAtMs = nowMs();
        RECORD("gateway %s started", m_name.c_str());
    }
    /// Sends \a signal to the process, if it runs.
    void signalProcess(int signal)
    {
        if (pid > 0)
            kill(pid, signal);
    }
    /// Whether the process has ended; it is then reaped.
    bool hasEnded()
    {
        int status = 0;
        if (pid > 0 && waitpid(pid, &status, WNOHANG) == pid) {
            RECORD("gateway %s ended, status %d", m_name.c_str(), status);
            pid = -1;
        }
        return pid < 0;
    }
    void stop(int signal)
    {
        if (pid <= 0)
            return;
        kill(pid, signal);
        int status = 0;
        waitpid(pid, &status, 0);
        pid = -1;
    }
    bool isReady() const
    {
        const int fd = connectTo(loopback(), readyPort);
        if (fd < 0)
            return false;
        Message answer;
        Reader reader(fd);
        const bool isGood =
            sendAll(fd, "GET /-/readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
            && reader.read(answer, Clock::now() + milliseconds(1000), true) == Reader::End::Whole
            && answer.status() == 200;
        close(fd);
        return isGood;
    }
    /// The memory that the process uses, in kilobytes.
    long residentKb() const
    {
        std::ifstream file("/proc/" + std::to_string(pid) + "/status");
        std::string line;
        while (std::getline(file, line)) {
            if (line.starts_with("VmRSS:"))
                return std::atol(line.c_str() + 6);
        }
        return 0;
    }

    /// The processor time that the process has used.
    double processorSeconds() const
    {
        std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
        std::string word;
        double ticks = 0;
        for (int i = 1; i <= 15 && file >> word; ++i)
            ticks += i >= 14 ? std::atof(word.c_str()) : 0;
        return ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
    }

    long startedAtMs = 0;
    int callerPort = 0;
    int readyPort = 0;
    int directoryPort = 0;
    std::atomic<pid_t> pid{-1};

private:
    std::string m_folder;
    std::string m_name;
};

inline std::string &scratchFolder()
{
    static std::string folder = [] {
        std::string path = (std::filesystem::temp_directory_path() / "reviewXXXXXX").string();
        if (!mkdtemp(path.data()))
            std::exit(2);
        return path;
    }();
    return folder;
}

/// All gateways of the case, which are ended with it.
inline std::vector<GatewayProcess *> &gateways()
{
    static std::vector<GatewayProcess *> list;
    return list;
}

/// Ends all processes of the case, removes its scratch folder and exits.
[[noreturn]] inline void finish(int code)
{
    for (GatewayProcess *it : gateways())
        it->stop(SIGKILL);
    RECORD("exit %d", code);
    const std::string remove = "rm -rf '" + scratchFolder() + "'";
    if (!std::getenv("KEEP") && std::system(remove.c_str()) != 0)
        std::fprintf(stderr, "the scratch folder was not removed\n");
    std::fflush(nullptr);
    _exit(code);
}

[[noreturn]] inline void cannotRun(const std::string &why)
{
    RECORD("the case could not run: %s", why.c_str());
    std::fprintf(stderr, "the case could not run: %s\n", why.c_str());
    finish(2);
}

/// Ends the gateways if the script itself is stopped.
inline void stopOnSignals()
{
    signal(SIGPIPE, SIG_IGN);
    const auto stop = [](int) {
        for (GatewayProcess *it : gateways()) {
            if (it->pid > 0)
                kill(it->pid, SIGKILL);
        }
        _exit(2);
    };
    signal(SIGTERM, stop);
    signal(SIGINT, stop);
}

inline void startGateway(GatewayProcess &gateway)
{
    gateways().push_back(&gateway);
    gateway.start();
    for (int i = 0; !gateway.isReady(); ++i) {
        if (i > 200 || gateway.hasEnded())
            cannotRun("a gateway did not get ready");
        pause(100);
    }
    RECORD("gateway ready");
}

/// A route of the configuration.
inline Json route(const std::string &name, const std::string &kind, const std::string &service,
                  int timeoutMs, int targetMs)
{
    Json json{{"name", name},
              {"host", "ficu95.example"},
              {"prefix", "/" + name + "/"},
              {"routeKind", kind},
              {"service", service},
              {"timeoutMs", timeoutMs},
              {"targetLatencyMs", targetMs},
              {"gapTargetMs", 500},
              {"maxAttempts", 2},
              {"priority", 1},
              {"anonymous", false}};
    if (kind == "streaming")
        json["streamResume"] = true;
    return json;
}

inline Json configuration(const Json &routes, const Json &services)
{
    return {{"version", 4},
            {"routeTable", routes},
            {"services", services},
            {"limits",
             {{"maxHeaderBytes", 16384},
              {"maxBodyBytes", 4194304},
              {"headerTimeoutMs", 3000},
              {"idleTimeoutMs", 15000},
              {"tokensPerS", 1000000}}},
            {"tenants", {{{"name", "dealer"}, {"apiKeys", {"key-1"}}, {"priority", 1}}}}};
}

/// Ids of client attempts, each used once.
inline std::string newAttemptId()
{
    static std::atomic<unsigned long> next{1};
    char text[24];
    std::snprintf(text, sizeof(text), "%08x%08lx", static_cast<unsigned>(getpid()), next++);
    return text;
}

inline std::string requestText(const std::string &method, const std::string &path,
                               const std::string &attempt, int deadlineMs,
                               const std::string &more = {}, const std::string &body = {})
{
    std::string text = method + " " + path + " HTTP/1.1\r\nHost: ficu95.example\r\nAttempt-Id: "
                       + attempt + "\r\nDeadline-Ms: " + std::to_string(deadlineMs)
                       + "\r\nAuthorization: Bearer key-1\r\n" + more;
    if (method == "POST")
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return text + "\r\n" + (method == "POST" ? body : std::string());
}

/// The fields of a request to a model server whose prompt no other request shares.
inline std::string promptFields(const std::string &attempt, int outputTokens)
{
    const std::string own = attempt.substr(attempt.size() - 7);
    return "Model: m\r\nToken-Count: 900," + std::to_string(outputTokens) + "\r\nPrefix-Hash: a"
           + own + ":600,b" + own + ":300\r\n";
}

inline bool hasTrouble()
{
    const char *text = std::getenv("TROUBLE");
    return !text || std::string(text) != "0";
}

} // namespace Review
