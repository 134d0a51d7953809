// Model servers, each a process of its own, which one part of a prompt may crash, and what starts
// them again some seconds after they have crashed.
#pragma once

#include "common.h"

namespace Case {

constexpr int modelSlots = 64;
constexpr int modelEvents = 10;
constexpr int eventMs = 60;
constexpr int firstEventMs = 60;

/// Whether \a parts, "HASH:TOKENS,HASH:TOKENS", has the part before its last entry.
inline bool hasPart(const std::string &parts, const std::string &part)
{
    const std::size_t last = parts.rfind(',');
    return !part.empty() && last != std::string::npos
           && ("," + parts.substr(0, last)).find("," + part + ":") != std::string::npos;
}

// server IP PORT ID LOG PART: PART is the part that crashes the server once it begins to write an
// answer; "-" if there is none.
inline int runModelServer(char **arguments)
{
    const std::string id = arguments[4];
    const int log = open(arguments[5], O_WRONLY | O_CREAT | O_APPEND, 0644);
    const std::string deadly = std::string(arguments[6]) == "-" ? "" : arguments[6];
    const int listener = listenOn(arguments[2], std::atoi(arguments[3]));
    if (listener < 0)
        return NotRun;
    serve(listener, [&](int fd, const Message &request) {
        const std::string attempt = request.field("Attempt-Id");
        const std::string head = "Attempt-Id: " + attempt + "\r\n";
        if (request.field("Expect-Instance") != id)
            return sendAll(fd, "HTTP/1.1 421 Misdirected\r\nNot-Executed: 1\r\nContent-Length: 0\r\n" + head + "\r\n");
        appendLine(log, std::to_string(steadyMs()) + " run " + attempt);
        for (int waited = 0; waited < firstEventMs; waited += 10) {
            sleepMs(10);
            if (isClosedByPeer(fd))
                return false;
        }
        sendAll(fd, "HTTP/1.1 200 OK\r\nServer-Stamp: stamp-of-" + id
                        + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n" + head + "\r\n");
        if (hasPart(request.field("Prefix-Hash"), deadly)) {
            appendLine(log, std::to_string(steadyMs()) + " crash " + attempt);
            _exit(1);
        }
        for (int n = 1 + std::atoi(request.field("Last-Event-Id").c_str()); n <= modelEvents; ++n) {
            const std::string event = "id: " + std::to_string(n) + "\ndata: " + attempt + " " + std::to_string(n) + "\n\n";
            char size[16];
            std::snprintf(size, sizeof(size), "%zx\r\n", event.size());
            if (!sendAll(fd, size + event + "\r\n"))
                return false;
            sleepMs(eventMs);
            if (isClosedByPeer(fd))
                return false;
        }
        return sendAll(fd, "0\r\n\r\n");
    });
    return Held;
}

class ModelServers
{
public:
    ModelServers(Deployment &deployment, const std::string &self, int count, const std::string &deadly, int downMs)
        : m_deployment(&deployment)
        , m_self(self)
        , m_deadly(deadly)
        , m_downMs(downMs)
    {
        for (int n = 0; n < count; ++n) {
            m_servers.push_back({"i-" + std::to_string(n), freePort(m_ip), 0, 0});
            start(m_servers.back());
        }
        m_watch = std::thread([this] { watch(); });
    }
    ~ModelServers()
    {
        m_isOver = true;
        m_watch.join();
    }
    /// When each server crashed, and when each attempt reached a server, in the order of the times.
    std::vector<std::pair<std::int64_t, std::string>> lines(const std::string &what) const
    {
        std::vector<std::pair<std::int64_t, std::string>> found;
        for (const Server &it : m_servers) {
            for (const std::string &line : m_deployment->linesOf(it.id + ".runs")) {
                std::istringstream words(line);
                std::int64_t at = 0;
                std::string kind, attempt;
                if (words >> at >> kind >> attempt && kind == what)
                    found.emplace_back(at, attempt);
            }
        }
        std::sort(found.begin(), found.end());
        return found;
    }

private:
    struct Server
    {
        std::string id;
        int port = 0;
        pid_t pid = 0;
        std::int64_t endedAt = 0;
    };

    void start(Server &it)
    {
        it.endedAt = 0;
        it.pid = m_deployment->processes.start({m_self, "server", m_ip, std::to_string(it.port), it.id,
                                                m_deployment->folder + "/" + it.id + ".runs",
                                                m_deadly.empty() ? "-" : m_deadly},
                                               m_deployment->folder + "/" + it.id + ".log");
        sleepMs(30);
        m_deployment->store.put("servers", it.id,
                                serverEntry("pool", m_ip + ":" + std::to_string(it.port), modelSlots, unixMs()));
    }
    void watch()
    {
        while (!m_isOver) {
            for (Server &it : m_servers) {
                if (it.endedAt == 0 && m_deployment->processes.hasEnded(it.pid)) {
                    it.endedAt = steadyMs();
                    m_deployment->record.line("server " + it.id + " has crashed");
                }
                if (it.endedAt != 0 && steadyMs() - it.endedAt >= m_downMs) {
                    m_deployment->record.line("server " + it.id + " starts again");
                    start(it);
                }
            }
            sleepMs(20);
        }
    }

    Deployment *m_deployment;
    std::string m_self;
    std::string m_deadly;
    int m_downMs;
    std::string m_ip = "127.0.0.1";
    std::vector<Server> m_servers;
    std::atomic<bool> m_isOver = false;
    std::thread m_watch;
};

/// Sends a request for a stream to a gateway. The server that begins it is named in the answer.
inline Answer askStream(Deployment &deployment, std::size_t gateway, const std::string &id, const std::string &key,
                        const std::string &parts, const std::string &route = "stream")
{
    const Gateway &at = deployment.gateways[gateway % deployment.gateways.size()];
    const Answer answer = call(at.ip, at.callers,
                               requestText("POST", "/" + route + "/" + id, id,
                                           "Deadline-Ms: 8000\r\nModel: m\r\nToken-Count: 700,50\r\nPrefix-Hash: " + parts
                                               + "\r\nAuthorization: Bearer " + key + "\r\n",
                                           "question " + id),
                               8000);
    deployment.record.line("request " + id + " of " + key + " answered " + std::to_string(answer.status)
                           + (answer.status == 200 && answer.isWhole ? " whole" : "") + " after "
                           + std::to_string(answer.tookMs) + " ms"
                           + (answer.status == 200 ? "" : " " + answer.message.body));
    return answer;
}

} // namespace Case
