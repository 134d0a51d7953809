// Case 6: servers start again under their ids at another software version, while the store is down.
// Streams of the old version go on there.
#include "common.h"

#include <set>

using namespace Case;

namespace {

constexpr int servers = 8;
constexpr int slots = 16;
constexpr int events = 40;
constexpr int eventMs = 100;
constexpr int callersCount = 84;
constexpr std::int64_t outageMs = 4500;
constexpr std::int64_t downMs = 2000;

// server IP PORT ID LOG VERSION
int runServer(char **arguments)
{
    const std::string id = arguments[4];
    const int log = open(arguments[5], O_WRONLY | O_CREAT | O_APPEND, 0644);
    const std::string version = arguments[6];
    const int listener = listenOn(arguments[2], std::atoi(arguments[3]));
    if (listener < 0)
        return NotRun;
    std::atomic<int> running = 0;
    serve(listener, [&](int fd, const Message &request) {
        const std::string attempt = request.field("Attempt-Id");
        const std::string head = "Attempt-Id: " + attempt + "\r\n";
        const bool isOther = request.field("Expect-Instance") != id;
        if (isOther || ++running > slots) {
            running -= isOther ? 0 : 1;
            return sendAll(fd, std::string(isOther ? "HTTP/1.1 421 Misdirected" : "HTTP/1.1 503 Full")
                                   + "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n" + head + "\r\n");
        }
        appendLine(log, "run " + attempt + " at " + version + " from " + request.field("Last-Event-Id"));
        bool isGood = sendAll(fd, "HTTP/1.1 200 OK\r\nServer-Stamp: stamp-of-" + id
                                      + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n" + head + "\r\n");
        for (int n = 1 + std::atoi(request.field("Last-Event-Id").c_str()); n <= events && isGood; ++n) {
            sleepMs(eventMs);
            const std::string event = "id: " + std::to_string(n) + "\ndata: " + version + "\n\n";
            char size[16];
            std::snprintf(size, sizeof(size), "%zx\r\n", event.size());
            isGood = !isClosedByPeer(fd) && sendAll(fd, size + event + "\r\n");
        }
        --running;
        return isGood && sendAll(fd, "0\r\n\r\n");
    });
    return Held;
}

} // namespace

int main(int count, char **arguments)
{
    if (count > 6 && std::string(arguments[1]) == "server")
        return runServer(arguments);
    Deployment it(arguments);
    const std::string ip = "127.0.0.1";
    it.store.put("op", "config", configuration(4, Json::array({route("stream", "streaming", "pool", 12000, 2, {{"streamResume", true}})})));
    std::vector<int> ports;
    std::vector<pid_t> pids(servers);
    const auto idOf = [](std::size_t n) { return "i-" + std::to_string(n); };
    const auto start = [&](std::size_t n, const std::string &version) {
        pids[n] = it.processes.start({arguments[0], "server", ip, std::to_string(ports[n]), idOf(n), it.folder + "/" + idOf(n) + ".runs", version},
                                     it.folder + "/" + idOf(n) + ".log");
        it.record.line("server " + idOf(n) + " starts at version " + version);
        return unixMs();
    };
    const auto enter = [&](std::size_t n, const std::string &version, std::int64_t born) {
        it.store.put("servers", idOf(n), serverEntry("pool", ip + ":" + std::to_string(ports[n]), slots, born, version));
    };
    for (std::size_t n = 0; n < servers; ++n) {
        ports.push_back(freePort(ip));
        enter(n, "v1", start(n, "v1"));
    }
    sleepMs(300);
    for (int n = 1; n <= 2; ++n)
        it.startGateway(n, n == 1 ? "z1" : "z2");
    it.awaitGateways();

    std::atomic<bool> isOver = false;
    std::atomic<int> sent = 0, whole = 0, cut = 0, refused = 0, mixed = 0;
    std::vector<std::thread> callers;
    for (int i = 0; i < callersCount; ++i) {
        callers.emplace_back([&, i] {
            sleepMs(i * 45);
            while (!isOver) {
                const int n = ++sent;
                const std::string id = "s-" + std::to_string(n);
                const Gateway &gateway = it.gateways[static_cast<std::size_t>(n) % it.gateways.size()];
                char parts[32];
                std::snprintf(parts, sizeof(parts), "a%05x:500,b%05x:200", n, n);
                const Answer answer = call(ip, gateway.callers,
                                           requestText("POST", "/stream/" + id, id,
                                                       std::string("Deadline-Ms: 12000\r\nModel: m\r\nToken-Count: 700,50\r\nPrefix-Hash: ") + parts
                                                           + "\r\nAuthorization: Bearer key-1\r\n", "question " + id), 12000);
                std::set<std::string> versions;
                std::istringstream lines(answer.message.body);
                for (std::string line; std::getline(lines, line);) {
                    if (line.starts_with("data: "))
                        versions.insert(line.substr(6));
                }
                std::string all;
                for (const std::string &version : versions)
                    all += " " + version;
                it.record.line("stream " + id + " answered " + std::to_string(answer.status) + (answer.isWhole ? " whole" : " cut off") + ", versions:" + all);
                ++(answer.status != 200 ? refused : answer.isWhole ? whole : cut);
                if (versions.size() > 1)
                    ++mixed;
                // Clients honour Retry-After.
                if (answer.status != 200)
                    sleepMs(static_cast<std::int64_t>(1000 * std::max(0.2, std::atof(answer.message.field("Retry-After").c_str()))));
            }
        });
    }
    sleepMs(7000);
    if (it.hasTrouble) {
        // Two of eight servers crash, and are back under their ids at another version.
        it.store.setDown(true);
        const std::int64_t downAt = steadyMs();
        sleepMs(200);
        for (const std::size_t n : {0, 1})
            it.processes.end(pids[n]);
        it.record.say("the store is down; i-0 and i-1 were killed");
        sleepMs(downMs);
        const std::int64_t born = start(0, "v2");
        start(1, "v2");
        sleepMs(600);
        // Two others crash.
        for (const std::size_t n : {2, 3})
            it.processes.end(pids[n]);
        it.record.say("i-2 and i-3 were killed");
        sleepMs(downAt + outageMs - steadyMs());
        it.store.setDown(false);
        it.record.say("the store is back");
        enter(0, "v2", born);
        enter(1, "v2", born);
        sleepMs(300);
        for (const std::size_t n : {2, 3})
            enter(n, "v1", start(n, "v1"));
    } else {
        sleepMs(outageMs);
    }
    sleepMs(5000);
    isOver = true;
    for (std::thread &caller : callers)
        caller.join();
    for (std::size_t n = 0; n < servers; ++n) {
        for (const std::string &line : it.linesOf(idOf(n) + ".runs"))
            it.record.line(idOf(n) + ": " + line);
    }
    it.record.say(std::to_string(sent) + " requests: " + std::to_string(whole) + " whole streams, " + std::to_string(cut) + " cut off, "
                  + std::to_string(refused) + " without a stream; " + std::to_string(mixed) + " streams hold events of two versions, two may");
    if (whole == 0)
        it.finish(NotRun);
    it.finish(mixed > 2 ? Broken : Held);
}
