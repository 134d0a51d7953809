// Case 5: a server crashes in the middle of an answer that has neither a length nor chunks. It has
// dropped idle connections without notice before. The caller gets the beginning of the answer as a
// whole one.
#include "common.h"

using namespace Case;

namespace {

constexpr int servers = 7;
constexpr int slots = 6;
constexpr int rounds = 5;
constexpr int pieces = 8;
constexpr int pieceMs = 60;
constexpr std::int64_t idleUntilDropMs = 1500;

/// The whole answer to a request, which the server and the client both know.
std::string pieceOf(const std::string &path, int n)
{
    std::string text = path + " piece " + std::to_string(n) + " of " + std::to_string(pieces) + " ";
    text.resize(100, '.');
    return text;
}

std::string wholeBody(const std::string &path)
{
    std::string body;
    for (int i = 1; i <= pieces; ++i)
        body += pieceOf(path, i);
    return body;
}

// server IP PORT ID LOG
int runServer(char **arguments)
{
    const std::string ip = arguments[2];
    const std::string id = arguments[4];
    const int log = open(arguments[5], O_WRONLY | O_CREAT | O_APPEND, 0644);
    const int listener = listenOn(ip, std::atoi(arguments[3]));
    if (listener < 0)
        return NotRun;
    serve(listener, [&](int fd, const Message &request) {
        const std::string path = request.target();
        const std::string head = "Content-Type: text/plain\r\nAttempt-Id: " + request.field("Attempt-Id") + "\r\n";
        if (request.field("Expect-Instance") != id)
            return sendAll(fd, "HTTP/1.1 421 Misdirected\r\nNot-Executed: 1\r\nContent-Length: 0\r\n" + head + "\r\n");
        const std::string stamped = "HTTP/1.1 200 OK\r\nServer-Stamp: stamp-of-" + id + "\r\n" + head;
        appendLine(log, "begin " + path);
        if (path.starts_with("/read/long")) {
            // No length and no chunks: the answer ends with its connection.
            sendAll(fd, stamped + "Connection: close\r\n\r\n");
            for (int i = 1; i <= pieces; ++i) {
                if (!sendAll(fd, pieceOf(path, i)))
                    break;
                sleepMs(pieceMs);
            }
            appendLine(log, "end " + path);
            return false;
        }
        sleepMs(30);
        const std::string body = wholeBody(path);
        appendLine(log, "end " + path);
        return sendAll(fd, stamped + "Keep-Alive: timeout=10\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    });
    return Held;
}

/// The way to one server. It passes all on, and drops connections for the server that were idle for
/// a second and a half: no notice comes, and what is sent next is reset.
class Way
{
public:
    Way(const std::string &ip, int port, int serverPort)
        : m_ip(ip)
        , m_port(port)
        , m_serverPort(serverPort)
    {
        startListening();
    }
    void startListening()
    {
        m_listener = listenOn(m_ip, m_port);
        if (m_listener < 0)
            std::exit(NotRun);
        std::thread([this, listener = m_listener] {
            while (true) {
                const int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
                if (fd < 0)
                    break;
                std::thread([this, fd] { pass(fd); }).detach();
            }
            close(listener);
        }).detach();
    }
    /// Nothing listens at the address of a server that has ended.
    void stopListening() { shutdown(m_listener, SHUT_RDWR); }
    /// The connections that are dropped, and of which the gateways do not know it.
    std::atomic<int> dropped = 0;

private:
    void pass(int gateway)
    {
        const int on = 1;
        setsockopt(gateway, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        int server = connectTo(m_ip, m_serverPort);
        if (server < 0) {
            resetConnection(gateway);
            return;
        }
        char text[16384];
        std::int64_t activeAt = steadyMs();
        while (true) {
            pollfd both[2] = {{gateway, POLLIN, 0}, {server, POLLIN, 0}};
            poll(both, server < 0 ? 1 : 2, 50);
            if (both[0].revents != 0) {
                const ssize_t n = recv(gateway, text, sizeof(text), 0);
                if (server < 0) {
                    --dropped;
                    if (n > 0)
                        resetConnection(gateway);
                    else
                        close(gateway);
                    return;
                }
                if (n <= 0)
                    break;
                sendAll(server, {text, static_cast<std::size_t>(n)});
                activeAt = steadyMs();
            }
            if (server >= 0 && both[1].revents != 0) {
                const ssize_t n = recv(server, text, sizeof(text), 0);
                if (n < 0) {
                    close(server);
                    resetConnection(gateway);
                    return;
                }
                if (n == 0) {
                    shutdown(gateway, SHUT_WR);
                    while (recv(gateway, text, sizeof(text), 0) > 0) {}
                    break;
                }
                sendAll(gateway, {text, static_cast<std::size_t>(n)});
                activeAt = steadyMs();
            }
            if (server >= 0 && steadyMs() - activeAt >= idleUntilDropMs) {
                close(std::exchange(server, -1));
                ++dropped;
            }
        }
        close(gateway);
        if (server >= 0)
            close(server);
    }

    std::string m_ip;
    int m_port;
    int m_serverPort;
    int m_listener = -1;
};

} // namespace

int main(int count, char **arguments)
{
    if (count > 5 && std::string(arguments[1]) == "server")
        return runServer(arguments);
    Deployment it(arguments);
    const std::string ip = "127.0.0.1";
    it.store.put("op", "config", configuration(4, Json::array({route("read", "safe", "app", 6000, 2)})));
    std::vector<std::unique_ptr<Way>> ways;
    std::vector<pid_t> pids(servers);
    std::vector<int> ports, ownPorts;
    const auto startServer = [&](std::size_t n) {
        const std::string id = "i-" + std::to_string(n);
        pids[n] = it.processes.start({arguments[0], "server", ip, std::to_string(ownPorts[n]), id, it.folder + "/" + id + ".runs"},
                                     it.folder + "/" + id + ".log");
        sleepMs(50);
        it.store.put("servers", id, serverEntry("app", ip + ":" + std::to_string(ports[n]), slots, unixMs()));
    };
    for (std::size_t n = 0; n < servers; ++n) {
        ports.push_back(freePort(ip));
        ownPorts.push_back(freePort(ip));
        ways.push_back(std::make_unique<Way>(ip, ports[n], ownPorts[n]));
        startServer(n);
    }
    sleepMs(300);
    for (int n = 1; n <= 2; ++n)
        it.startGateway(n, n == 1 ? "z1" : "z2");
    it.awaitGateways();

    std::atomic<int> sent = 0, whole = 0, failed = 0, mixed = 0;
    std::atomic<bool> isOver = false;
    const auto ask = [&](const std::string &kind) {
        const int n = ++sent;
        const std::string path = "/read/" + kind + "-" + std::to_string(n);
        const Gateway &gateway = it.gateways[static_cast<std::size_t>(n) % it.gateways.size()];
        const Answer answer = call(ip, gateway.callers,
                                   requestText("GET", path, "a-" + std::to_string(n),
                                               "Deadline-Ms: 5000\r\nAuthorization: Bearer key-1\r\n"),
                                   5000);
        const bool isSuccess = answer.status / 100 == 2 && answer.isWhole;
        const bool isRight = answer.message.body == wholeBody(path);
        it.record.line("request " + path + " answered " + std::to_string(answer.status) + " stamp '"
                       + answer.message.field("Server-Stamp") + "' bytes " + std::to_string(answer.message.body.size())
                       + (isSuccess && !isRight ? " NOT THE WHOLE BODY" : ""));
        if (isSuccess && !isRight)
            ++mixed;
        ++(isSuccess && isRight ? whole : failed);
    };
    const auto burst = [&] {
        std::vector<std::thread> callers;
        for (int i = 0; i < 140; ++i)
            callers.emplace_back([&] { ask("short"); });
        for (std::thread &caller : callers)
            caller.join();
    };
    // The number of long answers that server n is writing.
    const auto openAt = [&](int n) {
        int open = 0;
        for (const std::string &line : it.linesOf("i-" + std::to_string(n) + ".runs"))
            open += line.starts_with("begin /read/long") ? 1 : line.starts_with("end /read/long") ? -1 : 0;
        return open;
    };
    // The usual traffic: each caller sends one request after the other; one answer in 12 has no length.
    std::vector<std::thread> callers;
    for (int i = 0; i < 4; ++i) {
        callers.emplace_back([&, i] {
            for (int n = 0; !isOver; ++n)
                ask((n + 3 * i) % 12 == 0 ? "long" : "short");
        });
    }
    std::vector<int> lost(servers, 0);
    for (int round = 0; round < rounds; ++round) {
        // Many users come at once, which opens several connections to each server.
        burst();
        sleepMs(2000);
        // The crash: one server of seven, while it writes a long answer.
        int crashed = -1;
        const std::int64_t until = steadyMs() + 5000;
        while (crashed < 0 && steadyMs() < until) {
            for (int n = 0; n < servers && crashed < 0; ++n) {
                if (openAt(n) > lost[static_cast<std::size_t>(n)])
                    crashed = n;
            }
            sleepMs(5);
        }
        if (crashed < 0)
            it.finish(NotRun);
        sleepMs(100);
        const auto n = static_cast<std::size_t>(crashed);
        if (it.hasTrouble) {
            ways[n]->stopListening();
            it.processes.end(pids[n]);
            lost[n] = openAt(crashed);
            it.record.say("server i-" + std::to_string(crashed) + " was killed; it was writing " + std::to_string(lost[n])
                          + " long answers, and had dropped " + std::to_string(ways[n]->dropped) + " idle connections that are open at the gateways");
        }
        sleepMs(4500);
        if (it.hasTrouble) {
            startServer(n);
            ways[n]->startListening();
        }
        sleepMs(1000);
    }
    isOver = true;
    for (std::thread &caller : callers)
        caller.join();
    int runs = 0;
    for (int n = 0; n < servers; ++n)
        for (const std::string &line : it.linesOf("i-" + std::to_string(n) + ".runs")) {
            it.record.line("run at i-" + std::to_string(n) + ": " + line);
            runs += line.starts_with("begin") ? 1 : 0;
        }
    it.record.say(std::to_string(sent) + " requests, " + std::to_string(whole) + " answered in whole, " + std::to_string(failed)
                  + " failed, " + std::to_string(runs) + " runs, " + std::to_string(mixed) + " successes without the server's whole body");
    if (whole == 0)
        it.finish(NotRun);
    it.finish(mixed > 0 ? Broken : Held);
}
