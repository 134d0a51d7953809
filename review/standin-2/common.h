// What the cases 4 to 8 share: a row store and HTTP in threads of the script's own process, clients,
// and the start of the gateways and servers as separate processes. Everything is on loopback.
#pragma once

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <spawn.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <sstream>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace Case {

using Json = nlohmann::json;

enum Exit { Held = 0, Broken = 1, NotRun = 2 };

inline std::int64_t steadyMs()
{
    using namespace std::chrono;
    return duration_cast<milliseconds>(steady_clock::now().time_since_epoch()).count();
}

inline std::int64_t unixMs()
{
    using namespace std::chrono;
    return duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
}

inline void sleepMs(std::int64_t ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

/// Writes what was sent, answered and run; the times are since the start of the record.
class Record
{
public:
    explicit Record(const std::string &file)
        : m_file(file)
        , m_start(steadyMs())
    {}
    void line(const std::string &text)
    {
        const std::lock_guard lock(m_mutex);
        char at[32];
        std::snprintf(at, sizeof(at), "%8.3f ", static_cast<double>(steadyMs() - m_start) / 1000);
        m_file << at << text << '\n' << std::flush;
    }
    void say(const std::string &text)
    {
        line(text);
        std::printf("%s\n", text.c_str());
        std::fflush(stdout);
    }

private:
    std::ofstream m_file;
    std::int64_t m_start;
    std::mutex m_mutex;
};

// ---- sockets

inline sockaddr_in addressOf(const std::string &ip, int port)
{
    sockaddr_in it{};
    it.sin_family = AF_INET;
    it.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &it.sin_addr);
    return it;
}

inline int listenOn(const std::string &ip, int port)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in at = addressOf(ip, port);
    if (bind(fd, reinterpret_cast<const sockaddr *>(&at), sizeof(at)) != 0 || listen(fd, 512) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

/// Returns a port that is free on the address now, and is not given out again.
inline int freePort(const std::string &ip)
{
    static std::map<int, bool> given;
    for (int i = 0; i < 200; ++i) {
        const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in at = addressOf(ip, 0);
        sockaddr_in got{};
        socklen_t size = sizeof(got);
        const bool isBound = bind(fd, reinterpret_cast<const sockaddr *>(&at), sizeof(at)) == 0
                             && getsockname(fd, reinterpret_cast<sockaddr *>(&got), &size) == 0;
        close(fd);
        const int port = ntohs(got.sin_port);
        if (isBound && !std::exchange(given[port], true))
            return port;
    }
    std::fprintf(stderr, "no free port\n");
    std::exit(NotRun);
}

inline int connectTo(const std::string &ip, int port, int timeoutMs = 1000)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const sockaddr_in at = addressOf(ip, port);
    if (connect(fd, reinterpret_cast<const sockaddr *>(&at), sizeof(at)) != 0 && errno != EINPROGRESS) {
        close(fd);
        return -1;
    }
    pollfd it{fd, POLLOUT, 0};
    int error = 0;
    socklen_t size = sizeof(error);
    if (poll(&it, 1, timeoutMs) <= 0 || getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0
        || error != 0) {
        close(fd);
        return -1;
    }
    fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return fd;
}

inline void resetConnection(int fd)
{
    const linger now{1, 0};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    close(fd);
}

inline bool sendAll(int fd, std::string_view text)
{
    while (!text.empty()) {
        const ssize_t n = send(fd, text.data(), text.size(), MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        text.remove_prefix(static_cast<std::size_t>(n));
    }
    return true;
}

// ---- HTTP

inline std::string lower(std::string text)
{
    for (char &c : text)
        c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    return text;
}

struct Message
{
    std::string start;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;
    std::string field(const std::string &name) const
    {
        for (const auto &[key, value] : fields) {
            if (key == lower(name))
                return value;
        }
        return {};
    }
    bool has(const std::string &name) const
    {
        for (const auto &[key, value] : fields) {
            if (key == lower(name))
                return true;
        }
        return false;
    }
    int status() const { return start.size() > 12 ? std::atoi(start.c_str() + 9) : 0; }
    std::string target() const
    {
        const std::size_t from = start.find(' ') + 1;
        return start.substr(from, start.find(' ', from) - from);
    }
};

/// Reads messages from a socket, each until a deadline.
class Reader
{
public:
    explicit Reader(int fd)
        : m_fd(fd)
    {}
    /// Returns false at the end, at an error, or after the deadline.
    bool more(std::int64_t deadline)
    {
        pollfd it{m_fd, POLLIN, 0};
        const std::int64_t left = deadline - steadyMs();
        if (left <= 0 || poll(&it, 1, static_cast<int>(left)) <= 0)
            return false;
        char text[16384];
        const ssize_t n = recv(m_fd, text, sizeof(text), 0);
        if (n <= 0) {
            isEnded = n == 0;
            isReset = n < 0;
            return false;
        }
        buffer.append(text, static_cast<std::size_t>(n));
        return true;
    }
    bool head(Message &message, std::int64_t deadline)
    {
        std::size_t end = std::string::npos;
        while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!more(deadline))
                return false;
        }
        std::istringstream lines(buffer.substr(0, end));
        buffer.erase(0, end + 4);
        std::string line;
        message = Message();
        while (std::getline(lines, line)) {
            if (!line.empty() && line.back() == '\r')
                line.pop_back();
            if (message.start.empty()) {
                message.start = line;
                continue;
            }
            const std::size_t colon = line.find(':');
            if (colon == std::string::npos)
                continue;
            std::string value = line.substr(colon + 1);
            value.erase(0, std::min(value.find_first_not_of(' '), value.size()));
            message.fields.emplace_back(lower(line.substr(0, colon)), value);
        }
        return true;
    }
    bool exactly(std::size_t count, std::string &to, std::int64_t deadline)
    {
        while (buffer.size() < count) {
            if (!more(deadline))
                return false;
        }
        to.append(buffer, 0, count);
        buffer.erase(0, count);
        return true;
    }
    /// Reads the body of a message with a length or with chunks. Returns whether it is complete.
    bool body(Message &message, std::int64_t deadline)
    {
        if (lower(message.field("Transfer-Encoding")) == "chunked") {
            while (true) {
                std::size_t end = std::string::npos;
                while ((end = buffer.find("\r\n")) == std::string::npos) {
                    if (!more(deadline))
                        return false;
                }
                const std::size_t size = std::strtoul(buffer.c_str(), nullptr, 16);
                buffer.erase(0, end + 2);
                std::string chunk;
                if (!exactly(size + 2, chunk, deadline))
                    return false;
                message.body.append(chunk, 0, size);
                if (size == 0)
                    return true;
            }
        }
        const std::size_t size = std::strtoul(message.field("Content-Length").c_str(), nullptr, 10);
        return exactly(size, message.body, deadline);
    }

    std::string buffer;
    bool isEnded = false;
    bool isReset = false;

private:
    int m_fd;
};

