// One of three model servers is in trouble: it sends bytes without end in the body of its answers.
// The script is also the platform, which kills a process that exceeds its memory and starts it
// again. See claim.txt of the case.
// usage: endlessbody RECORD
#include "standin.h"

#include <array>

using namespace Review;

namespace {

constexpr int gatewayCount = 2;
constexpr int modelServers = 3;
/// memoryMb of the machines.
constexpr long memoryKb = 260 * 1024;
/// What the server in trouble sends to one gateway in a second, over all connections. A machine's
/// link takes 125 MB a second (linkMbps 1,000).
constexpr long bytesPerS = 75'000'000;
constexpr long lengthMs = 30000;
constexpr long troubleFromMs = 8000;
constexpr long restartMs = 500;
constexpr int streamClients = 60;
constexpr int holdClients = 16;
constexpr int holdWorkMs = 150;

std::atomic<bool> isOver{false};
long beganAt = 0;

bool isTroubleTime()
{
    return hasTrouble() && beganAt > 0 && nowMs() - beganAt >= troubleFromMs;
}

std::mutex runsMutex;
/// The attempts that sound servers began to run.
std::set<std::string> runs;

void recordRun(const std::string &attempt, const std::string &server)
{
    const std::lock_guard lock(runsMutex);
    runs.insert(attempt);
    RECORD("%s runs %s", server.c_str(), attempt.c_str());
}

bool hasRun(const std::string &attempt)
{
    const std::lock_guard lock(runsMutex);
    return runs.count(attempt) > 0;
}

/// The connections from each gateway over which bytes come without end; they share its rate.
std::array<std::atomic<int>, gatewayCount> endlessConnections{};
std::atomic<long> endlessBytes{0};

/// Attempts are numbered in turn for the gateways, so that a server's stand-in knows the link.
std::mutex linksMutex;
std::map<std::string, std::size_t> links;

std::size_t linkOf(const std::string &attempt)
{
    const std::lock_guard lock(linksMutex);
    return links[attempt];
}

class Server
{
public:
    Server(std::string id, bool isModel, bool isFaulty)
        : m_id(std::move(id))
        , m_isModel(isModel)
        , m_isFaulty(isFaulty)
        , m_listener([this](int fd) { serve(fd); })
    {}
    std::string address() const { return m_listener.address(); }

private:
    void serve(int fd)
    {
        Reader reader(fd);
        Message request;
        while (reader.read(request) == Reader::End::Whole) {
            if (!answer(request, fd))
                return;
        }
    }
    bool answer(const Message &request, int fd)
    {
        const std::string attempt = request.field("Attempt-Id");
        std::map<std::string, std::string> fields{{"Attempt-Id", attempt}};
        if (request.field("Expect-Instance") != m_id) {
            fields["Instance-Id"] = m_id;
            return sendAll(fd, answerText(421, fields, ""));
        }
        if (m_isFaulty && isTroubleTime())
            return sendWithoutEnd(attempt, fd);
        recordRun(attempt, m_id);
        const std::string head = "HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt
                                 + "\r\nServer-Stamp: stamp." + m_id + "." + attempt + "\r\n";
        if (!m_isModel) {
            pause(holdWorkMs);
            const std::string body = "done " + attempt;
            return sendAll(fd, head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n"
                                   + body);
        }
        pause(150);
        if (!sendAll(fd, head
                             + "Content-Type: text/event-stream\r\n"
                               "Transfer-Encoding: chunked\r\n\r\n"))
            return false;
        for (int i = 1; i <= 24; ++i) {
            const std::string event = "id: " + std::to_string(i) + "\ndata: " + attempt + "\n\n";
            char size[16];
            std::snprintf(size, sizeof(size), "%zx\r\n", event.size());
            if (isClosed(fd) || !sendAll(fd, size + event + "\r\n"))
                return false;
            pause(40);
        }
        return sendAll(fd, "0\r\n\r\n");
    }
    /// Sends bytes that are no answer in a body without end, until the caller closes.
    bool sendWithoutEnd(const std::string &attempt, int fd)
    {
        RECORD("%s sends bytes without end to %s", m_id.c_str(), attempt.c_str());
        std::atomic<int> &connections = endlessConnections[linkOf(attempt)];
        ++connections;
        sendAll(fd, "HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt + "\r\nServer-Stamp: stamp." + m_id
                        + "." + attempt + "\r\n\r\n");
        const std::string block(16384, 'x');
        long sent = 0;
        auto next = Clock::now();
        while (!isOver && !isClosed(fd) && sendAll(fd, block)) {
            sent += static_cast<long>(block.size());
            endlessBytes += static_cast<long>(block.size());
            const double rate = static_cast<double>(bytesPerS) / std::max(1, connections.load());
            next += std::chrono::duration_cast<Clock::duration>(
                std::chrono::duration<double>(static_cast<double>(block.size()) / rate));
            std::this_thread::sleep_until(next);
        }
        --connections;
        RECORD("%s: the caller closed %s after %ld bytes", m_id.c_str(), attempt.c_str(), sent);
        return false;
    }

