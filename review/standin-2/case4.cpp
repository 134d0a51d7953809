// Case 4: some servers send part of a second answer where the next answer is expected. It runs into
// the head of that one. A request that has run then counts as not run, and runs again elsewhere; and a
// failure of the server reaches the caller as a success.
#include "common.h"

#include <random>
#include <semaphore>

using namespace Case;

namespace {

constexpr int servers = 7;
/// Three of seven servers are in trouble.
constexpr int spoilers = 3;
constexpr int spoiledOfThousand = 30;
/// The trouble lasts so long, and comes again after as long a pause.
constexpr std::int64_t windowMs = 5000;
constexpr int failuresOfThousand = 140;
constexpr int slots = 6;
/// A server queues a few more requests than it runs, and turns others away.
constexpr int queued = 2;
constexpr int callersCount = 48;
constexpr int workMs = 30;
constexpr std::int64_t lengthMs = 80'000;

// server IP PORT ID LOG SPOILS
int runServer(char **arguments)
{
    const std::string id = arguments[4];
    const int log = open(arguments[5], O_WRONLY | O_CREAT | O_APPEND, 0644);
    const bool spoils = std::string(arguments[6]) == "1";
    const int listener = listenOn(arguments[2], std::atoi(arguments[3]));
    if (listener < 0)
        return NotRun;
    std::atomic<int> held = 0;
    std::counting_semaphore<slots> running(slots);
    serve(listener, [&](int fd, const Message &request) {
        // Each connection has its own thread.
        thread_local std::mt19937 random(std::random_device{}());
        thread_local std::string extra;
        const auto draw = [&](unsigned n) { return static_cast<int>(random() % n); };
        const std::string attempt = request.field("Attempt-Id");
        std::string status = "421 Misdirected Request";
        std::string fields = "Not-Executed: 1\r\n";
        std::string body;
        if (request.field("Expect-Instance") == id && ++held > slots + queued) {
            --held;
            status = "503 Service Unavailable";
        } else if (request.field("Expect-Instance") == id) {
            running.acquire();
            sleepMs(workMs);
            running.release();
            --held;
            const bool fails = draw(1000) < failuresOfThousand;
            status = fails ? "500 Internal Server Error" : "200 OK";
            fields = "Server-Stamp: stamp-of-" + id + "\r\n";
            body = (fails ? "no record for " : "record of ") + attempt;
            appendLine(log, "run " + attempt + " " + status.substr(0, 3));
        }
        const std::string answer = "HTTP/1.1 " + status + "\r\n" + fields + "Date: Mon, 07 Dec 2026 05:00:00 GMT\r\nServer: exchange-app/4.2\r\n"
                                   + "Content-Type: text/plain; charset=utf-8\r\nAttempt-Id: " + attempt + "\r\n"
                                   + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        if (!extra.empty())
            appendLine(log, "extra before " + attempt);
        const bool isSent = sendAll(fd, std::exchange(extra, {}) + answer);
        // A second answer that is broken off somewhere, and comes where the next one is expected.
        if (spoils && steadyMs() / windowMs % 2 == 0 && draw(1000) < spoiledOfThousand)
            extra = answer.substr(0, 1 + static_cast<std::size_t>(draw(static_cast<unsigned>(answer.size()))));
        return isSent;
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
    it.store.put("op", "config", configuration(4, Json::array({route("read", "safe", "app", 6000, 2), route("once", "unsafe", "app", 6000, 2)})));
    for (int n = 0; n < servers; ++n) {
        const int port = freePort(ip);
        const std::string id = "i-" + std::to_string(n);
        it.processes.start({arguments[0], "server", ip, std::to_string(port), id, it.folder + "/" + id + ".runs",
                            it.hasTrouble && n < spoilers ? "1" : "0"},
                           it.folder + "/" + id + ".log");
        it.store.put("servers", id, serverEntry("app", ip + ":" + std::to_string(port), slots, unixMs()));
    }
    sleepMs(300);
    for (int n = 1; n <= 2; ++n)
        it.startGateway(n, n == 1 ? "z1" : "z2");
    it.awaitGateways();
    std::atomic<int> sent = 0, good = 0, mixed = 0, others = 0;
    const std::int64_t until = steadyMs() + lengthMs;
    std::vector<std::thread> callers;
    for (int i = 0; i < callersCount; ++i) {
        callers.emplace_back([&, i] {
            while (steadyMs() < until) {
                const int n = ++sent;
                const bool isOnce = i % 3 != 0;
                const std::string id = (isOnce ? "once-" : "read-") + std::to_string(n);
                const Gateway &gateway = it.gateways[static_cast<std::size_t>(n) % it.gateways.size()];
                const Answer answer = call(ip, gateway.callers,
                                           requestText(isOnce ? "POST" : "GET", (isOnce ? "/once/" : "/read/") + id, id,
                                                       "Deadline-Ms: 1500\r\nAuthorization: Bearer key-1\r\n", "car"), 1500);
                const bool isSuccess = answer.status / 100 == 2 && answer.isWhole;
                const bool isRight = isSuccess && answer.message.body == "record of " + id;
                it.record.line("request " + id + " answered " + std::to_string(answer.status) + " stamp '"
                               + answer.message.field("Server-Stamp") + "' body '" + answer.message.body + "'"
                               + (isSuccess && !isRight ? " MIXED" : ""));
                ++(isRight ? good : isSuccess ? mixed : others);
                // Clients honour Retry-After.
                if (answer.status == 503)
                    sleepMs(static_cast<std::int64_t>(1000 * std::max(0.2, std::atof(answer.message.field("Retry-After").c_str()))));
            }
        });
    }
    for (std::thread &caller : callers)
        caller.join();
    int runs = 0, extras = 0, twice = 0;
    std::map<std::string, int> runsOf;
    for (int n = 0; n < servers; ++n) {
        for (const std::string &line : it.linesOf("i-" + std::to_string(n) + ".runs")) {
            runs += line.starts_with("run") ? 1 : 0;
            if (line.starts_with("run once-")) {
                const std::string id = line.substr(4, line.find(' ', 4) - 4);
                if (++runsOf[id] == 2) {
                    ++twice;
                    it.record.line("request " + id + " may run once, and ran twice");
                }
            }
            extras += line.starts_with("extra") ? 1 : 0;
            if (line.starts_with("extra"))
                it.record.line("i-" + std::to_string(n) + ": part of a second answer came before the answer to " + line.substr(13));
        }
    }
    it.record.say(std::to_string(sent) + " requests, " + std::to_string(runs) + " runs, " + std::to_string(extras) + " broken second answers; "
                  + std::to_string(good) + " right successes, " + std::to_string(others) + " failures, " + std::to_string(mixed)
                  + " successes where the server had answered with a failure, " + std::to_string(twice)
                  + " requests ran twice that may run once");
    if (good == 0)
        it.finish(NotRun);
    it.finish(mixed + twice > 0 ? Broken : Held);
}
