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
#include "gateway/reportsocket.h"
#include "gateway/requestvalidator.h"
#include "gateway/services.h"
#include "gateway/settingswatcher.h"
#include "gateway/storereplica.h"
#include "routing/streamadmission.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <memory>
#include <string>
#include <unordered_map>

namespace Gateway {

/// What callers and the platform ask about the fleet.
class EntryDirectory
{
public:
    virtual ~EntryDirectory() = default;
    /// "IP:PORT" of the hosts that callers may use now.
    virtual std::vector<std::string> entryAddresses() const = 0;
    virtual std::chrono::seconds entryListMaxAge() const = 0;
    /// Whether this host takes requests: it knows its configuration and does not leave.
    virtual bool isReady() const = 0;
};

/// What a deployment adds to the gateway: its spelling of the protocols. Outlives the gateway.
struct DeploymentAdapter
{
    const HeaderNames &names;
    const StoreProtocol &store;
    /// Answers questions at the discovery and readiness addresses.
    std::function<std::unique_ptr<RequestHandler>(const EntryDirectory &)> directoryHandler;
};

/// One gateway host: listens for callers, decides with the parts of Routing, forwards.
///
/// All of it runs on one thread: a request's bytes cross no thread, so that an event of a stream
/// costs one wake-up on hosts with a quarter of a core.
class Gateway final : public RequestHandler,
                      public ExchangePort,
                      public StoreReplicaListener,
                      public EntryDirectory
{
public:
    /// Fails with CannotListen.
    static Base::Result<std::unique_ptr<Gateway>> create(const GatewaySettings &settings,
                                                         const DeploymentAdapter &adapter);

    /// Runs until SIGTERM or SIGINT and the end of the shutdown.
    void run();

    std::shared_ptr<ActiveRequest> handle(CallerRequest request, AnswerSink &sink) override;

    void submitWork(const std::string &service, Routing::Work work) override;
    void withdrawWork(const std::string &service, Routing::WorkId id) override;
    void workStarted(const std::string &service, Routing::WorkId id) override;
    void workFinished(const std::string &service, Routing::WorkId id,
                      Routing::AttemptOutcome outcome) override;
    Base::Duration expectedStart(const std::string &service, Routing::WorkId id) override;
    bool isBusy() override { return m_backlog.isBusy(now()); }
    bool takeRepeat(const std::string &service) override;
    const Routing::RegisteredServer *server(const Base::ServerId &id) override;
    bool mayUseKeys() override;
    BackendPool &backends() override { return m_pool; }
    const HeaderNames &names() override { return m_adapter.names; }
    EventLog &log() override { return m_log; }
    Base::TimePoint now() override;
    void attemptFailed(Routing::AttemptOutcome outcome) override;
    void heardFrom(const Base::ServerId &server) override;
    std::optional<Base::TimePoint> lastHeardFrom(const Base::ServerId &server) override;
    void requestEnded(const EndedRequest &request) override;
    void exchangeOver(Routing::WorkId id) override;

    void configurationTaken() override;
    void serversChanged(const Routing::ServerChanges &changes, bool isNews) override;
    void serversRead() override { m_services->serversRead(); }
    void unreadableEntriesChanged(const std::set<std::string> &entries) override;
    void storeCallFinished(const char *call, bool isGood) override;

    std::vector<std::string> entryAddresses() const override { return m_entries.addresses(); }
    void eventsForwarded(std::size_t count) override;
    std::chrono::seconds entryListMaxAge() const override { return m_settings.entryListMaxAge; }
    bool isReady() const override;

private:
    Gateway(const GatewaySettings &settings, const DeploymentAdapter &adapter);
    Base::Result<void> listen();
    /// Handles what is ready, and waits when nothing is.
    void loop();
    void watchSignals();
    /// Takes what may change while the process runs from the settings file, if that has changed.
    void reloadIfChanged();
    void takeSettings(const GatewaySettings &settings);
    void tick();
    void onTick();
    void report(Base::TimePoint now);
    /// Shares out the connections that each server takes.
    void limitConnections();
    MemberState memberOfThisHost(Base::TimePoint now) const;
    HostReport reportOfThisHost(Base::TimePoint now) const;
    void reportReceived(const HostReport &report);

    /// Writes the line about this host's load, once a second.
    void logLoad(Base::TimePoint now);
    void logRefusal(const AcceptedRequest &accepted, const Failure &failure);
    void apply(const Routing::Decisions &decisions);

    Base::Result<void> listenForMetrics();
    GatewayState state() const;
    void beginShutdown();
    void checkShutdown(Base::TimePoint now);

    GatewaySettings m_settings;
    DeploymentAdapter m_adapter;
    RequestValidator m_examiner;
    SettingsWatcher m_settingsWatcher;
    boost::asio::io_context m_io{BOOST_ASIO_CONCURRENCY_HINT_UNSAFE};
    boost::asio::steady_timer m_timer{m_io};
    boost::asio::signal_set m_signals{m_io};
    EventLog m_log;
    std::string m_readBuffer;
    ConnectionLimits m_limits;
    ConnectionLimits m_directoryLimits;
    BackendPool m_pool;
    FleetView m_fleet;
    std::unique_ptr<StoreReplica> m_replica;
    std::unique_ptr<ReportSocket> m_reports;
    std::unique_ptr<RequestHandler> m_directoryHandler;
    std::unique_ptr<GatewayMetrics> m_metrics;
    std::unique_ptr<RequestHandler> m_metricsHandler;
    std::unique_ptr<HttpListener> m_metricsListener;
    std::unique_ptr<HttpListener> m_callers;
    std::unique_ptr<HttpListener> m_readiness;
    std::unique_ptr<HttpListener> m_discovery;
    EntryBoard m_entries;
    Routing::StreamAdmission m_backlog;
    HostLoadCounts m_load;
    /// Up to where the time with work is counted.
    Base::TimePoint m_busySince{};
    std::unique_ptr<Services> m_services;
    std::unordered_map<Routing::WorkId, std::shared_ptr<Exchange>> m_exchanges;
    std::unordered_map<Base::ServerId, Base::TimePoint> m_heardFrom;
    std::deque<Routing::Decisions> m_decisions;
    Base::Incarnation m_incarnation = 0;
    std::uint64_t m_reportSequence = 0;
    Routing::WorkId m_lastWork = 0;
    Base::TimePoint m_nextReport{};
    Base::TimePoint m_nextSlowCheck{};
    std::optional<Base::TimePoint> m_leavingSince;
    std::size_t m_unreadableEntries = 0;
    bool m_isApplying = false;
    bool m_looksForIdle = false;
    bool m_wasLeaseHeld = false;
};

} // namespace Gateway
