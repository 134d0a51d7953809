#pragma once

#include "base/random.h"
#include "base/result.h"
#include "gateway/backendpool.h"
#include "gateway/entryhostselector.h"
#include "gateway/eventlog.h"
#include "gateway/exchange.h"
#include "gateway/fleetview.h"
#include "gateway/gatewaymetrics.h"
#include "gateway/gatewaysettings.h"
#include "gateway/hostload.h"
#include "gateway/httplistener.h"
#include "gateway/reportidentity.h"
#include "gateway/reportsender.h"
#include "gateway/requestresidency.h"
#include "gateway/requestvalidator.h"
#include "gateway/rollouts.h"
#include "gateway/routedurations.h"
#include "gateway/services.h"
#include "gateway/settingswatcher.h"
#include "gateway/shutdownschedule.h"
#include "gateway/storereplica.h"
#include "gateway/streamrows.h"
#include "gateway/versionrows.h"
#include "routing/streamadmission.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <memory>
#include <string>
#include <unordered_map>

namespace Gateway {

/// What the discovery and readiness endpoints need to know of the fleet and of this host.
class EntryDirectory
{
public:
    virtual ~EntryDirectory() = default;
    /// Returns the addresses "IP:PORT" of the hosts that a caller should use now. \a hostName is
    /// the name that the caller sends its requests to.
    virtual std::vector<std::string> entryAddresses(const Base::RegionId &callerRegion,
                                                    const std::string &hostName) const = 0;
    /// Returns how long callers may use an entry list.
    virtual std::chrono::seconds entryListMaxAge() const = 0;
    /// Whether this host takes requests: it knows its configuration and its backend servers, and is
    /// not leaving.
    virtual bool isReady() const = 0;
};

/// What a deployment adds to the gateway: its header names, its store protocol and its discovery
/// and readiness handlers. It must outlive the gateway.
struct DeploymentAdapter
{
    const HeaderNames &names;
    const StoreProtocol &store;
    /// Creates the handler for requests at the discovery and readiness addresses.
    std::function<std::unique_ptr<RequestHandler>(const EntryDirectory &)> directoryHandler;
};

/// One gateway host: accepts requests of callers, places them with the classes of Routing and
/// forwards them to backend servers.
///
/// All work runs on one thread. A request's bytes cross no thread, so that forwarding an event of a
/// stream costs one wake-up; some hosts have only a quarter of a core.
class Gateway final : public RequestHandler,
                      public ExchangePort,
                      public Routing::ServerLife,
                      public RequestMemoryListener,
                      public ServerObserver,
                      public StoreReplicaListener,
                      public RolloutListener,
                      public EntryDirectory
{
public:
    /// Creates a gateway that listens on all addresses of \a settings. Fails with CannotListen.
    static Base::Result<std::unique_ptr<Gateway>> create(const GatewaySettings &settings,
                                                         const DeploymentAdapter &adapter);

    /// Runs until the shutdown after SIGTERM or SIGINT has ended.
    void run();

    std::shared_ptr<ActiveRequest> handle(CallerRequest request, AnswerSink &sink) override;
    std::optional<EarlyRefusal> refuseEarly(const RequestHead &head,
                                            Base::TimePoint readAt) override;

    void submitWork(const std::string &service, Routing::Work work) override;
    void withdrawWork(const std::string &service, Routing::WorkId id) override;
    void workStarted(const std::string &service, Routing::WorkId id) override;
    void workSilent(const std::string &service, Routing::WorkId id) override
    {
        m_services->service(service).dispatcher.silent(id, now());
    }
    void workFinished(const std::string &service, Routing::WorkId id,
                      Routing::AttemptOutcome outcome) override;
    Base::Duration expectedStart(const std::string &service, Routing::WorkId id) override;
    bool isBusy() override { return m_backlog.isBusy(now()); }
    bool acquireRetry(const std::string &service) override;
    const Routing::RegisteredServer *server(const Base::ServerId &id) override;
    Routing::Residency residency(const AcceptedRequest &accepted) override
    {
        return m_residency.current(accepted, m_replica->table());
    }
    bool isInAllowedRegion(const AcceptedRequest &accepted,
                           const Routing::RegisteredServer &server) override
    {
        return m_residency.allows(accepted, server, m_replica->table());
    }
    Routing::VersionRule versionRule(const AcceptedRequest &accepted,
                                     const std::optional<std::string> &boundTo) override
    {
        return m_rollouts->rule(accepted, boundTo, now());
    }
    void attemptSent(const AcceptedRequest &accepted, const std::string &softwareVersion) override
    {
        m_rollouts->attemptSent(accepted, softwareVersion);
    }
    void attemptEnded(const AcceptedRequest &accepted, const ComparedAttempt &attempt) override
    {
        m_rollouts->attemptEnded(accepted, attempt);
    }
    Base::Duration usualStart(const std::string &service, Routing::WorkId id) override
    {
        return m_services->service(service).dispatcher.usualStart(id);
    }
    bool mayUseKeys() override;
    Base::MemoryBudget &answerMemory() override { return m_answerMemory; }
    BackendPool &backends() override { return m_pool; }
    const HeaderNames &names() override { return m_adapter.names; }
    EventLog &log() override { return m_log; }
    Base::TimePoint now() override;
    void attemptFailed(Routing::AttemptOutcome outcome) override;
    void serverResponded(const Base::ServerId &server) override;
    std::optional<Base::TimePoint> lastResponseFrom(const Base::ServerId &server) const override;
    bool isGone(const Base::ServerId &server) const override;
    RequestMemory &memory() override { return m_memory; }
    void proveVersions(Base::TimePoint time) override;
    void streamResumed(bool isByCaller, Routing::Continuation::Kind kind) override
    {
        m_metrics->streamResumed(isByCaller, Routing::nameOf(kind));
    }
    void reportWanted(bool isUrgent) override;
    Base::Duration backoffLeft(const Base::ServerId &server) override;
    Base::Milliseconds backoffRetryAfter(const std::string &service) override;
    Base::Duration configurationAge() override { return now() - m_configurationSince; }
    void requestEnded(const EndedRequest &request) override;
    void exchangeFinished(Routing::WorkId id) override;

    void requestWritten(const Base::ServerId &server) override;
    void serverNoticed(const Base::ServerId &server, const Routing::ServerNotice &notice) override;

    void configurationApplied() override;
    void serversChanged(const Routing::ServerChanges &changes, bool notifiesZone) override;
    void leavingVersionsRead(const Routing::ServerVersions &versions) override;
    void versionsCopied(const std::vector<Routing::VersionAge> &versions,
                        Base::TimePoint currentUntil) override;
    std::optional<std::vector<Routing::VersionAge>> knownVersions() const override;
    void serversRead() override;
    void evacuationsChanged() override;
    void rolloutOrdersChanged() override { m_rollouts->ordersChanged(); }
    /// The other hosts should learn of it at once.
    void rolloutStateChanged() override { m_nextReport = Base::TimePoint{}; }
    void unreadableEntriesChanged(const std::set<std::string> &entries) override;
    void storeCallFinished(const char *call, bool isGood) override;

    std::vector<std::string> entryAddresses(const Base::RegionId &callerRegion,
                                            const std::string &hostName) const override;
    void eventsForwarded(std::size_t count) override;
    std::chrono::seconds entryListMaxAge() const override { return m_settings.entryListMaxAge; }
    bool isReady() const override;

private:
    Gateway(const GatewaySettings &settings, const DeploymentAdapter &adapter);
    Base::Result<void> listen();
    /// Handles the events that are ready, and waits when there is none.
    void loop();
    void watchSignals();
    /// Rereads the settings file if it has changed, and applies the settings that may change while
    /// the process runs.
    void reloadIfChanged();
    void applySettings(const GatewaySettings &settings);
    void tick();
    void onTick();
    void report(Base::TimePoint now);
    /// Logs the regions that the configuration names and in which no zone lies.
    void logUnknownRegions();
    /// Limits the connections to each server to this host's share of those that the server takes.
    void limitConnections();
    MemberState ownMemberState(Base::TimePoint now) const;
    HostReport ownReport(Base::TimePoint now) const;
    void reportReceived(const HostReport &report);

    /// Keeps the history of software versions here and in the store.
    void updateVersions(Base::TimePoint now);
    /// Logs this host's load, once a second.
    void logLoad(Base::TimePoint now);
    AcceptedRequest acceptedRequest(CallerRequest request);
    /// Returns why the request is refused whatever its body is; empty if it is not.
    std::optional<Failure> headFailure(AcceptedRequest &accepted);
    /// Counts and logs a request that was refused before an exchange was created for it.
    void recordRefusal(const AcceptedRequest &accepted, const Failure &failure);
    void logRefusal(const AcceptedRequest &accepted, const Failure &failure);
    /// Sets what callers and answers may take of this process to what the settings allow.
    void limitMemory();
    /// Passes decisions on to their exchanges, one after the other.
    void apply(const Routing::Decisions &decisions);

    Base::Result<void> listenForMetrics();
    GatewayState state() const;
    void beginShutdown();
    /// Returns the failure to answer if this host is leaving and does not take \a accepted any
    /// more.
    std::optional<Failure> shutdownFailure(const AcceptedRequest &accepted) const;
    /// Ends open requests and stops the event loop when it is time to.
    void checkShutdown(Base::TimePoint now);
    /// Gives all open requests their final answers.
    void endOpenRequests();
    /// Answers the requests that have arrived since the event loop has stopped, and closes all
    /// connections.
    void finishConnections();
    /// Logs which requests are open, and how long they have been.
    void logOpenRequests(const char *event);

    GatewaySettings m_settings;
    DeploymentAdapter m_adapter;
    RequestValidator m_examiner;
    RequestResidency m_residency;
    SettingsWatcher m_settingsWatcher;
    // Declared before the event loop, whose handlers refer to connections.
    CallerShare m_callerShare;
    Base::MemoryBudget m_answerMemory{0};
    boost::asio::io_context m_io{BOOST_ASIO_CONCURRENCY_HINT_UNSAFE};
    boost::asio::steady_timer m_timer{m_io};
    boost::asio::signal_set m_signals{m_io};
    EventLog m_log;
    std::string m_readBuffer;
    ConnectionLimits m_limits;
    ConnectionLimits m_directoryLimits;
    BackendPool m_pool;
    FleetView m_fleet;
    RequestMemory m_memory;
    std::unique_ptr<StoreReplica> m_replica;
    std::unique_ptr<ReportSocket> m_reports;
    std::unique_ptr<ReportSender> m_reportSender;
    std::unique_ptr<RequestHandler> m_directoryHandler;
    std::unique_ptr<GatewayMetrics> m_metrics;
    std::unique_ptr<RequestHandler> m_metricsHandler;
    std::unique_ptr<HttpListener> m_metricsListener;
    std::unique_ptr<HttpListener> m_callers;
    std::unique_ptr<HttpListener> m_readiness;
    std::unique_ptr<HttpListener> m_discovery;
    EntryHostSelector m_entryHosts;
    Routing::StreamAdmission m_backlog;
    HostLoadCounter m_load;
    /// Time up to which m_load counts the busy time.
    Base::TimePoint m_busySince{};
    std::unique_ptr<Services> m_services;
    std::unique_ptr<Rollouts> m_rollouts;
    std::unique_ptr<VersionRows> m_versionRows;
    std::unique_ptr<StreamRows> m_streamRows;
    std::unordered_map<Routing::WorkId, std::shared_ptr<Exchange>> m_exchanges;
    std::unordered_map<Base::ServerId, Base::TimePoint> m_lastResponses;
    std::deque<Routing::Decisions> m_decisions;
    ReportIdentity m_identity;
    Routing::WorkId m_lastWorkId = 0;
    Base::TimePoint m_reportedAt{};
    Base::TimePoint m_nextReport{};
    Base::TimePoint m_nextSlowCheck{};
    /// When the configuration in force was applied.
    Base::TimePoint m_configurationSince{};
    RouteDurations m_durations;
    /// Set once the process was told to stop.
    std::optional<ShutdownSchedule> m_shutdown;
    std::size_t m_unreadableEntries = 0;
    bool m_isApplying = false;
    bool m_isIdleCheckDue = false;
    bool m_wasLeaseHeld = false;
};

} // namespace Gateway
