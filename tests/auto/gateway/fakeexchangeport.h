#pragma once

#include "gateway/boottime.h"
#include "gateway/eventlog.h"
#include "gateway/exchange.h"
#include "gateway/gatewaymetrics.h"
#include "loopbackserver.h"

#include <sys/mman.h>
#include <unistd.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Gateway {

/// Records the answer that a caller gets.
class RecordingSink final : public AnswerSink
{
public:
    void sendAnswer(const ResponseHead &head, std::string_view body) override
    {
        statuses.push_back(head.result_int());
        text.append(body);
    }
    void startStream(const ResponseHead &) override {}
    void sendEvents(std::string_view data) override { text.append(data); }
    void endStream() override { isEnded = true; }
    void abortAnswer() override { isCutOff = true; }
    void closeAfterAnswer() override { isClosedAfterAnswer = true; }
    bool isCallerGone() const override { return isGone; }
    bool isBlocked() const override { return isFull; }

    bool isGone = false;
    bool isFull = false;
    bool isEnded = false;
    bool isCutOff = false;
    bool isClosedAfterAnswer = false;
    std::vector<unsigned> statuses;
    /// The body of the answer, or all events of a stream.
    std::string text;
};

/// A gateway with some loopback servers. It places work when the test tells it to, and its clock
/// can be moved.
class FakeExchangePort final : public ExchangePort,
                               public Routing::ServerLife,
                               public RequestMemoryListener,
                               public ServerObserver
{
public:
    Base::MemoryBudget answers{128U << 20};

    explicit FakeExchangePort(int servers = 1)
        : m_logFile(memfd_create("log", MFD_CLOEXEC))
        , m_log(m_logFile, 100)
        , m_pool(m_io, m_names, m_buffer, *this)
    {
        for (int i = 1; i <= servers; ++i) {
            m_backends.push_back(std::make_unique<LoopbackServer>(m_io));
            Routing::RegisteredServer entry = m_backends.back()->entry();
            entry.id = Base::ServerId("s-" + std::to_string(i));
            m_entries[entry.id] = entry;
        }
        m_names.resumedRequestId = "Resumes";
        Routing::StreamOrigins &origins = m_memory.streamOrigins();
        origins.setServersCurrentUntil(Base::TimePoint::max(), now());
        origins.setHistoryKnown(true);
        origins.setStoredKnown(true);
    }
    ~FakeExchangePort() override { close(m_logFile); }
    FakeExchangePort(const FakeExchangePort &) = delete;
    FakeExchangePort &operator=(const FakeExchangePort &) = delete;

    void submitWork(const std::string &, Routing::Work work) override
    {
        submitted = work.id;
        ++submissions;
    }
    void withdrawWork(const std::string &, Routing::WorkId id) override { withdrawn.push_back(id); }
    void workStarted(const std::string &, Routing::WorkId) override {}
    void workSilent(const std::string &, Routing::WorkId) override { ++silences; }
    void workFinished(const std::string &, Routing::WorkId,
                      Routing::AttemptOutcome outcome) override
    {
        outcomes.push_back(outcome);
    }
    Base::Duration expectedStart(const std::string &, Routing::WorkId) override { return {}; }
    bool isBusy() override { return isHostBusy; }
    bool acquireRetry(const std::string &) override
    {
        ++retries;
        return true;
    }
    const Routing::RegisteredServer *server(const Base::ServerId &id) override
    {
        const auto it = m_entries.find(id);
        return it == m_entries.end() ? nullptr : &it->second;
    }
    Routing::Residency residency(const AcceptedRequest &) override { return {}; }
    bool isInAllowedRegion(const AcceptedRequest &, const Routing::RegisteredServer &) override
    {
        return true;
    }
    Routing::VersionRule versionRule(const AcceptedRequest &,
                                     const std::optional<std::string> &) override
    {
        return {};
    }
    void attemptSent(const AcceptedRequest &, const std::string &) override {}
    void attemptEnded(const AcceptedRequest &, const ComparedAttempt &) override {}
    Base::Duration usualStart(const std::string &, Routing::WorkId) override { return {}; }
    bool mayUseKeys() override { return true; }
    Base::MemoryBudget &answerMemory() override { return answers; }
    BackendPool &backends() override { return m_pool; }
    const HeaderNames &names() override { return m_names; }
    EventLog &log() override { return m_log; }
    Base::TimePoint now() override { return bootTimeNow() + clockOffset; }
    void attemptFailed(Routing::AttemptOutcome) override {}
    void serverResponded(const Base::ServerId &) override {}
    std::optional<Base::TimePoint> lastResponseFrom(const Base::ServerId &) const override
    {
        return {};
    }
    RequestMemory &memory() override { return m_memory; }
    void proveVersions(Base::TimePoint time) override { proofWantedFor = time; }
    void streamResumed(bool, Routing::Continuation::Kind) override {}
    void reportWanted(bool) override {}
    bool isGone(const Base::ServerId &) const override { return false; }
    Base::Duration backoffLeft(const Base::ServerId &) override { return {}; }
    Base::Milliseconds backoffRetryAfter(const std::string &) override { return {}; }
    void requestWritten(const Base::ServerId &) override {}
    void serverNoticed(const Base::ServerId &, const Routing::ServerNotice &) override {}
    void eventsForwarded(std::size_t) override {}
    Base::Duration configurationAge() override { return {}; }
    void requestEnded(const EndedRequest &request) override { ended.push_back(request.outcome); }
    void exchangeFinished(Routing::WorkId) override {}

    /// Starts a request of \a kind.
    /// \a resumed is the stream that the request takes up, if it is not empty.
    std::shared_ptr<Exchange> exchange(RecordingSink &sink, Routing::WorkKind kind,
                                       const std::string &resumed = {},
                                       const std::string &body = {})
    {
        AcceptedRequest accepted;
        accepted.id = 2;
        accepted.requestId = "r-1";
        accepted.request.message.method(Http::verb::get);
        accepted.request.message.target("/read/x");
        accepted.request.message.body() = body;
        accepted.request.readAt = now();
        if (!resumed.empty())
            accepted.request.message.set(m_names.resumedRequestId, resumed);
        Routing::RoutingConfiguration configuration;
        configuration.version = 1;
        Routing::Route route;
        route.name = "read";
        route.kind = kind;
        route.maxAttempts = 3;
        route.timeout = std::chrono::seconds(30);
        route.longestPause = std::chrono::milliseconds(400);
        route.services = {{"app", 1}};
        configuration.routes = {route};
        accepted.table = Routing::RouteTable::create(configuration);
        accepted.route = &accepted.table->configuration().routes.front();
        accepted.service = "app";
        accepted.work.id = accepted.id;
        accepted.deadline = now() + std::chrono::seconds(30);
        auto exchange = std::make_shared<Exchange>(*this, std::move(accepted), sink);
        exchange->start();
        return exchange;
    }
    /// A placement of the work that was submitted last at the server with this number.
    Routing::Placement placement(int server = 1) const
    {
        Routing::Placement it;
        it.work = submitted;
        it.server = Base::ServerId("s-" + std::to_string(server));
        return it;
    }
    /// Enters the first server at the address of the second one.
    void moveServer()
    {
        m_entries[Base::ServerId("s-1")].address = m_entries[Base::ServerId("s-2")].address;
    }
    LoopbackServer &backend(int server = 1) { return *m_backends[server - 1]; }
    void poll()
    {
        // A loop that had nothing to wait for has stopped.
        m_io.restart();
        m_io.poll();
        m_pool.checkTime(now());
    }
    /// Handles events until \a isDone or for a second at most. Returns whether it is.
    bool pollUntil(const std::function<bool()> &isDone)
    {
        for (int i = 0; i < 1000 && !isDone(); ++i) {
            poll();
            usleep(1000);
        }
        return isDone();
    }
    /// Accepts the connection that is made to the server, and reads the head of the request on it.
    /// \a text becomes what was read, the begin of a body included.
    Tcp::socket acceptRequest(int server = 1, std::string *text = nullptr)
    {
        REQUIRE(pollUntil([&] { return backend(server).isCalled(); }));
        Tcp::socket socket = backend(server).accept();
        REQUIRE(pollUntil([&] { return LoopbackServer::isReadable(socket.native_handle()); }));
        const std::string read = LoopbackServer::readRequest(socket);
        CHECK_FALSE(read.empty());
        if (text)
            *text = read;
        return socket;
    }

    /// What was logged of requests so far.
    std::string logText()
    {
        m_log.flush();
        std::string text(65536, '\0');
        const ssize_t n = pread(m_logFile, text.data(), text.size(), 0);
        text.resize(n > 0 ? static_cast<std::size_t>(n) : 0);
        return text;
    }

    /// The last time for which a proof of the versions was asked.
    std::optional<Base::TimePoint> proofWantedFor;
    Routing::WorkId submitted = 0;
    unsigned submissions = 0;
    unsigned silences = 0;
    unsigned retries = 0;
    std::vector<Routing::WorkId> withdrawn;
    std::vector<Routing::AttemptOutcome> outcomes;
    std::vector<std::string> ended;
    Base::Duration clockOffset{};
    bool isHostBusy = false;

private:
    boost::asio::io_context m_io;
    std::vector<std::unique_ptr<LoopbackServer>> m_backends;
    std::map<Base::ServerId, Routing::RegisteredServer> m_entries;
    HeaderNames m_names = LoopbackServer::names();
    std::string m_buffer = std::string(65536, '\0');
    int m_logFile;
    EventLog m_log;
    BackendPool m_pool;
    FleetView m_fleet{Base::HostId("h"), Base::ZoneId("z")};
    RequestMemory m_memory{Base::ZoneId("z"), m_fleet, *this, *this};
};

} // namespace Gateway