/// Serves each connection on a thread. \a handle answers a request and returns whether the
/// connection is kept.
inline void serve(int listener, const std::function<bool(int fd, const Message &request)> &handle)
{
    while (true) {
        const int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) {
            if (errno == EBADF || errno == EINVAL)
                return;
            sleepMs(5);
            continue;
        }
        const int on = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        std::thread([fd, handle] {
            Reader reader(fd);
            Message request;
            while (reader.head(request, steadyMs() + 3'600'000)
                   && reader.body(request, steadyMs() + 60'000)) {
                if (!handle(fd, request))
                    break;
            }
            close(fd);
        }).detach();
    }
}

/// Whether the other end of the connection has closed it.
inline bool isClosedByPeer(int fd)
{
    pollfd it{fd, POLLRDHUP, 0};
    return poll(&it, 1, 0) > 0 && (it.revents & (POLLRDHUP | POLLERR | POLLHUP)) != 0;
}

// ---- the platform's store

inline std::string base64(const std::string &bytes)
{
    static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t j = 0; j < 3; ++j)
            group = group << 8 | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0U);
        for (std::size_t j = 0; j < 4; ++j)
            text += i + j <= bytes.size() ? digits[group >> (18 - 6 * j) & 63] : '=';
    }
    return text;
}

class Store
{
public:
    explicit Store(const std::string &ip)
        : ip(ip)
        , port(freePort(ip))
        , m_listener(listenOn(ip, port))
    {
        if (m_listener < 0)
            std::exit(NotRun);
        std::thread([this] {
            serve(m_listener, [this](int fd, const Message &it) { return answer(fd, it); });
        }).detach();
    }
    /// Writes a row as the operator or a server does; null removes it.
    void put(const std::string &table, const std::string &key, const Json &value)
    {
        const std::lock_guard lock(m_mutex);
        change(table, "", key, value.is_null() ? std::string() : base64(value.dump()), value.is_null());
        m_changed.notify_all();
    }