    std::string m_id;
    bool m_isModel;
    bool m_isFaulty;
    Listener m_listener;
};

std::atomic<int> served{0};
std::atomic<int> failed{0};
/// Requests from kept connections that a sound server ran and whose connection closed unanswered.
std::atomic<int> lost{0};

void runClient(std::size_t gateway, int port, bool isStream, int number)
{
    int fd = -1;
    std::unique_ptr<Reader> reader;
    bool isKept = false;
    pause(number * 23 % 900);
    while (!isOver) {
        if (fd < 0) {
            fd = connectTo(loopback(), port);
            if (fd < 0) {
                pause(100);
                continue;
            }
            reader = std::make_unique<Reader>(fd);
            isKept = false;
        }
        const std::string attempt = newAttemptId();
        {
            const std::lock_guard lock(linksMutex);
            links[attempt] = gateway;
        }
        const int deadlineMs = isStream ? 5000 : 1500;
        const std::string text =
            isStream ? requestText("POST", "/reply/2f", attempt, deadlineMs,
                                   promptFields(attempt, 80), "prompt")
                     : requestText("POST", "/hold/2f", attempt, deadlineMs, {}, "deposit");
        Message answer;
        Reader::End end = Reader::End::Broken;
        if (sendAll(fd, text))
            end = reader->read(answer, Clock::now() + milliseconds(deadlineMs + 1000), true);
        const bool isAnswered = end == Reader::End::Whole;
        const bool isClosedEmpty = !isAnswered && answer.first.empty()
                                   && (end == Reader::End::Closed || end == Reader::End::Broken);
        if (isAnswered && answer.status() == 200)
            ++served;
        else
            ++failed;
        if (isClosedEmpty && isKept && hasRun(attempt)) {
            ++lost;
            RECORD("LOST: %s, sent on a kept connection and run by a sound server, got no answer "
                   "before its connection closed",
                   attempt.c_str());
        } else {
            RECORD("client: %s %s %d", attempt.c_str(), isAnswered ? "answered" : "not answered",
                   answer.status());
        }
        isKept = true;
        if (!isAnswered || lower(answer.field("Connection")) == "close") {
            close(fd);
            fd = -1;
        }
        pause(isStream ? 100 : 40);
    }
    if (fd >= 0)
        close(fd);
}

/// Ends a gateway that exceeds its memory and starts it again, as the platform does.
class Platform
{
public:
    explicit Platform(std::vector<std::unique_ptr<GatewayProcess>> &processes)
        : m_processes(&processes)
        , m_startAt(processes.size(), 0)
    {}
    void run()
    {
        while (!isOver) {
            for (std::size_t i = 0; i < m_processes->size(); ++i)
                check(i);
            pause(10);
        }
    }
    long highestKb = 0;
    int kills = 0;

private:
    void check(std::size_t i)
    {
        GatewayProcess &process = *(*m_processes)[i];
        if (m_startAt[i] > 0) {
            if (nowMs() < m_startAt[i])
                return;
            m_startAt[i] = 0;
            process.start();
            return;
        }
        if (process.hasEnded()) {
            m_startAt[i] = nowMs() + restartMs;
            return;
        }
        const long kb = process.residentKb();
        highestKb = std::max(highestKb, kb);
        if (kb <= memoryKb)
            return;
        ++kills;
        RECORD(
            "platform: gateway %zu uses %ld kB, over memoryMb; killed; it had used %.2f s of "
            "processor time in %.2f s; the server in trouble has sent %ld bytes to all, and sends "
            "over %d connections to this one",
            i + 1, kb, process.processorSeconds(),
            static_cast<double>(nowMs() - process.startedAtMs) / 1000, endlessBytes.load(),
            endlessConnections[i].load());
        process.signalProcess(SIGKILL);
    }

