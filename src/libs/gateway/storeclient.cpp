#include "gateway/storeclient.h"

#include "gateway/boottime.h"
#include "gateway/eventlog.h"

#include <algorithm>
#include <utility>

namespace Gateway {

namespace {

using std::chrono::milliseconds;

/// Time added to the wait of a long poll: a store slowed down 60 times answers within 0.3 s.
constexpr Base::Duration watchTimeoutMargin = milliseconds(600);
constexpr Base::Duration readTimeout = milliseconds(900);
/// The pause after the first failure and its upper bound after several. A store that is down for
/// 5 s gets 8 calls from a host instead of 40, and its recovery is noticed within 1 s.
constexpr Base::Duration initialRetryPause = milliseconds(250);
constexpr Base::Duration maxRetryPause = milliseconds(1000);
/// Upper bound of the pause for a host that reads for its zone, since the other hosts wait for it.
constexpr Base::Duration maxRetryPauseForZone = milliseconds(500);
/// Interval between two calls of a host that the store has refused and for which another host reads
/// now.
constexpr Base::Duration probeInterval = milliseconds(2000);
/// Periodic full readings keep the watched version within the store's history, which covers about
/// 20 s.
constexpr Base::Duration fullReadingInterval = std::chrono::seconds(8);
/// The rows serve only to discover other hosts at startup; from then on hosts exchange reports.
constexpr Base::Duration hostReadInterval = std::chrono::seconds(30);
constexpr Base::Duration firstHostReadInterval = milliseconds(1200);
constexpr Base::Duration hostWriteInterval = std::chrono::seconds(20);
constexpr milliseconds hostRowFreshFor{45000};
/// The least time between two readings of the servers that streams wait for.
constexpr Base::Duration minWantedInterval = milliseconds(100);
/// Delay between the first reading of the rows and the first writing. A host that receives in this
/// time a report of another one that refreshes its row need not write the row. Hosts that start
/// together read the rows once more after that (firstHostReadInterval).
constexpr Base::Duration firstHostWriteDelay = milliseconds(500);
/// The pause after a first row was refused. The store writes some hundred rows a second, and hosts
/// that start together need not all be listed: reports of those that are tell of the others.
constexpr Base::Duration pauseAfterRefusedRow = std::chrono::seconds(2);
/// Interval at which a host that refreshes no rows checks whether it has to.
constexpr Base::Duration hostWriteCheckInterval = std::chrono::seconds(1);
/// The store accepts at most this many rows in one transaction.
constexpr std::size_t maxRowsPerCall = 100;

} // namespace

StoreClient::StoreClient(boost::asio::io_context &io, const Settings::Address &address,
                         const StoreProtocol &protocol, const HostRow &self,
                         StoreListener &listener, EventLog &log)
    : m_protocol(&protocol)
    , m_self(self)
    , m_listener(&listener)
    , m_log(&log)
    , m_watchClient(std::make_shared<HttpClient>(io, address))
    , m_readClient(std::make_shared<HttpClient>(io, address))
    , m_watchPause(initialRetryPause, maxRetryPause)
    , m_readPause(initialRetryPause, maxRetryPause)
    , m_hostPause(initialRetryPause, maxRetryPause)
{}

void StoreClient::advance(Base::TimePoint now)
{
    m_watchClient->checkTime(now);
    m_readClient->checkTime(now);
    if (!m_areReadsDeferred && !m_watchClient->isBusy() && now >= m_nextWatch) {
        const bool isFullReadingDue = isReading() && now >= m_nextFullReading;
        if (m_needsReading || isFullReadingDue || (isLost() && !isReading()))
            readConfiguration(now);
        else if (isReading())
            watchConfiguration(now);
    }
    // While the store is lost, the configuration call alone probes for its return. Retrying the
    // other calls too would take two to three times as many calls during an outage, and each call
    // costs money.
    if (m_readClient->isBusy() || (isLost() && !m_isLeaving))
        return;
    // After a failure the servers are read once more even if another host reads for this one, so
    // that this host can become a reader again.
    const bool isAfterFailure = !m_isReadAvailable || m_areServersUnconfirmed;
    const bool isDue = isReading() || m_needsServers || isAfterFailure;
    // The other hosts are found first, since one of them may have the servers.
    const bool isTimely = (now >= m_nextServerReading && isDue) || isServerReadingWanted(now);
    if (!m_areReadsDeferred && isTimely && m_nextHostPage.empty())
        readServers(now);
    else
        syncHostRows(now);
}

void StoreClient::configurationCopied(std::uint64_t version)
{
    m_configurationVersion = std::max(m_configurationVersion, version);
    m_needsReading = false;
}

void StoreClient::serversCopied(std::uint64_t version)
{
    m_serversVersion = std::max(m_serversVersion, version);
    m_needsServers = false;
}

void StoreClient::readConfiguration(Base::TimePoint now)
{
    m_watchClient->call(m_protocol->readConfiguration(), readTimeout, now,
                        [this, now](const std::optional<HttpAnswer> &answer) {
                            configurationAnswered(answer, now, false);
                        });
}

void StoreClient::watchConfiguration(Base::TimePoint now)
{
    m_watchClient->call(m_protocol->watchConfiguration(m_watchFromVersion, m_intervals.watchWait),
                        m_intervals.watchWait + watchTimeoutMargin, now,
                        [this, now](const std::optional<HttpAnswer> &answer) {
                            configurationAnswered(answer, now, true);
                        });
}

void StoreClient::configurationAnswered(const std::optional<HttpAnswer> &answer,
                                        Base::TimePoint askedAt, bool isWatch)
{
    if (!answer) {
        configurationFailed(nameOfMissing(*m_watchClient), failureScope(m_isWatchAvailable));
        return;
    }
    boost::leaf::try_handle_all(
        [&]() -> Base::Result<void> {
            BOOST_LEAF_AUTO(reading, m_protocol->configuration(*answer));
            takeConfiguration(reading, answer->body, askedAt, isWatch);
            return {};
        },
        [&](const StoreHistoryGone &) {
            m_needsReading = true;
            m_nextWatch = Base::TimePoint{};
            m_log->write(LogLine("configuration.history_gone").add("version", m_watchFromVersion),
                         bootTimeNow());
        },
        [&](const StoreRefused &it) {
            m_log->write(LogLine("store.refused").add("status", it.status), bootTimeNow());
            configurationFailed("refused", FailureScope::Store);
        },
        [&](const MalformedStoreAnswer &it) {
            m_log->write(LogLine("store.malformed").add("what", it.what), bootTimeNow());
            configurationFailed("malformed", FailureScope::Store);
        },
        [&] { configurationFailed("unknown", FailureScope::Store); });
}

void StoreClient::takeConfiguration(const ConfigurationReading &reading, const std::string &text,
                                    Base::TimePoint askedAt, bool isWatch)
{
    m_listener->storeCallFinished("configuration", true);
    m_watchPause.reset();
    logAvailabilityChange(m_isWatchAvailable, true, "configuration", "");
    // An answer from an older state of the store than one already seen confirms nothing and must
    // not be applied.
    if (reading.storeVersion < m_newestVersion)
        return;
    m_newestVersion = reading.storeVersion;
    if (!isWatch) {
        m_watchFromVersion = reading.storeVersion;
        m_needsReading = false;
        m_nextFullReading = askedAt + fullReadingInterval;
    } else if (reading.hasChanges) {
        // A watch from a version before this change would return at once, again and again.
        m_watchFromVersion = reading.storeVersion;
    }
    m_nextWatch = Base::TimePoint{};
    takeEvacuations(reading, isWatch);
    takeRollouts(reading, isWatch);
    m_listener->operatorRead(reading.storeVersion);
    if (reading.configuration && reading.configuration->version > m_configurationVersion) {
        m_configurationVersion = reading.configuration->version;
        m_listener->configurationRead(Routing::RouteTable::create(*reading.configuration), text);
    }
    if (m_configurationVersion == 0) {
        // A host for which another one reads learns of the first configuration from that host.
        m_needsReading = isReading();
        m_nextWatch = askedAt + initialRetryPause;
        return;
    }
    m_listener->configurationConfirmed(askedAt);
}

void StoreClient::takeEvacuations(const ConfigurationReading &reading, bool isWatch)
{
    for (const std::string &key : reading.unreadable)
        m_log->write(LogLine("order.unreadable").add("key", key), bootTimeNow());
    if (isWatch) {
        if (!reading.evacuations.empty())
            m_listener->evacuationsChanged(reading.evacuations, reading.storeVersion);
        return;
    }
    std::set<Base::ZoneId> zones;
    for (const Routing::EvacuationChange &it : reading.evacuations) {
        if (it.isEvacuated)
            zones.insert(it.zone);
    }
    m_listener->evacuationsRead(zones, reading.storeVersion);
}

void StoreClient::takeRollouts(const ConfigurationReading &reading, bool isWatch)
{
    if (isWatch) {
        if (!reading.rollouts.empty())
            m_listener->rolloutsChanged(reading.rollouts, reading.storeVersion);
        return;
    }
    std::vector<Routing::RolloutOrder> orders;
    for (const Routing::RolloutOrderChange &it : reading.rollouts) {
        if (it.order)
            orders.push_back(*it.order);
    }
    m_listener->rolloutsRead(orders, reading.storeVersion);
}

void StoreClient::configurationFailed(const char *why, FailureScope scope)
{
    m_listener->storeCallFinished("configuration", false);
    logAvailabilityChange(m_isWatchAvailable, false, "configuration", why);
    // A reading is answered at once, while a watch is held by the store: the store's return is
    // noticed sooner.
    m_needsReading = m_needsReading || isReading();
    // A connection may break or stop delivering while the store is healthy. If that counted as an
    // outage, servers that have left would stay in use for 2 s more after this host has reached the
    // store again.
    if (scope == FailureScope::Connection) {
        m_nextWatch = Base::TimePoint{};
        return;
    }
    // An outage may be shorter than the interval between two readings of the servers and affect
    // only this call. It is reported nevertheless: if entries that expired during it counted as
    // servers that are gone, callers would be left without servers. It also counts if this host
    // stops being a reader because it has lost the store.
    m_areServersUnconfirmed = true;
    m_listener->storeFailed();
    const bool isProbe = !isReading() && !m_needsReading;
    m_nextWatch = bootTimeNow() + (isProbe ? probeInterval : pauseAfterFailure(m_watchPause));
}

Base::Duration StoreClient::pauseAfterFailure(Routing::ExponentialBackoff &pause) const
{
    return pause.next(m_readerRole == ReaderRole::ForZone ? maxRetryPauseForZone : maxRetryPause);
}

bool StoreClient::isServerReadingWanted(Base::TimePoint now) const
{
    if (m_serversReadSince >= m_serversWantedAfter)
        return false;
    // A store that fails is not asked more often than for any other reason.
    const Base::TimePoint earliest =
        m_isReadAvailable ? std::min(m_nextServerReading, m_readingSince + minWantedInterval)
                          : m_nextServerReading;
    return now >= earliest;
}

void StoreClient::readServers(Base::TimePoint now)
{
    // Entries of the first page may change while the others are read.
    if (m_entries.nextPage().empty())
        m_readingSince = now;
    if (m_entries.isEmpty() && m_mayTakeOver) {
        if (const std::optional<ListedServers> known = m_listener->knownServers())
            m_entries.takeOver(*known);
    }
    const std::optional<std::uint64_t> version = m_entries.changesFrom();
    const HttpCall call = version ? m_protocol->readServerChanges(*version)
                                  : m_protocol->readServers(m_entries.nextPage());
    m_readClient->call(
        call, readTimeout, now,
        [this, now](const std::optional<HttpAnswer> &answer) { serversAnswered(answer, now); });
}

void StoreClient::serversAnswered(const std::optional<HttpAnswer> &answer, Base::TimePoint askedAt)
{
    if (!answer) {
        serversFailed(nameOfMissing(*m_readClient), failureScope(m_isReadAvailable));
        return;
    }
    boost::leaf::try_handle_all(
        [&]() -> Base::Result<void> {
            BOOST_LEAF_AUTO(reading, m_protocol->servers(*answer));
            takeServers(reading, askedAt);
            return {};
        },
        [&](const StoreHistoryGone &) {
            m_log->write(LogLine("servers.history_gone"), bootTimeNow());
            m_entries.clear();
            m_mayTakeOver = false;
            m_nextServerReading = Base::TimePoint{};
        },
        [&](const StoreRefused &) { serversFailed("refused", FailureScope::Store); },
        [&](const MalformedStoreAnswer &it) {
            serversFailed(it.what.c_str(), FailureScope::Store);
        },
        [&] { serversFailed("unknown", FailureScope::Store); });
}

void StoreClient::takeServers(const ServerReading &reading, Base::TimePoint askedAt)
{
    m_nextServerReading = askedAt + m_intervals.serverInterval;
    m_listener->storeCallFinished("servers", true);
    m_readPause.reset();
    logAvailabilityChange(m_isReadAvailable, true, "servers", "");
    if (reading.storeVersion < m_serversVersion) {
        m_entries.dropPages();
        return;
    }
    m_serversVersion = reading.storeVersion;
    if (!m_entries.take(reading, askedAt)) {
        m_nextServerReading = Base::TimePoint{};
        return;
    }
    m_needsServers = false;
    m_mayTakeOver = true;
    m_areServersUnconfirmed = false;
    // The entries are reported only on a change, since they may be in the store for long.
    if (std::exchange(m_unreadableEntries, m_entries.unreadable()) != m_entries.unreadable())
        m_listener->unreadableEntriesChanged(m_unreadableEntries);
    m_serversReadSince = m_readingSince;
    m_listener->serversRead(m_entries.servers(), m_readingSince);
}

void StoreClient::serversFailed(const char *why, FailureScope scope)
{
    m_listener->storeCallFinished("servers", false);
    logAvailabilityChange(m_isReadAvailable, false, "servers", why);
    m_entries.dropPages();
    if (scope == FailureScope::Connection) {
        m_nextServerReading = Base::TimePoint{};
        return;
    }
    const bool isProbe = !isReading() && !m_needsServers;
    m_nextServerReading =
        bootTimeNow() + (isProbe ? probeInterval : pauseAfterFailure(m_readPause));
    m_listener->storeFailed();
}

bool StoreClient::syncHostRows(Base::TimePoint now)
{
    const auto done = [this](const std::optional<HttpAnswer> &answer) { hostsAnswered(answer); };
    if (m_isLeaving) {
        if (std::exchange(m_isRowRemoved, true))
            return false;
        m_readClient->call(m_protocol->removeHost(m_self.host), readTimeout, now,
                           [](const std::optional<HttpAnswer> &) {
                               // If the removal fails, other hosts ignore the row once it is old.
                           });
        return true;
    }
    const bool isFirst = m_nextHostReading == Base::TimePoint{};
    // In a large fleet, a host that gets reports from the leader of its zone learns of all other
    // hosts from them.
    const bool findsHosts =
        isFirst || m_isHostDiscoveryEnabled || m_readerRole == ReaderRole::ForZone;
    if (now >= m_nextHostReading && findsHosts) {
        m_nextHostReading = now + (isFirst ? firstHostReadInterval : hostReadInterval);
        m_readClient->call(m_protocol->readHosts({}), readTimeout, now, done);
        return true;
    }
    if (!m_nextHostPage.empty()) {
        m_readClient->call(m_protocol->readHosts(std::exchange(m_nextHostPage, {})), readTimeout,
                           now, done);
        return true;
    }
    if (now < m_nextHostWriting || m_storeTime == Base::Milliseconds(0))
        return false;
    if (m_rowsToWrite.empty())
        m_rowsToWrite = m_listener->rowsToRefresh();
    if (m_rowsToWrite.empty()) {
        m_nextHostWriting = now + hostWriteCheckInterval;
        return false;
    }
    writeHosts(now);
    return true;
}

void StoreClient::writeHosts(Base::TimePoint now)
{
    const std::size_t n = std::min(m_rowsToWrite.size(), maxRowsPerCall);
    const std::vector<HostRow> rows(m_rowsToWrite.end() - static_cast<std::ptrdiff_t>(n),
                                    m_rowsToWrite.end());
    m_rowsToWrite.resize(m_rowsToWrite.size() - n);
    if (m_rowsToWrite.empty())
        m_nextHostWriting = now + hostWriteInterval;
    const Base::Milliseconds storeNow =
        m_storeTime + std::chrono::duration_cast<milliseconds>(now - m_storeTimeReadAt);
    m_readClient->call(m_protocol->writeHosts(rows, storeNow), readTimeout, now,
                       [this](const std::optional<HttpAnswer> &answer) {
                           if (answer && answer->status == 200)
                               m_hostPause.reset();
                           else
                               m_nextHostWriting =
                                   bootTimeNow()
                                   + std::max(m_hostPause.next(), pauseAfterRefusedRow);
                       });
}

void StoreClient::hostsAnswered(const std::optional<HttpAnswer> &answer)
{
    m_listener->storeCallFinished("hosts", answer.has_value());
    if (!answer) {
        m_nextHostReading = bootTimeNow() + m_hostPause.next();
        return;
    }
    boost::leaf::try_handle_all(
        [&]() -> Base::Result<void> {
            BOOST_LEAF_AUTO(reading, m_protocol->hosts(*answer, hostRowFreshFor));
            if (m_storeTime == Base::Milliseconds(0))
                m_nextHostWriting = bootTimeNow() + firstHostWriteDelay;
            m_storeTime = reading.storeTime;
            m_storeTimeReadAt = bootTimeNow();
            m_hostPause.reset();
            m_listener->hostsRead(reading.hosts);
            m_nextHostPage = reading.continueFrom;
            m_hasReadHosts = m_nextHostPage.empty();
            return {};
        },
        [&] {
            m_log->write(LogLine("store.hosts_unread").add("status", answer->status),
                         bootTimeNow());
            m_nextHostReading = bootTimeNow() + m_hostPause.next();
        });
}

void StoreClient::logAvailabilityChange(bool &isGood, bool isGoodNow, const char *what,
                                        const char *why)
{
    if (std::exchange(isGood, isGoodNow) == isGoodNow)
        return;
    m_log->write(
        LogLine(isGoodNow ? "store.regained" : "store.lost").add("what", what).add("why", why),
        bootTimeNow());
}

} // namespace Gateway