    /// While it is down, the store answers 503 and does nothing.
    void setDown(bool isDown) { m_isDown = isDown; }

    const std::string ip;
    const int port;

private:
    struct Row
    {
        std::string table, part, key, value;
        std::uint64_t version = 0;
        bool isRemoved = false;
    };

    void change(const std::string &table, const std::string &part, const std::string &key,
                const std::string &value, bool isRemoved)
    {
        m_rows[{table, part, key}] = {table, part, key, value, m_version + 1, isRemoved};
        if (!m_isInTransaction)
            ++m_version;
    }
    static std::string query(const std::string &target, const std::string &name)
    {
        const std::size_t at = target.find(name + "=", std::min(target.find('?'), target.size()));
        if (at == std::string::npos)
            return {};
        const std::size_t from = at + name.size() + 1;
        return target.substr(from, target.find('&', from) - from);
    }
    Json listed(const Row &row) const
    {
        Json json{{"table", row.table}, {"part", row.part}, {"key", row.key}, {"ver", row.version}};
        if (row.isRemoved)
            json["removed"] = true;
        else
            json["value"] = row.value;
        return json;
    }
    bool answer(int fd, const Message &request)
    {
        if (m_isDown)
            return sendAll(fd, "HTTP/1.1 503 Down\r\nContent-Length: 0\r\n\r\n");
        std::unique_lock lock(m_mutex);
        const std::string target = request.target();
        const std::string table = query(target, "table");
        Json rows = Json::array();
        int status = 200;
        if (target.starts_with("/-/rows-get")) {
            const std::string part = query(target, "part");
            for (const auto &[name, row] : m_rows) {
                if (row.table == table && row.part == part && !row.isRemoved)
                    rows.push_back(listed(row));
            }
        } else if (target.starts_with("/-/rows-feed")) {
            const std::uint64_t after = std::strtoull(query(target, "after").c_str(), nullptr, 10);
            const auto collect = [&] {
                std::map<std::uint64_t, Json> changed;
                for (const auto &[name, row] : m_rows) {
                    if (row.table == table && row.version > after)
                        changed[row.version] = listed(row);
                }
                for (const auto &[version, row] : changed)
                    rows.push_back(row);
                return !rows.empty();
            };
            m_changed.wait_for(lock, std::chrono::milliseconds(std::atoi(query(target, "waitMs").c_str())),
                               collect);
        } else if (target.starts_with("/-/rows-tx")) {
            status = transact(Json::parse(request.body, nullptr, false)) ? 200 : 412;
        } else {
            status = 404;
        }
        const std::string body = Json{{"rows", rows}, {"hasMore", false}, {"ver", m_version}, {"nowMs", steadyMs()}}.dump();
        lock.unlock();
        return sendAll(fd, "HTTP/1.1 " + std::to_string(status)
                               + " X\r\nContent-Type: application/json\r\nContent-Length: "
                               + std::to_string(body.size()) + "\r\n\r\n" + body);
    }
    bool transact(const Json &json)
    {
        if (!json.is_object())
            return false;
        for (const Json &it : json.value("expectedRevision", Json::array())) {
            const auto row = m_rows.find({it["table"], it.value("part", ""), it["key"]});
            const std::uint64_t version = row == m_rows.end() || row->second.isRemoved ? 0 : row->second.version;
            if (version != it.value("ver", 0ULL))
                return false;
        }
        m_isInTransaction = true;
        for (const Json &it : json.value("puts", Json::array()))
            change(it["table"], it.value("part", ""), it["key"], it["value"], false);
        for (const Json &it : json.value("remove", Json::array()))
            change(it["table"], it.value("part", ""), it["key"], "", true);
        m_isInTransaction = false;
        ++m_version;
        m_changed.notify_all();
        return true;
    }

    int m_listener;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::tuple<std::string, std::string, std::string>, Row> m_rows;
    std::uint64_t m_version = 100;
    bool m_isInTransaction = false;
    std::atomic<bool> m_isDown = false;
};

// ---- processes

