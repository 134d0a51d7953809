// A server that is full refuses a request, and its refusal comes a second time, late, at the point
// where the next answer is expected. See claim.txt of the case.
// usage: repeatedrefusal RECORD
#include "standin.h"

using namespace Review;

namespace {

constexpr int gatewayCount = 6;
constexpr int slots = 2;
constexpr int queued = 2;
constexpr int workMs = 30;
/// All clients send at the same moments. They are more than the server takes at once.
constexpr long tickMs = 160;
constexpr int targetMs = 150;
constexpr long lengthMs = 90000;
/// The disruption comes again and again, each time for so long, with a pause between.
constexpr long faultMs = 5000;
constexpr long faultPauseMs = 1000;
/// The share of the answers that come a second time, at one of the two servers.
constexpr double repeatedShare = 0.03;

struct Attempt
{
    bool isUnsafe = false;
    int runs = 0;
    std::string ranAt;
    /// The status of the client's answer; 0 if none came, -1 while it is awaited.
    int status = -1;
};

std::mutex attemptsMutex;
std::map<std::string, Attempt> attempts;

class Server
{
public:
    Server(std::string id, bool isFaulty)
        : m_id(std::move(id))
        , m_isFaulty(isFaulty)
        , m_listener([this](int fd) { serve(fd); })
    {}
    std::string address() const { return m_listener.address(); }
    std::atomic<int> refused{0};
    std::atomic<int> repeated{0};

private:
    void serve(int fd)
    {
        Reader reader(fd);
        Message request;
        // The second copy of an answer, which waits for the next one.
        std::string extra;
        while (reader.read(request) == Reader::End::Whole) {
            const std::string attempt = request.field("Attempt-Id");
            if (!extra.empty()) {
                RECORD("%s sends the extra answer as %s comes", m_id.c_str(), attempt.c_str());
                if (!sendAll(fd, std::exchange(extra, {})))
                    return;
            }
            const std::string answer = answerTo(request, fd);
            if (answer.empty() || !sendAll(fd, answer))
                return;
            if (isRepeated()) {
                extra = answer;
                ++repeated;
                RECORD("%s will repeat its answer to %s", m_id.c_str(), attempt.c_str());
            }
        }
    }
    std::string answerTo(const Message &request, int fd)
    {
        const std::string attempt = request.field("Attempt-Id");
        std::map<std::string, std::string> fields{{"Attempt-Id", attempt}};
        if (request.path() == "/healthz") {
            fields["Instance-Id"] = m_id;
            return answerText(200, fields, "");
        }
        if (request.field("Expect-Instance") != m_id) {
            fields["Instance-Id"] = m_id;
            return answerText(421, fields, "");
        }
        std::unique_lock lock(m_mutex);
        if (m_running + m_waiting >= slots + queued) {
            ++refused;
            fields["Not-Executed"] = "1";
            fields["Server-Load"] = load();
            RECORD("%s refuses %s", m_id.c_str(), attempt.c_str());
            return answerText(503, fields, "");
        }
        ++m_waiting;
        m_free.wait(lock, [this] { return m_running < slots; });
        --m_waiting;
        // A request whose connection has closed meanwhile isn't run.
        if (isClosed(fd)) {
            m_free.notify_one();
            return {};
        }
        ++m_running;
        lock.unlock();
        {
            const std::lock_guard all(attemptsMutex);
            Attempt &of = attempts[attempt];
            ++of.runs;
            of.ranAt += " " + m_id;
            RECORD("%s runs %s, run %d", m_id.c_str(), attempt.c_str(), of.runs);
        }
        pause(workMs);
        lock.lock();
        --m_running;
        m_free.notify_one();
        fields["Server-Stamp"] = "stamp." + m_id + "." + attempt;
        fields["Server-Load"] = load();
        return answerText(200, fields, "done " + attempt);
    }
    std::string load() const
    {
        return std::to_string(m_running) + "," + std::to_string(m_waiting) + ","
               + std::to_string(slots);
    }
    bool isRepeated()
    {
        if (!m_isFaulty || nowMs() % (faultMs + faultPauseMs) >= faultMs)
            return false;
        const std::lock_guard lock(m_mutex);
        return std::uniform_real_distribution<>(0, 1)(m_random) < repeatedShare;
    }

