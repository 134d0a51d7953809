// A trial of the review, no case: requests with a prompt part that crashes servers come several at
// a time, every few seconds. See review/REPORT.md, issue 50. usage: crashingparts RECORD
#include "standin.h"

using namespace Review;

namespace {

constexpr int gatewayCount = 2;
constexpr int serverCount = 18;
constexpr int slots = 64;
constexpr long stableWindowMs = 3000;
/// Requests with the part that come at the same moment, and the pause between two such moments.
constexpr int atOnce = 8;
constexpr long betweenMs = 4500;
constexpr int moments = 5;
constexpr long downMs = 2500;
const std::string part = "bad0";

std::mutex timesMutex;
std::vector<long> crashes;
/// When requests with the part reached servers.
std::vector<long> arrivals;

class Server
{
public:
    Server(std::string id, Store &store)
        : m_id(std::move(id))
        , m_store(&store)
    {
        const auto [fd, port] = listenAnywhere(loopback());
        m_port = port;
        start(fd);
    }
    void beat()
    {
        if (!m_isUp)
            return;
        m_store->put("servers", m_id,
                     {{"service", "model-pool"},
                      {"address", loopback() + ":" + std::to_string(m_port)},
                      {"zone", "abbotsford"},
                      {"version", "v1"},
                      {"slots", slots},
                      {"state", "ready"},
                      {"sequence", ++m_sequence},
                      {"coldRemainingMs", 0},
                      {"born", m_born.load()}});
    }

private:
    void start(int fd)
    {
        m_listening = fd;
        m_born = 1764700000000 + nowMs();
        m_isUp = true;
        beat();
        std::thread([this, fd] {
            for (;;) {
                const int connection = accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
                if (connection < 0)
                    return;
                const std::lock_guard lock(m_mutex);
                m_connections.insert(connection);
                std::thread([this, connection] {
                    serve(connection);
                    const std::lock_guard ended(m_mutex);
                    m_connections.erase(connection);
                    close(connection);
                }).detach();
            }
        }).detach();
    }
    /// Ends all connections as the process ends, and starts again under the same id.
    void crash()
    {
        if (!m_isUp.exchange(false))
            return;
        {
            const std::lock_guard lock(timesMutex);
            crashes.push_back(nowMs());
            RECORD("%s crashes, the %zu. end", m_id.c_str(), crashes.size());
        }
        {
            const std::lock_guard lock(m_mutex);
            for (const int it : m_connections)
                shutdown(it, SHUT_RDWR);
        }
        shutdown(m_listening, SHUT_RDWR);
        close(m_listening);
        std::thread([this] {
            pause(downMs);
            const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
            const int on = 1;
            setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
            const sockaddr_in address = socketAddress(loopback(), m_port);
            if (bind(fd, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0
                || listen(fd, 512) != 0)
                cannotRun("a server did not start again");
            start(fd);
        }).detach();
    }
    void serve(int fd)
    {
        Reader reader(fd);
        Message request;
        while (m_isUp && reader.read(request) == Reader::End::Whole) {
            if (!answer(request, fd))
                return;
        }
    }
    bool answer(const Message &request, int fd)
    {
        const std::string attempt = request.field("Attempt-Id");
        if (request.field("Expect-Instance") != m_id)
            return sendAll(fd, answerText(421, {{"Attempt-Id", attempt}}, ""));
        const bool hasPart = request.field("Prefix-Hash").find(part + ":") != std::string::npos;
        if (hasPart) {
            const std::lock_guard lock(timesMutex);
            arrivals.push_back(nowMs());
            RECORD("%s gets %s with the part", m_id.c_str(), attempt.c_str());
        }
        pause(150);
        if (!m_isUp
            || !sendAll(fd, "HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt + "\r\nServer-Stamp: stamp."
                                + m_id + "." + attempt
                                + "\r\nContent-Type: text/event-stream\r\n"
                                  "Transfer-Encoding: chunked\r\n\r\n"))
            return false;
        if (hasPart) {
            crash();
            return false;
        }
        for (int i = 1; i <= 10; ++i) {
            const std::string event = "id: " + std::to_string(i) + "\ndata: x\n\n";
            char size[16];
            std::snprintf(size, sizeof(size), "%zx\r\n", event.size());
            if (!m_isUp || !sendAll(fd, size + event + "\r\n"))
                return false;
            pause(60);
        }
        return sendAll(fd, "0\r\n\r\n");
    }

    std::string m_id;
    Store *m_store;
    int m_port = 0;
    int m_listening = -1;
    std::atomic<bool> m_isUp{false};
    std::atomic<long> m_born{0};
    std::atomic<int> m_sequence{0};
    std::mutex m_mutex;
    std::set<int> m_connections;
};

/// Sends one request whose prompt begins with \a parts; returns the status of its answer.
int sendRequest(int port, const std::string &parts)
{
    const int fd = connectTo(loopback(), port);
    if (fd < 0)
        return 0;
    const std::string attempt = newAttemptId();
    const std::string fields = "Model: m\r\nToken-Count: 900,40\r\nPrefix-Hash: " + parts + ",c"
                               + attempt.substr(attempt.size() - 7) + ":100\r\n";
    Message answer;
    Reader reader(fd);
    const bool isAnswered =
        sendAll(fd, requestText("POST", "/reply/2f", attempt, 5000, fields, "prompt " + attempt))
        && reader.read(answer, Clock::now() + milliseconds(6000), true) == Reader::End::Whole;
    close(fd);
    return isAnswered ? answer.status() : 0;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 2)
        return 2;
    stopOnSignals();
    Record::get().open(argv[1]);
    Store store;
    std::vector<std::unique_ptr<Server>> servers;
    for (int i = 0; i < serverCount; ++i)
        servers.push_back(std::make_unique<Server>("i-" + std::to_string(i + 1), store));
    std::thread([&] {
        for (;;) {
            pause(1200);
            for (const auto &it : servers)
                it->beat();
        }
    }).detach();
    // As buyer-reply of the site: a stream that may not be resumed.
    Json reply = route("reply", "streaming", "model-pool", 5000, 1200);
    reply["streamResume"] = false;
    reply["maxAttempts"] = 1;
    store.put(
        "op", "config",
        configuration(Json::array({reply}),
                      Json::array({{{"name", "model-pool"},
                                    {"maxConnections", 360},
                                    {"engine", {{"slots", slots}, {"kvCapacity", 542627}}}}})));
    std::vector<std::unique_ptr<GatewayProcess>> processes;
    for (int i = 0; i < gatewayCount; ++i) {
        processes.push_back(std::make_unique<GatewayProcess>(
            scratchFolder(), "gateway-" + std::to_string(i + 1), "abbotsford", store.address()));
        startGateway(*processes.back());
    }
    const auto portOf = [&](int i) { return processes[i % gatewayCount]->callerPort; };
    // Sound requests share their first part, which tells their caller, with the others.
    const auto callerPart = [](int i) { return "ca11e" + std::to_string(i % 4) + ":300,"; };
    std::atomic<bool> isOver{false};
    std::atomic<int> served{0};
    std::atomic<int> failed{0};
    std::vector<std::thread> sound;
    for (int i = 0; i < 16; ++i) {
        sound.emplace_back([&, i] {
            while (!isOver) {
                const std::string parts = callerPart(i) + "a" + std::to_string(i % 8) + ":400";
                (sendRequest(portOf(i), parts) == 200 ? served : failed)++;
                pause(100);
            }
        });
    }
    pause(6000);
    for (int moment = 0; moment < moments; ++moment) {
        RECORD("%s", hasTrouble() ? "requests with the part come" : "none comes");
        std::vector<std::thread> some;
        for (int i = 0; hasTrouble() && i < atOnce; ++i) {
            some.emplace_back([&, i] {
                const int status = sendRequest(portOf(i), callerPart(i) + part + ":400");
                RECORD("client with the part: answered %d", status);
            });
        }
        for (std::thread &it : some)
            it.join();
        pause(betweenMs);
    }
    isOver = true;
    for (std::thread &it : sound)
        it.join();
    const std::lock_guard lock(timesMutex);
    const long from = crashes.size() < 5 ? -1 : crashes[4] + stableWindowMs;
    const auto late =
        from < 0 ? 0 : std::ranges::count_if(arrivals, [&](long at) { return at > from; });
    char text[300];
    std::snprintf(
        text, sizeof(text),
        "%zu servers ended under %zu requests with the part; %ld of them reached a server "
        "later than stableWindowMs after the fifth end; sound requests: %d served, %d not",
        crashes.size(), arrivals.size(), static_cast<long>(late), served.load(), failed.load());
    RECORD("%s", text);
    std::printf("%s\n", text);
    if (served < 100)
        cannotRun("too little was served");
    finish(late > 3 ? 1 : 0);
}