class Processes
{
public:
    ~Processes() { endAll(); }
    pid_t start(const std::vector<std::string> &words, const std::string &output)
    {
        std::vector<char *> arguments;
        for (const std::string &it : words)
            arguments.push_back(const_cast<char *>(it.c_str()));
        arguments.push_back(nullptr);
        const pid_t parent = getpid();
        const pid_t pid = fork();
        if (pid == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            if (getppid() != parent)
                _exit(NotRun);
            const int fd = open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(fd, 1);
            dup2(fd, 2);
            execv(arguments[0], arguments.data());
            _exit(127);
        }
        const std::lock_guard lock(m_mutex);
        m_running.push_back(pid);
        return pid;
    }
    void signal(pid_t pid, int number) { kill(pid, number); }
    /// Kills the process and waits until it is gone.
    void end(pid_t pid)
    {
        kill(pid, SIGKILL);
        waitpid(pid, nullptr, 0);
        const std::lock_guard lock(m_mutex);
        std::erase(m_running, pid);
    }
    /// Whether the process has ended by itself.
    bool hasEnded(pid_t pid)
    {
        if (waitpid(pid, nullptr, WNOHANG) != pid)
            return false;
        const std::lock_guard lock(m_mutex);
        std::erase(m_running, pid);
        return true;
    }
    void endAll()
    {
        const std::lock_guard lock(m_mutex);
        for (const pid_t pid : m_running)
            kill(pid, SIGKILL);
        for (const pid_t pid : m_running)
            waitpid(pid, nullptr, 0);
        m_running.clear();
    }

private:
    std::mutex m_mutex;
    std::vector<pid_t> m_running;
};

// ---- the deployment

struct Gateway
{
    std::string ip;
    int callers = 0, ready = 0, directory = 0, peer = 0, metrics = 0;
    pid_t pid = 0;
};

