// All servers of a service are replaced by servers of another software version, and all processes
// of the system are killed while the last streams of the old version run. See claim.txt of the
// case.
// usage: mixedversions RECORD
#include "standin.h"

using namespace Review;

namespace {

constexpr int gatewayCount = 3;
constexpr int serversOfVersion = 3;
constexpr int slots = 64;
constexpr int events = 24;
/// The time between two events; the route's gapTargetMs is 500.
constexpr long eventMs = 250;
constexpr int clientCount = 30;
/// A client's tries for one stream: the first one and a few more.
constexpr int maxTries = 4;
/// Pause between two replacements.
constexpr long gapMs = 1000;
/// How long a server goes on after the store has accepted that it leaves: drainMs and some seconds.
constexpr long drainingMs = 8000;
constexpr long restartMs = 500;

class Server
{
public:
    Server(std::string id, std::string version)
        : id(std::move(id))
        , version(std::move(version))
        , m_listener([this](int fd) { serve(fd); })
    {}
    /// Writes the entry in the store, as with each heartbeat.
    void beat(Store &store)
    {
        if (m_hasLeft)
            return;
        store.put("servers", id,
                  {{"service", "model-pool"},
                   {"address", m_listener.address()},
                   {"zone", "abbotsford"},
                   {"version", version},
                   {"slots", slots},
                   {"state", m_isLeaving ? "draining" : "ready"},
                   {"sequence", ++m_sequence},
                   {"coldRemainingMs", 0},
                   {"born", 1764700000000 + (version == "v2" ? 60000 : 0)}});
    }
    void leave(Store &store)
    {
        m_isLeaving = true;
        beat(store);
        RECORD("%s (%s) reports draining", id.c_str(), version.c_str());
        std::thread([this, &store] {
            pause(drainingMs);
            m_hasLeft = true;
            store.remove("servers", id);
            RECORD("%s (%s) has left", id.c_str(), version.c_str());
        }).detach();
    }
    const std::string id;
    const std::string version;

private:
    void serve(int fd)
    {
        Reader reader(fd);
        Message request;
        while (!m_hasLeft && reader.read(request) == Reader::End::Whole) {
            if (!answer(request, fd))
                return;
        }
    }
    bool answer(const Message &request, int fd)
    {
        const std::string attempt = request.field("Attempt-Id");
        std::map<std::string, std::string> fields{{"Attempt-Id", attempt}};
        if (request.field("Expect-Instance") != id) {
            fields["Instance-Id"] = id;
            return sendAll(fd, answerText(421, fields, ""));
        }
        const int from = std::atoi(request.field("Last-Event-Id").c_str()) + 1;
        RECORD("%s (%s) runs %s from event %d%s%s", id.c_str(), version.c_str(), attempt.c_str(),
               from, from > 1 ? ", resumes " : "", request.field("Resumes").c_str());
        std::string head = "HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt + "\r\nServer-Stamp: stamp."
                           + id + "." + attempt + "\r\nContent-Type: text/event-stream\r\n";
        if (m_isLeaving)
            head += "Server-Leaving: 1\r\n";
        if (!sendAll(fd, head + "Transfer-Encoding: chunked\r\n\r\n"))
            return false;
        for (int i = from; i <= events; ++i) {
            pause(eventMs);
            // What two versions write doesn't fit together; the event tells which one wrote it.
            const std::string event = "id: " + std::to_string(i) + "\ndata: " + version + "\n\n";
            char size[16];
            std::snprintf(size, sizeof(size), "%zx\r\n", event.size());
            if (m_hasLeft || isClosed(fd) || !sendAll(fd, size + event + "\r\n"))
                return false;
        }
        return sendAll(fd, "0\r\n\r\n");
    }

