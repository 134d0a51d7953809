#include "gateway/gateway.h"

#include "gateway/boottime.h"
#include "gateway/metricshandler.h"
#include "gateway/serverchangelog.h"
#include "gateway/storeintervals.h"

#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <set>
#include <string>
#include <utility>

namespace Gateway {

namespace {

using std::chrono::milliseconds;

/// Granularity of all time limits. Each tick costs a wake-up, so it is no finer than callers
/// notice.
constexpr Base::Duration tickInterval = milliseconds(25);
constexpr Base::Duration slowCheckInterval = milliseconds(500);
constexpr std::size_t readBufferBytes = 65536;
/// Share of a server's connections that all hosts together open. The rest is kept free because
/// hosts come and go and a busy server accepts fewer connections.
constexpr double openConnectionShare = 0.8;
constexpr std::size_t minConnections = 4;
/// Another host may take the request at once, while this host has spare processor time again only
/// when some open streams have ended.
constexpr Base::Milliseconds overloadRetryAfter{400};
/// Labels of metrics: the kinds of notices that servers give in their answers.
constexpr const char *backoffNotice = "backoff";
constexpr const char *leavingNotice = "leaving";

} // namespace

Base::Result<std::unique_ptr<Gateway>> Gateway::create(const GatewaySettings &settings,
                                                       const DeploymentAdapter &adapter)
{
    std::unique_ptr<Gateway> gateway(new Gateway(settings, adapter));
    BOOST_LEAF_ASSIGN(gateway->m_metrics, GatewayMetrics::create());
    BOOST_LEAF_CHECK(gateway->listen());
    BOOST_LEAF_CHECK(gateway->listenForMetrics());
    return gateway;
}

Gateway::Gateway(const GatewaySettings &settings, const DeploymentAdapter &adapter)
    : m_settings(settings)
    , m_adapter(adapter)
    , m_examiner(adapter.names)
    , m_residency(Routing::ZoneRegions(settings.zoneRegions))
    , m_settingsWatcher(settings.file)
    , m_log(STDOUT_FILENO, settings.requestLinesPerSecond)
    , m_readBuffer(readBufferBytes, '\0')
    , m_pool(m_io, adapter.names, m_readBuffer, *this)
    , m_fleet(settings.host, settings.zone)
    , m_memory(settings.zone, m_fleet, *this, *this)
    , m_entryHosts(m_residency.zones())
    , m_backlog(settings.processor)
    , m_identity(ReportIdentity::create())
{
    m_directoryLimits.bodyBytes = maxIgnoredBodyBytes;
    limitMemory();
}

Base::Result<void> Gateway::listen()
{
    BOOST_LEAF_ASSIGN(m_replica,
                      StoreReplica::create(m_settings, {m_io, m_adapter.store, m_fleet, m_log,
                                                        m_readBuffer, m_callerShare, *this}));
    m_services = std::make_unique<Services>(m_settings, *m_replica, m_fleet);
    m_rollouts = std::make_unique<Rollouts>(m_io, m_settings, m_adapter.store, *m_replica, m_fleet,
                                            m_log, *m_metrics, *this);
    m_versionRows = std::make_unique<VersionRows>(
        m_settings.storeAddress,
        VersionRows::Dependencies{m_io, m_adapter.store, m_memory.streamOrigins(), m_log,
                                  *m_metrics});
    m_streamRows = std::make_unique<StreamRows>(
        m_settings.storeAddress, m_identity.nameFor(m_settings.host),
        StreamRows::Dependencies{m_io, m_adapter.store, m_memory.streamOrigins(), m_log,
                                 *m_metrics});
    BOOST_LEAF_ASSIGN(m_reports,
                      ReportSocket::create(m_io, m_settings.peerAddress,
                                           [this](const HostReport &it) { reportReceived(it); }));
    m_reportSender = std::make_unique<ReportSender>(m_settings, m_residency.zones(), m_fleet,
                                                    *m_reports, *m_metrics);
    m_directoryHandler = m_adapter.directoryHandler(*this);
    const ConnectionContext directory{*m_directoryHandler, m_directoryLimits, m_readBuffer,
                                      m_callerShare};
    BOOST_LEAF_ASSIGN(m_readiness,
                      HttpListener::create(m_io, m_settings.readinessAddress, directory));
    BOOST_LEAF_ASSIGN(m_discovery,
                      HttpListener::create(m_io, m_settings.discoveryAddress, directory));
    BOOST_LEAF_ASSIGN(m_callers,
                      HttpListener::create(m_io, m_settings.callerAddress,
                                           {*this, m_limits, m_readBuffer, m_callerShare}));
    for (const std::string &ip : m_settings.seeds) {
        if (ip != m_settings.peerAddress.ip)
            m_fleet.addAddress(toString(Settings::Address{ip, m_settings.peerAddress.port}), now());
    }
    return {};
}

Base::Result<void> Gateway::listenForMetrics()
{
    if (!m_settings.metricsAddress)
        return {};
    m_metricsHandler = std::make_unique<MetricsHandler>([this] {
        m_metrics->updateGauges(state());
        return m_metrics->text();
    });
    BOOST_LEAF_ASSIGN(m_metricsListener, HttpListener::create(m_io, *m_settings.metricsAddress,
                                                              {*m_metricsHandler, m_directoryLimits,
                                                               m_readBuffer, m_callerShare}));
    return {};
}

GatewayState Gateway::state() const
{
    const Base::TimePoint time = bootTimeNow();
    GatewayState state;
    state.openRequests = m_exchanges.size();
    state.waitingWork = m_services->waiting();
    state.liveHosts = m_fleet.liveHosts(time);
    state.servers = m_replica->servers().servers().size();
    state.configurationVersion = m_replica->version();
    state.proofAge = m_replica->lease().age(time);
    state.isReady = isReady();
    state.isStoreReader = m_fleet.isLeader(time);
    state.droppedLogLines = m_log.dropped();
    state.unreadableEntries = m_unreadableEntries;
    state.costFactor = m_backlog.costFactor();
    state.slowestPace = m_services->slowestPace();
    state.blockedRequests = m_memory.crashes().blocked(time);
    state.blockedParts = m_memory.parts().blocked(time);
    state.busyTime = m_load.busyTime();
    state.callerMemory = m_callerShare.memory.usedBytes();
    state.memoryRefusals = m_callerShare.memory.refusals();
    state.memoryYields = m_callerShare.memory.yields();
    state.callerConnections = m_callerShare.connections;
    state.closedIdleConnections = m_callerShare.closedIdle;
    return state;
}

void Gateway::run()
{
    m_log.write(LogLine("process.start")
                    .add("host", m_settings.host.value())
                    .add("zone", m_settings.zone.value())
                    .add("callers", toString(m_settings.callerAddress))
                    .add("incarnation", m_identity.incarnation),
                now());
    watchSignals();
    m_backlog.recordIdle(now());
    tick();
    loop();
    finishConnections();
    logOpenRequests("process.stop");
    m_log.flush();
}

void Gateway::loop()
{
    while (!m_io.stopped()) {
        m_io.run_one();
        if (!m_isIdleCheckDue)
            continue;
        // poll() returns when nothing is ready. It is called only once a tick because it costs an
        // extra system call.
        m_io.poll();
        m_isIdleCheckDue = false;
        const Base::TimePoint time = now();
        m_backlog.recordIdle(time);
        m_load.addBusy(m_busySince, time);
    }
}

void Gateway::tick()
{
    m_timer.expires_after(tickInterval);
    m_timer.async_wait([this](const boost::system::error_code &ec) {
        if (ec)
            return;
        onTick();
        if (!m_io.stopped())
            tick();
    });
}

void Gateway::onTick()
{
    const Base::TimePoint time = now();
    // The process has not been idle since the last tick.
    if (m_isIdleCheckDue)
        m_load.addBusy(m_busySince, time);
    m_busySince = time;
    m_isIdleCheckDue = true;
    m_replica->advance(time);
    m_rollouts->advance(time);
    updateVersions(time);
    std::vector<std::shared_ptr<Exchange>> open;
    open.reserve(m_exchanges.size());
    for (const auto &[id, exchange] : m_exchanges)
        open.push_back(exchange);
    for (const auto &exchange : open)
        exchange->checkTime(time);
    m_pool.checkTime(time);
    if (time >= m_nextReport)
        report(time);
    m_services->advance(time, [this](const Routing::Decisions &it) { apply(it); });
    if (time >= m_nextSlowCheck) {
        m_nextSlowCheck = time + slowCheckInterval;
        m_callers->checkTime(time);
        m_readiness->checkTime(time);
        m_discovery->checkTime(time);
        m_replica->checkConnections(time);
        if (m_metricsListener)
            m_metricsListener->checkTime(time);
        m_fleet.advance(time);
        m_memory.advance(m_replica->servers().versions(), time);
        for (const std::uint64_t part : m_memory.takeNewlyBlockedParts())
            m_log.write(LogLine("part.blocked").add("part", hexText(part)), time);
        std::erase_if(m_lastResponses, [this](const auto &it) { return !server(it.first); });
        reloadIfChanged();
    }
    const bool isLeaseHeld = m_replica->lease().isHeld(time);
    if (isLeaseHeld != std::exchange(m_wasLeaseHeld, isLeaseHeld)) {
        LogLine line(isLeaseHeld ? "configuration.lease_held" : "configuration.lease_lost");
        if (const auto age = m_replica->lease().age(time))
            line.add("ageMs", *age);
        m_log.write(line, time);
    }
    logLoad(time);
    checkShutdown(time);
    m_log.flush();
}

void Gateway::logLoad(Base::TimePoint time)
{
    if (!m_load.isDue(time))
        return;
    LoadSample sample;
    sample.processorTime = processCpuTime();
    sample.costFactor = m_backlog.costFactor();
    m_services->fillLevels(sample, time);
    sample.reportAge = m_fleet.newestReportAge(time);
    if (const auto line = m_load.line(sample, time))
        m_log.write(*line, time);
}

void Gateway::limitConnections()
{
    if (!m_replica->table())
        return;
    const std::size_t connections =
        std::max<std::size_t>(minConnections, m_replica->table()->maxConnections());
    const double share = m_entryHosts.trafficShare(m_settings.host, bootTimeNow());
    const double limit = static_cast<double>(connections) * openConnectionShare * share;
    m_pool.setConnectionLimit(std::max(minConnections, static_cast<std::size_t>(limit)));
}

std::shared_ptr<ActiveRequest> Gateway::handle(CallerRequest request, AnswerSink &sink)
{
    AcceptedRequest accepted = acceptedRequest(std::move(request));
    std::optional<Failure> failure = headFailure(accepted);
    if (failure)
        m_backlog.recordRefusal(now());
    else if (!accepted.route->isStream())
        m_backlog.recordPlainRequest(now());
    else if (!m_backlog.admitStream(accepted.work, now())) {
        m_services->service(accepted.service).dispatcher.recordRejected(accepted.work, now());
        m_load.addShedStream(accepted.customer);
        failure = Failure{FailureType::HostOverloaded, false, overloadRetryAfter};
    }
    if (failure) {
        recordRefusal(accepted, *failure);
        // Keeping a rejected caller's connection open costs more than the rejection itself.
        // Nothing is read after a request that can be taken for that of another caller.
        if (failure->type == FailureType::HostOverloaded
            || failure->type == FailureType::BadRequest)
            sink.closeAfterAnswer();
        sink.sendAnswer(failureHead(*failure), failureBody(*failure, accepted.requestId));
        return nullptr;
    }
    m_services->service(accepted.service).retries.recordRequest(now());
    m_entryHosts.addRequest(now());
    m_load.addRequest();
    const Routing::WorkId id = accepted.id;
    auto exchange = std::make_shared<Exchange>(*this, std::move(accepted), sink);
    m_exchanges[id] = exchange;
    exchange->start();
    return exchange;
}

std::optional<EarlyRefusal> Gateway::refuseEarly(const RequestHead &head, Base::TimePoint readAt)
{
    CallerRequest request;
    request.message.base() = head;
    request.readAt = readAt;
    AcceptedRequest accepted = acceptedRequest(std::move(request));
    const std::optional<Failure> failure = headFailure(accepted);
    if (!failure)
        return std::nullopt;
    m_backlog.recordRefusal(now());
    recordRefusal(accepted, *failure);
    return EarlyRefusal{failureHead(*failure), failureBody(*failure, accepted.requestId)};
}

AcceptedRequest Gateway::acceptedRequest(CallerRequest request)
{
    AcceptedRequest accepted;
    accepted.id = m_lastWorkId += 2;
    accepted.request = std::move(request);
    accepted.requestId = std::string(field(accepted.request.message, m_adapter.names.requestId));
    return accepted;
}

std::optional<Failure> Gateway::headFailure(AcceptedRequest &accepted)
{
    std::optional<Failure> failure = m_examiner.validate(
        accepted, {m_replica->table(), m_replica->servers().isKnown(), mayUseKeys()});
    return failure ? failure : shutdownFailure(accepted);
}

void Gateway::recordRefusal(const AcceptedRequest &accepted, const Failure &failure)
{
    m_load.addRefusal();
    logRefusal(accepted, failure);
    m_metrics->requestEnded({accepted.route ? accepted.route->name : std::string(),
                             accepted.customer.value(), failureName(failure.type), std::nullopt,
                             now() - accepted.request.readAt});
}

void Gateway::logRefusal(const AcceptedRequest &accepted, const Failure &failure)
{
    const Base::TimePoint time = now();
    if (!m_log.tryAcquireRequestLine(true, time))
        return;
    m_log.write(refusedLine(accepted, failure, m_replica->version()), time);
}

void Gateway::apply(const Routing::Decisions &decisions)
{
    m_decisions.push_back(decisions);
    // A placement may lead to another decision at once. The queue prevents unbounded recursion and
    // changes of containers that a caller of this function iterates over.
    if (std::exchange(m_isApplying, true))
        return;
    while (!m_decisions.empty()) {
        const Routing::Decisions next = std::move(m_decisions.front());
        m_decisions.pop_front();
        for (const Routing::Placement &it : next.placements) {
            const auto exchange = m_exchanges.find(requestOfWork(it.work));
            if (exchange != m_exchanges.end())
                std::shared_ptr<Exchange>(exchange->second)->placed(it);
        }
        for (const Routing::Rejection &it : next.rejected) {
            const auto found = m_exchanges.find(requestOfWork(it.work));
            if (found == m_exchanges.end())
                continue;
            const std::shared_ptr<Exchange> exchange = found->second;
            if (exchange->isStream() && !exchange->hasSilentAttempt())
                m_backlog.refundStream(exchange->work(), now());
            exchange->rejected(it);
        }
    }
    m_isApplying = false;
}

void Gateway::submitWork(const std::string &service, Routing::Work work)
{
    apply(m_services->service(service).dispatcher.submit(std::move(work), now()));
}

void Gateway::withdrawWork(const std::string &service, Routing::WorkId id)
{
    m_services->service(service).dispatcher.withdraw(id);
}

void Gateway::workStarted(const std::string &service, Routing::WorkId id)
{
    m_services->service(service).dispatcher.started(id, now());
}

void Gateway::workFinished(const std::string &service, Routing::WorkId id,
                           Routing::AttemptOutcome outcome)
{
    apply(m_services->service(service).dispatcher.finished(id, outcome, now()));
}

Base::Duration Gateway::expectedStart(const std::string &service, Routing::WorkId id)
{
    return m_services->service(service).dispatcher.expectedStart(id);
}

bool Gateway::acquireRetry(const std::string &service)
{
    const bool isGranted = m_services->service(service).retries.take(m_fleet.others().hosts, now());
    m_metrics->retryRequested(isGranted);
    return isGranted;
}

const Routing::RegisteredServer *Gateway::server(const Base::ServerId &id)
{
    return m_replica->servers().usable(id);
}

bool Gateway::mayUseKeys()
{
    return m_replica->lease().isHeld(now());
}

Base::TimePoint Gateway::now()
{
    return bootTimeNow();
}

void Gateway::attemptFailed(Routing::AttemptOutcome outcome)
{
    m_metrics->attemptFailed(Routing::nameOf(outcome));
}

void Gateway::serverResponded(const Base::ServerId &server)
{
    m_lastResponses[server] = now();
}

std::optional<Base::TimePoint> Gateway::lastResponseFrom(const Base::ServerId &server) const
{
    const auto it = m_lastResponses.find(server);
    if (it == m_lastResponses.end())
        return std::nullopt;
    return it->second;
}

bool Gateway::isGone(const Base::ServerId &server) const
{
    return !m_replica->servers().usable(server);
}

Base::Duration Gateway::backoffLeft(const Base::ServerId &server)
{
    return m_services->notices().backoffLeft(server, now());
}

Base::Milliseconds Gateway::backoffRetryAfter(const std::string &service)
{
    return m_services->service(service).dispatcher.backoffRetryAfter(now());
}

void Gateway::requestWritten(const Base::ServerId &server)
{
    if (m_services->notices().backoffLeft(server, now()) > Base::Duration::zero())
        m_metrics->unwantedRequestWritten(backoffNotice);
    if (m_services->notices().isLeaving(server))
        m_metrics->unwantedRequestWritten(leavingNotice);
}

void Gateway::serverNoticed(const Base::ServerId &server, const Routing::ServerNotice &notice)
{
    const Base::TimePoint time = now();
    if (notice.backoff > Base::Duration::zero())
        m_metrics->serverNoticed(backoffNotice);
    if (notice.isLeaving)
        m_metrics->serverNoticed(leavingNotice);
    const bool isNews = m_services->notices().record(server, notice, time);
    if (!notice.asksForLess())
        return;
    m_pool.withdrawUnsent(server);
    if (notice.isLeaving)
        m_pool.closeIdleConnections(server);
    if (!isNews || !m_log.tryAcquireRequestLine(true, time))
        return;
    m_log.write(LogLine("server.notice")
                    .add("server", server.value())
                    .add("backoffMs", notice.backoff)
                    .add("leaving", notice.isLeaving),
                time);
}

void Gateway::eventsForwarded(std::size_t count)
{
    m_entryHosts.addEvents(count, now());
    m_backlog.recordEvents(count);
    m_load.addEvents(count);
}

void Gateway::requestEnded(const EndedRequest &request)
{
    if (request.isAnswered)
        m_durations.record(request.route, request.whole);
    m_metrics->requestEnded(request);
}

void Gateway::storeCallFinished(const char *call, bool isGood)
{
    m_metrics->storeCallFinished(call, isGood);
}

void Gateway::exchangeFinished(Routing::WorkId id)
{
    m_exchanges.erase(id);
}

void Gateway::configurationApplied()
{
    m_nextReport = Base::TimePoint{};
    m_configurationSince = now();
    const Routing::CallerLimits &limits = m_replica->table()->configuration().limits;
    m_limits.headerBytes = limits.headerBytes;
    m_limits.bodyBytes = limits.bodyBytes;
    m_limits.headerTimeout = limits.headerTimeout;
    m_limits.idleTimeout = limits.idleTimeout;
    m_services->configurationChanged();
    std::set<std::string> routes;
    for (const Routing::Route &it : m_replica->table()->configuration().routes)
        routes.insert(it.name);
    m_durations.keepOnly(routes);
    logUnknownRegions();
    m_memory.streamOrigins().setLongestStream(m_replica->table()->longestStream());
}

void Gateway::logUnknownRegions()
{
    for (const Base::RegionId &it : unknownRegions(*m_replica->table(), m_residency.zones())) {
        m_log.write(LogLine("configuration.region_unknown")
                        .add("region", it.value())
                        .add("version", m_replica->version()),
                    now());
    }
}

std::vector<std::string> Gateway::entryAddresses(const Base::RegionId &callerRegion,
                                                 const std::string &hostName) const
{
    const std::shared_ptr<const Routing::RouteTable> &table = m_replica->table();
    return m_entryHosts.addresses(callerRegion,
                                  table ? table->residency(hostName) : Routing::Residency());
}

void Gateway::serversChanged(const Routing::ServerChanges &changes, bool notifiesZone)
{
    if (changes.isEmpty())
        return;
    if (notifiesZone)
        m_nextReport = Base::TimePoint{};
    const Base::TimePoint time = now();
    logServerChanges(m_log, changes, time);
    for (const Base::ServerId &id : changes.leaving)
        m_pool.closeIdleConnections(id);
    for (const Base::ServerId &id : changes.gone)
        m_pool.closeIdleConnections(id);
    m_services->serversChanged();
    m_rollouts->serversChanged();
    m_memory.advance(m_replica->servers().versions(), time);
}

void Gateway::unreadableEntriesChanged(const std::set<std::string> &entries)
{
    m_unreadableEntries = entries.size();
    m_log.write(LogLine("server.entries_unreadable")
                    .add("entries", entries.size())
                    .add("first", entries.empty() ? std::string() : *entries.begin()),
                now());
}

void Gateway::evacuationsChanged()
{
    // The other hosts should learn of it at once.
    m_nextReport = Base::TimePoint{};
    m_services->evacuationsChanged(now());
}

bool Gateway::isReady() const
{
    return m_replica->isKnown() && !m_shutdown;
}

} // namespace Gateway