/// The figures are those of DEPLOY.md's example and of the sheets in SYSTEM.md.
inline Json settingsOf(const Gateway &it, const std::string &name, const std::string &zone, const Store &store)
{
    const auto at = [&](int port) { return it.ip + ":" + std::to_string(port); };
    return {{"host", name},
            {"zone", zone},
            {"region", "r"},
            {"zoneRegions", {{"z1", "r"}, {"z2", "r"}}},
            {"callerAddress", at(it.callers)},
            {"readinessAddress", at(it.ready)},
            {"discoveryAddress", at(it.directory)},
            {"peerAddress", at(it.peer)},
            {"metricsAddress", at(it.metrics)},
            {"storeAddress", store.ip + ":" + std::to_string(store.port)},
            {"processorShare", 0.25},
            {"processorCores", 1},
            {"memoryMb", 260},
            {"fileDescriptors", 4100},
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
}

struct Answer
{
    /// 0 if no whole head arrived.
    int status = 0;
    Message message;
    bool isWhole = false;
    std::int64_t tookMs = 0;
};

/// Sends one request on a connection of its own and reads the answer.
inline Answer call(const std::string &ip, int port, const std::string &text, std::int64_t timeoutMs)
{
    Answer answer;
    const std::int64_t begin = steadyMs();
    const int fd = connectTo(ip, port);
    if (fd < 0)
        return answer;
    Reader reader(fd);
    if (sendAll(fd, text) && reader.head(answer.message, begin + timeoutMs)) {
        answer.status = answer.message.status();
        answer.isWhole = reader.body(answer.message, begin + timeoutMs);
    }
    close(fd);
    answer.tookMs = steadyMs() - begin;
    return answer;
}

inline std::string requestText(const std::string &method, const std::string &path, const std::string &id,
                               const std::string &fields, const std::string &body = {})
{
    std::string text = method + " " + path + " HTTP/1.1\r\nHost: cars.example\r\nAttempt-Id: " + id + "\r\n"
                       + fields;
    if (method != "GET")
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return text + "\r\n" + body;
}

class Deployment
{
public:
    /// \a arguments: the program of the gateways, the temporary folder, the file of the record.
    explicit Deployment(char **arguments)
        : program(arguments[1])
        , folder(arguments[2])
        , record(arguments[3])
        , store("127.0.0.1")
        , hasTrouble(std::string(std::getenv("TROUBLE") ? std::getenv("TROUBLE") : "1") != "0")
    {
        signal(SIGPIPE, SIG_IGN);
        record.say(std::string("disruption: ") + (hasTrouble ? "yes" : "no"));
    }
    void startGateway(int n, const std::string &zone)
    {
        Gateway it;
        it.ip = "127.0.0.1";
        for (int *port : {&it.callers, &it.ready, &it.directory, &it.peer, &it.metrics})
            *port = freePort(it.ip);
        const std::string name = "gateway-" + std::to_string(n);
        const std::string file = folder + "/" + name + ".json";
        std::ofstream(file) << settingsOf(it, name, zone, store).dump(1);
        it.pid = processes.start({program, "serve", "--settings", file}, folder + "/" + name + ".log");
        gateways.push_back(it);
    }
    /// Waits until all gateways are ready and list each other.
    void awaitGateways()
    {
        for (const Gateway &it : gateways) {
            const std::int64_t until = steadyMs() + 20'000;
            while (true) {
                const Answer ready = call(it.ip, it.ready, "GET /-/readyz HTTP/1.1\r\nHost: x\r\n\r\n", 1000);
                const Answer list = call(it.ip, it.directory,
                                         "GET /-/resolve?name=cars.example&region=r&zone=z1 HTTP/1.1\r\nHost: x\r\n\r\n", 1000);
                const Json json = Json::parse(list.message.body, nullptr, false);
                if (ready.status == 200 && json.is_object() && json["addresses"].size() == gateways.size())
                    break;
                if (steadyMs() > until) {
                    record.say("a gateway did not get ready");
                    finish(NotRun);
                }
                sleepMs(100);
            }
        }
    }
    [[noreturn]] void finish(Exit code)
    {
        record.say(code == Held ? "the rule held" : code == Broken ? "the rule was broken" : "the case could not run");
        processes.endAll();
        std::_Exit(code);
    }
    std::vector<std::string> linesOf(const std::string &file) const
    {
        std::vector<std::string> lines;
        std::ifstream in(folder + "/" + file);
        for (std::string line; std::getline(in, line);)
            lines.push_back(line);
        return lines;
    }

    const std::string program;
    const std::string folder;
    Record record;
    Store store;
    Processes processes;
    std::vector<Gateway> gateways;
    const bool hasTrouble;
};

/// A route of the configuration, with the prefix /NAME/.
inline Json route(const std::string &name, const std::string &kind, const std::string &service, int timeoutMs,
                  int attempts, const Json &more = Json::object())
{
    Json json{{"name", name},          {"host", "cars.example"},  {"prefix", "/" + name + "/"}, {"routeKind", kind},
              {"service", service},    {"timeoutMs", timeoutMs},  {"targetLatencyMs", 800},     {"gapTargetMs", 500},
              {"maxAttempts", attempts}, {"priority", 1},         {"anonymous", false}};
    json.update(more);
    return json;
}

inline Json configuration(int version, const Json &routes)
{
    const Json pool{{"name", "pool"}, {"maxConnections", 360}, {"engine", {{"slots", 64}, {"kvCapacity", 542627}}}};
    const Json app{{"name", "app"}, {"maxConnections", 96}};
    const Json dealer{{"name", "dealer"}, {"apiKeys", Json::array({"key-1"})}, {"priority", 1}};
    const Json agent{{"name", "agent"}, {"apiKeys", Json::array({"key-2"})}, {"priority", 1}};
    return {{"version", version},
            {"routeTable", routes},
            {"services", Json::array({pool, app})},
            {"limits",
             {{"maxHeaderBytes", 16384},
              {"maxBodyBytes", 1048576},
              {"headerTimeoutMs", 3000},
              {"idleTimeoutMs", 15000},
              {"tokensPerS", 1000000}}},
            {"tenants", Json::array({dealer, agent})}};
}

inline Json serverEntry(const std::string &service, const std::string &address, int slots, std::int64_t born,
                        const std::string &version = "v1", const std::string &state = "ready")
{
    return {{"service", service}, {"address", address}, {"zone", "z1"},  {"version", version}, {"slots", slots},
            {"state", state},     {"sequence", 1},      {"coldRemainingMs", 0}, {"born", born}};
}

/// Appends a line to a file in one call, which keeps lines of several threads and processes whole.
inline void appendLine(int fd, const std::string &text)
{
    const std::string line = text + "\n";
    if (write(fd, line.data(), line.size()) < 0)
        std::exit(NotRun);
}

} // namespace Case