    std::string m_id;
    bool m_isFaulty;
    std::mutex m_mutex;
    std::condition_variable m_free;
    int m_running = 0;
    int m_waiting = 0;
    std::mt19937 m_random{std::random_device()()};
    Listener m_listener;
};

std::atomic<bool> isOver{false};

/// Sends requests, one at each moment of all clients, on a kept connection.
void runClient(int port, const std::string &method, const std::string &path)
{
    int fd = -1;
    std::unique_ptr<Reader> reader;
    while (!isOver) {
        if (fd < 0) {
            fd = connectTo(loopback(), port);
            if (fd < 0) {
                pause(50);
                continue;
            }
            reader = std::make_unique<Reader>(fd);
        }
        pause(tickMs - nowMs() % tickMs);
        const std::string attempt = newAttemptId();
        {
            const std::lock_guard lock(attemptsMutex);
            attempts[attempt].isUnsafe = method == "POST";
        }
        Message answer;
        const bool isAnswered =
            sendAll(fd, requestText(method, path, attempt, 1500, {}, "deposit"))
            && reader->read(answer, Clock::now() + milliseconds(2500), true) == Reader::End::Whole;
        {
            const std::lock_guard lock(attemptsMutex);
            attempts[attempt].status = isAnswered ? answer.status() : 0;
        }
        RECORD("client: %s answered %d", attempt.c_str(), isAnswered ? answer.status() : 0);
        if (!isAnswered || lower(answer.field("Connection")) == "close") {
            close(fd);
            fd = -1;
        }
    }
    if (fd >= 0)
        close(fd);
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 2)
        return 2;
    stopOnSignals();
    Record::get().open(argv[1]);
    Store store;
    std::vector<std::unique_ptr<Server>> list;
    list.push_back(std::make_unique<Server>("i-1", hasTrouble()));
    list.push_back(std::make_unique<Server>("i-2", false));
    registerServer(store, "i-1", "exchange-app", "abbotsford", list[0]->address(), slots);
    registerServer(store, "i-2", "photo-app", "abbotsford", list[1]->address(), slots);
    store.put("op", "config",
              configuration(Json::array({route("hold", "unsafe", "exchange-app", 1500, targetMs),
                                         route("photo", "safe", "photo-app", 1500, targetMs)}),
                            Json::array({{{"name", "exchange-app"}, {"maxConnections", 96}},
                                         {{"name", "photo-app"}, {"maxConnections", 96}}})));
    std::vector<std::unique_ptr<GatewayProcess>> processes;
    for (int i = 0; i < gatewayCount; ++i) {
        processes.push_back(std::make_unique<GatewayProcess>(
            scratchFolder(), "gateway-" + std::to_string(i + 1), "abbotsford", store.address()));
        startGateway(*processes.back());
    }
    std::vector<std::thread> threads;
    for (const auto &it : processes)
        threads.emplace_back(runClient, it->callerPort, "POST", "/hold/2f");
    threads.emplace_back(runClient, processes[0]->callerPort, "GET", "/photo/2f");
    pause(lengthMs);
    isOver = true;
    for (std::thread &it : threads)
        it.join();
    pause(500);
    const std::lock_guard lock(attemptsMutex);
    int served = 0;
    int refused = 0;
    int twice = 0;
    int refusedAndRun = 0;
    for (const auto &[id, it] : attempts) {
        served += it.status == 200 ? 1 : 0;
        const bool isPromise =
            it.status == 503 || it.status == 429 || it.status == 408 || it.status == 421;
        refused += isPromise ? 1 : 0;
        if (!it.isUnsafe)
            continue;
        if (it.runs > 1) {
            ++twice;
            RECORD("BROKEN, TWICE: %s ran %d times, at%s; the client got %d", id.c_str(), it.runs,
                   it.ranAt.c_str(), it.status);
        }
        if (it.runs > 0 && isPromise) {
            ++refusedAndRun;
            RECORD("BROKEN, REFUSED: %s ran at%s, and the client got %d", id.c_str(),
                   it.ranAt.c_str(), it.status);
        }
    }
    int repeated = 0;
    int refusals = 0;
    for (const auto &it : list) {
        repeated += it->repeated;
        refusals += it->refused;
    }
    char text[300];
    std::snprintf(text, sizeof(text),
                  "%zu requests, %d served, %d refused by the system; servers refused %d times; "
                  "%d extra answers; ran twice: %d; refused although run: %d",
                  attempts.size(), served, refused, refusals, repeated, twice, refusedAndRun);
    RECORD("%s", text);
    std::printf("%s\n", text);
    if (served < 100 || (hasTrouble() && repeated == 0))
        cannotRun("too little was served, or the trouble did not come");
    finish(twice + refusedAndRun > 0 ? 1 : 0);
}
