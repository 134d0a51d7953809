// Case 7: a client that isn't controlled sends request after request on its connections and reads the
// answers slowly. The gateway keeps them all, and exceeds the memory of its machine.
#include "common.h"

using namespace Case;

namespace {

constexpr int servers = 7;
constexpr int slots = 6;
constexpr int workMs = 15;
constexpr int bodyBytes = 4800;
constexpr int greedyConnections = 30;
constexpr int paceMs = 18;
constexpr long memoryBytes = 260'000'000;
constexpr std::int64_t longestMs = 95'000;

// server IP PORT ID LOG
int runServer(char **arguments)
{
    const std::string id = arguments[4];
    const int log = open(arguments[5], O_WRONLY | O_CREAT | O_APPEND, 0644);
    const int listener = listenOn(arguments[2], std::atoi(arguments[3]));
    if (listener < 0)
        return NotRun;
    const std::string body(bodyBytes, 'x');
    serve(listener, [&](int fd, const Message &request) {
        const std::string head = "Attempt-Id: " + request.field("Attempt-Id") + "\r\n";
        if (request.field("Expect-Instance") != id)
            return sendAll(fd, "HTTP/1.1 421 Misdirected\r\nNot-Executed: 1\r\nContent-Length: 0\r\n" + head + "\r\n");
        sleepMs(workMs);
        appendLine(log, "run " + request.field("Attempt-Id"));
        return sendAll(fd, "HTTP/1.1 200 OK\r\nServer-Stamp: stamp-of-" + id + "\r\n" + head
                               + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    });
    return Held;
}

/// What the platform sees of a process, in bytes.
long memoryOf(pid_t pid)
{
    std::ifstream in("/proc/" + std::to_string(pid) + "/status");
    for (std::string line; std::getline(in, line);) {
        if (line.starts_with("VmRSS:"))
            return std::atol(line.c_str() + 6) * 1024;
    }
    return 0;
}

} // namespace

int main(int count, char **arguments)
{
    if (count > 5 && std::string(arguments[1]) == "server")
        return runServer(arguments);
    Deployment it(arguments);
    const std::string ip = "127.0.0.1";
    it.store.put("op", "config", configuration(4, Json::array({route("read", "safe", "app", 6000, 2)})));
    for (int n = 0; n < servers; ++n) {
        const int port = freePort(ip);
        const std::string id = "i-" + std::to_string(n);
        it.processes.start({arguments[0], "server", ip, std::to_string(port), id, it.folder + "/" + id + ".runs"},
                           it.folder + "/" + id + ".log");
        it.store.put("servers", id, serverEntry("app", ip + ":" + std::to_string(port), slots, unixMs()));
    }
    sleepMs(300);
    for (int n = 1; n <= 2; ++n)
        it.startGateway(n, n == 1 ? "z1" : "z2");
    it.awaitGateways();
    const Gateway &first = it.gateways.front();

    std::atomic<bool> isOver = false;
    std::atomic<int> whole = 0, failed = 0, sent = 0, greedy = 0;
    std::vector<std::thread> threads;
    for (int i = 0; i < 4; ++i) {
        threads.emplace_back([&] {
            while (!isOver) {
                const int n = ++sent;
                const Gateway &gateway = it.gateways[static_cast<std::size_t>(n) % it.gateways.size()];
                const Answer answer = call(ip, gateway.callers,
                                           requestText("GET", "/read/" + std::to_string(n), "o-" + std::to_string(n),
                                                       "Deadline-Ms: 1500\r\nAuthorization: Bearer key-1\r\n"), 1500);
                it.record.line("request o-" + std::to_string(n) + " answered " + std::to_string(answer.status));
                ++(answer.status == 200 && answer.isWhole ? whole : failed);
                sleepMs(100);
            }
        });
    }
    sleepMs(2000);
    const long before = memoryOf(first.pid);
    for (int i = 0; i < greedyConnections; ++i) {
        threads.emplace_back([&] {
            int fd = connectTo(ip, first.callers);
            const int small = 4096;
            setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &small, sizeof(small));
            Reader reader(fd);
            Message answer;
            while (!isOver && fd >= 0) {
                const int n = ++greedy;
                const std::string text = requestText("GET", "/read/g" + std::to_string(n), "g-" + std::to_string(n),
                                                     "Deadline-Ms: 8000\r\nAuthorization: Bearer key-2\r\n");
                std::string_view left = text;
                while (!isOver && !left.empty()) {
                    const ssize_t sentBytes = send(fd, left.data(), left.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
                    if (sentBytes > 0)
                        left.remove_prefix(static_cast<std::size_t>(sentBytes));
                    else if (errno == EAGAIN)
                        sleepMs(5);
                    else
                        break;
                }
                if (!left.empty())
                    break;
                sleepMs(paceMs);
                // With it, the client reads slowly, some 28 KB a second.
                char some[512];
                if (it.hasTrouble)
                    recv(fd, some, sizeof(some), MSG_DONTWAIT);
                // Without the disruption, the client reads each answer before it sends the next request.
                if (!it.hasTrouble
                    && !(reader.head(answer, steadyMs() + 8000) && reader.body(answer, steadyMs() + 8000)))
                    break;
            }
            close(fd);
        });
    }
    const std::int64_t begin = steadyMs();
    long most = before;
    bool isKilled = false;
    std::int64_t saidAt = 0;
    while (steadyMs() - begin < longestMs && !isKilled) {
        const long now = memoryOf(first.pid);
        most = std::max(most, now);
        if (steadyMs() - saidAt >= 5000) {
            saidAt = steadyMs();
            it.record.line("gateway-1 holds " + std::to_string(now / 1'000'000) + " MB; " + std::to_string(greedy)
                           + " requests of the greedy client sent");
        }
        // The platform kills a process that exceeds the memory of its machine.
        if (now > memoryBytes) {
            isKilled = true;
            it.processes.signal(first.pid, SIGKILL);
            it.record.say("gateway-1 exceeded 260 MB after " + std::to_string((steadyMs() - begin) / 1000) + " s and was killed");
        }
        sleepMs(50);
    }
    if (isKilled)
        sleepMs(3000);
    isOver = true;
    for (std::thread &thread : threads)
        thread.join();
    it.record.say("gateway-1 held " + std::to_string(before / 1'000'000) + " MB before and " + std::to_string(most / 1'000'000)
                  + " MB at most; ordinary requests: " + std::to_string(whole) + " answered in whole, " + std::to_string(failed) + " not");
    if (whole == 0 || before == 0)
        it.finish(NotRun);
    it.finish(isKilled ? Broken : Held);
}