    std::atomic<bool> m_isLeaving{false};
    std::atomic<bool> m_hasLeft{false};
    std::atomic<int> m_sequence{0};
    Listener m_listener;
};

std::atomic<bool> isOver{false};
std::vector<std::unique_ptr<GatewayProcess>> processes;
std::atomic<int> wholeStreams{0};
std::atomic<int> takenUp{0};
std::atomic<int> wentOn{0};
std::atomic<int> mixedStreams{0};

/// One stream of a client, over all its tries.
struct Stream
{
    std::string firstAttempt;
    int lastEvent = 0;
    std::set<std::string> versions;
    std::string heard;
};

/// Reads the events of \a body into \a stream.
void takeEvents(const std::string &body, Stream &stream)
{
    std::size_t at = 0;
    for (std::size_t end = body.find("\n\n"); end != std::string::npos;
         end = body.find("\n\n", at)) {
        const std::string event = body.substr(at, end - at);
        at = end + 2;
        stream.lastEvent = std::atoi(event.c_str() + 4);
        const std::string version = event.substr(event.find("data: ") + 6);
        if (stream.versions.insert(version).second)
            stream.heard += " " + version + " from event " + std::to_string(stream.lastEvent);
    }
}

/// Asks a daemon where to connect, as clients do; returns a port, or 0 if it does not tell.
int resolve(const GatewayProcess &daemon, std::mt19937 &random)
{
    const int fd = connectTo(loopback(), daemon.directoryPort);
    if (fd < 0)
        return 0;
    Message answer;
    Reader reader(fd);
    const bool isGood =
        sendAll(fd, "GET /-/resolve?name=ficu95.example&region=lower-mainland&zone=abbotsford "
                    "HTTP/1.1\r\nHost: directory\r\n\r\n")
        && reader.read(answer, Clock::now() + milliseconds(1000), true) == Reader::End::Whole
        && answer.status() == 200;
    close(fd);
    if (!isGood)
        return 0;
    const Json addresses = Json::parse(answer.body, nullptr, false).value("addresses", Json());
    if (!addresses.is_array() || addresses.empty())
        return 0;
    const std::string address = addresses[random() % addresses.size()].get<std::string>();
    return std::atoi(address.substr(address.find(':') + 1).c_str());
}

/// Connects to a daemon that the system names; -1 if there is none before \a deadline.
int connectToSystem(Clock::time_point deadline, std::mt19937 &random)
{
    while (Clock::now() + milliseconds(300) < deadline) {
        const int port = resolve(*processes[random() % processes.size()], random);
        const int fd = port > 0 ? connectTo(loopback(), port) : -1;
        if (fd >= 0)
            return fd;
        pause(100);
    }
    return -1;
}

void runStream(std::mt19937 &random)
{
    Stream stream;
    const std::string prompt = promptFields(newAttemptId(), 160);
    const auto deadline = Clock::now() + milliseconds(10000);
    for (int tries = 0; tries < maxTries; ++tries) {
        const int fd = connectToSystem(deadline, random);
        if (fd < 0)
            break;
        const auto left = std::chrono::duration_cast<milliseconds>(deadline - Clock::now()).count();
        const std::string attempt = newAttemptId();
        std::string more = prompt;
        if (stream.lastEvent > 0) {
            more += "Last-Event-Id: " + std::to_string(stream.lastEvent)
                    + "\r\nResumes: " + stream.firstAttempt + "\r\n";
            ++takenUp;
        }
        const int before = stream.lastEvent;
        Message answer;
        Reader reader(fd);
        Reader::End end = Reader::End::Broken;
        if (sendAll(fd, requestText("POST", "/photo/2f", attempt, static_cast<int>(left), more,
                                    "prompt")))
            end = reader.read(answer, deadline, true);
        close(fd);
        if (answer.status() == 200)
            takeEvents(answer.body, stream);
        if (before == 0 && stream.lastEvent > 0)
            stream.firstAttempt = attempt;
        if (before > 0 && stream.lastEvent > before)
            ++wentOn;
        RECORD("client: %s%s%s: %s %d, events %d to %d", attempt.c_str(),
               before > 0 ? ", resumes " : "", before > 0 ? stream.firstAttempt.c_str() : "",
               end == Reader::End::Whole ? "answered" : "broken off", answer.status(), before + 1,
               stream.lastEvent);
        if (stream.lastEvent == events) {
            ++wholeStreams;
            break;
        }
        const std::string comeBack = answer.field("Retry-After");
        pause(comeBack.empty() ? 100 : static_cast<long>(1000 * std::atof(comeBack.c_str())));
    }
    if (stream.versions.size() > 1) {
        ++mixedStreams;
        RECORD("BROKEN, ORDER: stream %s holds%s", stream.firstAttempt.c_str(),
               stream.heard.c_str());
    }
}

void runClient(unsigned seed)
{
    std::mt19937 random(seed);
    pause(static_cast<long>(seed * 200 % 6000));
    while (!isOver)
        runStream(random);
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
    std::mutex serversMutex;
    const auto add = [&](int number, const std::string &version) {
        const std::lock_guard lock(serversMutex);
        servers.push_back(std::make_unique<Server>("i-" + std::to_string(number), version));
        servers.back()->beat(store);
        RECORD("%s (%s) is ready", servers.back()->id.c_str(), version.c_str());
    };
    for (int i = 1; i <= serversOfVersion; ++i)
        add(i, "v1");
    std::thread([&] {
        for (;;) {
            pause(1200);
            const std::lock_guard lock(serversMutex);
            for (const auto &it : servers)
                it->beat(store);
        }
    }).detach();
    store.put(
        "op", "config",
        configuration(Json::array({route("photo", "streaming", "model-pool", 10000, 1500)}),
                      Json::array({{{"name", "model-pool"},
                                    {"maxConnections", 360},
                                    {"engine", {{"slots", slots}, {"kvCapacity", 542627}}}}})));
    for (int i = 0; i < gatewayCount; ++i) {
        processes.push_back(std::make_unique<GatewayProcess>(
            scratchFolder(), "gateway-" + std::to_string(i + 1), "abbotsford", store.address()));
        startGateway(*processes.back());
    }
    std::vector<std::thread> clients;
    for (int i = 0; i < clientCount; ++i)
        clients.emplace_back(runClient, static_cast<unsigned>(i));
    pause(8000);
    // Planned work: the servers are replaced one after the other. The new one starts first.
    for (int i = 1; i <= serversOfVersion; ++i) {
        add(serversOfVersion + i, "v2");
        pause(gapMs);
        servers[static_cast<std::size_t>(i) - 1]->leave(store);
    }
    pause(1500);
    if (hasTrouble()) {
        RECORD("all processes of the system are killed");
        for (const auto &it : processes)
            it->stop(SIGKILL);
        pause(restartMs);
        for (const auto &it : processes)
            it->start();
    }
    pause(10000);
    isOver = true;
    for (std::thread &it : clients)
        it.join();
    char text[300];
    std::snprintf(text, sizeof(text),
                  "%d whole streams; %d tries to take a stream up, of which %d went on; streams "
                  "with events of two software versions: %d",
                  wholeStreams.load(), takenUp.load(), wentOn.load(), mixedStreams.load());
    RECORD("%s", text);
    std::printf("%s\n", text);
    if (wholeStreams < 20)
        cannotRun("too few streams were served");
    finish(mixedStreams > 2 ? 1 : 0);
}