    std::vector<std::unique_ptr<GatewayProcess>> *m_processes;
    std::vector<long> m_startAt;
};

} // namespace

int main(int argc, char **argv)
{
    if (argc != 2)
        return 2;
    stopOnSignals();
    Record::get().open(argv[1]);
    Store store;
    std::vector<std::unique_ptr<Server>> servers;
    for (int i = 0; i < modelServers; ++i) {
        const std::string id = "i-" + std::to_string(i + 1);
        servers.push_back(std::make_unique<Server>(id, true, i == 0));
        registerServer(store, id, "model-pool", "abbotsford", servers.back()->address(), 64);
    }
    servers.push_back(std::make_unique<Server>("i-4", false, false));
    registerServer(store, "i-4", "exchange-app", "abbotsford", servers.back()->address(), 16);
    // As buyer-reply of the site: a stream that may not be resumed.
    Json reply = route("reply", "streaming", "model-pool", 5000, 1200);
    reply["streamResume"] = false;
    reply["maxAttempts"] = 1;
    store.put(
        "op", "config",
        configuration(Json::array({reply, route("hold", "unsafe", "exchange-app", 1500, 300)}),
                      Json::array({{{"name", "model-pool"},
                                    {"maxConnections", 360},
                                    {"engine", {{"slots", 64}, {"kvCapacity", 542627}}}},
                                   {{"name", "exchange-app"}, {"maxConnections", 96}}})));
    std::vector<std::unique_ptr<GatewayProcess>> processes;
    for (int i = 0; i < gatewayCount; ++i) {
        processes.push_back(std::make_unique<GatewayProcess>(
            scratchFolder(), "gateway-" + std::to_string(i + 1), "abbotsford", store.address()));
        startGateway(*processes.back());
    }
    beganAt = nowMs();
    Platform platform(processes);
    std::thread watch([&] { platform.run(); });
    std::vector<std::thread> clients;
    for (int i = 0; i < streamClients + holdClients; ++i) {
        const std::size_t gateway = static_cast<std::size_t>(i) % gatewayCount;
        clients.emplace_back(runClient, gateway, processes[gateway]->callerPort, i < streamClients,
                             i);
    }
    pause(lengthMs);
    isOver = true;
    watch.join();
    for (std::thread &it : clients)
        it.join();
    char text[300];
    std::snprintf(text, sizeof(text),
                  "%d served, %d failed; highest memory of a gateway %ld kB of %ld kB; killed for "
                  "its memory: %d; lost requests of kept connections that a sound server ran: %d",
                  served.load(), failed.load(), platform.highestKb, memoryKb, platform.kills,
                  lost.load());
    RECORD("%s", text);
    std::printf("%s\n", text);
    if (served < 100)
        cannotRun("too little was served");
    finish(lost > 3 ? 1 : 0);
}
