#include "gateway/storeclient.h"

#include "gateway/boottime.h"
#include "gateway/eventlog.h"

#include <algorithm>
#include <utility>

namespace Gateway {

namespace {

using std::chrono::milliseconds;

/// Beyond the wait: a store that is slowed down sixty times answers within 0.3 s.
constexpr Base::Duration watchSlack = milliseconds(600);
constexpr Base::Duration readTimeout = milliseconds(900);
/// After a first failure, and the longest pause after several. A store that is down for five
/// seconds gets eight calls of a host instead of forty; its return is noticed within a second.
constexpr Base::Duration retryPause = milliseconds(250);
constexpr Base::Duration longestPause = milliseconds(1000);
/// For a host that others wait for.
constexpr Base::Duration longestPauseForZone = milliseconds(500);
/// Between two calls of a host that the store turned away and others now read for.
constexpr Base::Duration probePause = milliseconds(2000);
/// A full reading now and then keeps the watched version within the store's history, which a
/// store keeps for some twenty seconds.
constexpr Base::Duration fullReadingInterval = std::chrono::seconds(8);
/// Rows of hosts are only for finding each other at a start; reports between hosts do the rest.
constexpr Base::Duration hostReadInterval = std::chrono::seconds(30);
constexpr Base::Duration firstHostReadInterval = std::chrono::seconds(1);
constexpr Base::Duration hostWriteInterval = std::chrono::seconds(20);
constexpr milliseconds hostRowFreshFor{45000};
/// From the first reading of rows to the first writing: whoever hears in this time from a host that
/// keeps its row need not write one. Hosts that start together read once more after that.
constexpr Base::Duration firstHostWriteDelay = milliseconds(500);
/// Until a host that keeps no rows looks again whether it is to.
constexpr Base::Duration hostWriteCheckInterval = std::chrono::seconds(1);
/// The store's limit for one transaction.
constexpr std::size_t mostRowsOfCall = 100;

} // namespace

StoreClient::StoreClient(boost::asio::io_context &io, const Settings::Address &address,
                         const StoreProtocol &protocol, const HostRow &self,
                         StoreListener &listener, EventLog &log)
    : m_protocol(&protocol)
    , m_self(self)
    , m_listener(&listener)
    , m_log(&log)
    , m_watchLane(std::make_shared<HttpLane>(io, address))
    , m_readLane(std::make_shared<HttpLane>(io, address))
    , m_watchPause(retryPause, longestPause)
    , m_readPause(retryPause, longestPause)
    , m_hostPause(retryPause, longestPause)
{}

void StoreClient::advance(Base::TimePoint now)
{
    m_watchLane->checkTime(now);
    m_readLane->checkTime(now);
    if (!m_isHeld && !m_watchLane->isBusy() && now >= m_nextWatch) {
        const bool isOld = isReading() && now >= m_nextFullReading;
        if (m_needsReading || isOld || (isLost() && !isReading()))
            readConfiguration(now);
        else if (isReading())
            watchConfiguration(now);
    }
    // While the store is lost one call tells when it is back. Trying the others beside it would
    // cost two to three times the calls of an outage, all paid for.
    if (m_readLane->isBusy() || (isLost() && !m_isLeaving))
        return;
    // After a failure they are read once more, so that this host may stand in again for the reader.
    const bool isAfterFailure = !m_isReadGood || m_areServersDoubtful;
    const bool isDue = isReading() || m_needsServers || isAfterFailure;
    if (!m_isHeld && now >= m_nextServers && isDue)
        readServers(now);
    else
        callForHosts(now);
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
    m_watchLane->call(m_protocol->readConfiguration(), readTimeout, now,
                      [this, now](const std::optional<HttpAnswer> &answer) {
                          configurationAnswered(answer, now, false);
                      });
}

void StoreClient::watchConfiguration(Base::TimePoint now)
{
    m_watchLane->call(m_protocol->watchConfiguration(m_readVersion, m_times.watchWait),
                      m_times.watchWait + watchSlack, now,
                      [this, now](const std::optional<HttpAnswer> &answer) {
                          configurationAnswered(answer, now, true);
                      });
}

void StoreClient::configurationAnswered(const std::optional<HttpAnswer> &answer,
                                        Base::TimePoint askedAt, bool isWatch)
{
    if (!answer) {
        configurationFailed("no answer", lossOf(m_isWatchGood));
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
            m_log->write(LogLine("configuration.history_gone").add("version", m_readVersion),
                         bootTimeNow());
        },
        [&](const StoreRefused &it) {
            m_log->write(LogLine("store.refused").add("status", it.status), bootTimeNow());
            configurationFailed("refused", Loss::Store);
        },
        [&](const MalformedStoreAnswer &it) {
            m_log->write(LogLine("store.malformed").add("what", it.what), bootTimeNow());
            configurationFailed("malformed", Loss::Store);
        },
        [&] { configurationFailed("unknown", Loss::Store); });
}

void StoreClient::takeConfiguration(const ConfigurationReading &reading, const std::string &text,
                                    Base::TimePoint askedAt, bool isWatch)
{
    m_listener->storeCallFinished("configuration", true);
    m_watchPause.reset();
    noteLane(m_isWatchGood, true, "configuration", "");
    // An older state than one already seen proves nothing and must not come into force.
    if (reading.storeVersion < m_newestVersion)
        return;
    m_newestVersion = reading.storeVersion;
    if (!isWatch) {
        m_readVersion = reading.storeVersion;
        m_needsReading = false;
        m_nextFullReading = askedAt + fullReadingInterval;
    } else if (reading.configuration) {
        // The change is known; watching on from before it would answer at once, again and again.
        m_readVersion = reading.storeVersion;
    }
    m_nextWatch = Base::TimePoint{};
    if (reading.configuration && reading.configuration->version > m_configurationVersion) {
        m_configurationVersion = reading.configuration->version;
        m_listener->configurationRead(Routing::RouteTable::create(*reading.configuration), text);
    }
    if (m_configurationVersion == 0) {
        // A host that others read for hears from them of the first configuration.
        m_needsReading = isReading();
        m_nextWatch = askedAt + retryPause;
        return;
    }
    m_listener->configurationConfirmed(askedAt);
}

void StoreClient::configurationFailed(const char *why, Loss loss)
{
    m_listener->storeCallFinished("configuration", false);
    noteLane(m_isWatchGood, false, "configuration", why);
    // A reading is answered at once where a watch is held: the store's return is noticed sooner.
    m_needsReading = m_needsReading || isReading();
    // All connections may break or fall silent while the store is well. Counted as an outage that
    // kept servers which had left for two seconds more, after this host was in touch again.
    if (loss == Loss::Connection) {
        m_nextWatch = Base::TimePoint{};
        return;
    }
    // An outage may be shorter than the time between two readings of the servers, and meet this
    // call only. Taken as gone at once, entries that lapsed in it would leave callers without
    // servers. That this host has lost the store may itself end its duty to read; the outage counts
    // all the same.
    m_areServersDoubtful = true;
    m_listener->storeFailed();
    const bool isProbe = !isReading() && !m_needsReading;
    m_nextWatch = bootTimeNow() + (isProbe ? probePause : pauseAfterFailure(m_watchPause));
}

Base::Duration StoreClient::pauseAfterFailure(Routing::ExponentialBackoff &pause) const
{
    return pause.next(m_duty == ReaderRole::ForZone ? longestPauseForZone : longestPause);
}

void StoreClient::readServers(Base::TimePoint now)
{
    if (m_continueFrom.empty()) {
        m_pages.clear();
        m_unreadablePages.clear();
    }
    m_readLane->call(
        m_protocol->readServers(m_continueFrom), readTimeout, now,
        [this, now](const std::optional<HttpAnswer> &answer) { serversAnswered(answer, now); });
}

void StoreClient::serversAnswered(const std::optional<HttpAnswer> &answer, Base::TimePoint askedAt)
{
    if (!answer) {
        serversFailed("no answer", lossOf(m_isReadGood));
        return;
    }
    boost::leaf::try_handle_all(
        [&]() -> Base::Result<void> {
            BOOST_LEAF_AUTO(reading, m_protocol->servers(*answer));
            m_nextServers = askedAt + m_times.serverInterval;
            m_listener->storeCallFinished("servers", true);
            m_readPause.reset();
            noteLane(m_isReadGood, true, "servers", "");
            if (reading.storeVersion < m_serversVersion) {
                m_continueFrom.clear();
                return {};
            }
            m_serversVersion = reading.storeVersion;
            m_pages.insert(m_pages.end(), reading.servers.begin(), reading.servers.end());
            m_unreadablePages.merge(std::set<std::string>(reading.unreadable));
            m_continueFrom = reading.continueFrom;
            if (!m_continueFrom.empty()) {
                m_nextServers = Base::TimePoint{};
                return {};
            }
            m_needsServers = false;
            m_areServersDoubtful = false;
            // Told once a change: the same entry is read again twice a second for as long as it
            // lies there.
            if (std::exchange(m_unreadable, m_unreadablePages) != m_unreadablePages)
                m_listener->unreadableEntriesChanged(m_unreadable);
            m_listener->serversRead(m_pages, askedAt);
            return {};
        },
        [&](const StoreRefused &) { serversFailed("refused", Loss::Store); },
        [&](const MalformedStoreAnswer &it) { serversFailed(it.what.c_str(), Loss::Store); },
        [&] { serversFailed("unknown", Loss::Store); });
}

void StoreClient::serversFailed(const char *why, Loss loss)
{
    m_listener->storeCallFinished("servers", false);
    noteLane(m_isReadGood, false, "servers", why);
    m_continueFrom.clear();
    if (loss == Loss::Connection) {
        m_nextServers = Base::TimePoint{};
        return;
    }
    const bool isProbe = !isReading() && !m_needsServers;
    m_nextServers = bootTimeNow() + (isProbe ? probePause : pauseAfterFailure(m_readPause));
    m_listener->storeFailed();
}

bool StoreClient::callForHosts(Base::TimePoint now)
{
    const auto done = [this](const std::optional<HttpAnswer> &answer) { hostsAnswered(answer); };
    if (m_isLeaving) {
        if (std::exchange(m_isRowRemoved, true))
            return false;
        m_readLane->call(m_protocol->removeHost(m_self.host), readTimeout, now,
                         [](const std::optional<HttpAnswer> &) {
                             // A row that stays behind is left out by its age.
                         });
        return true;
    }
    const bool isFirst = m_nextHostRead == Base::TimePoint{};
    // On a large fleet, who hears from the leader of its zone hears from it of all others, too.
    const bool findsHosts = isFirst || m_findsHosts || m_duty == ReaderRole::ForZone;
    if (now >= m_nextHostRead && findsHosts) {
        m_nextHostRead = now + (isFirst ? firstHostReadInterval : hostReadInterval);
        m_readLane->call(m_protocol->readHosts(), readTimeout, now, done);
        return true;
    }
    if (now < m_nextHostWrite || m_storeTime == Base::Milliseconds(0))
        return false;
    if (m_rowsToWrite.empty())
        m_rowsToWrite = m_listener->rowsToRefresh();
    if (m_rowsToWrite.empty()) {
        m_nextHostWrite = now + hostWriteCheckInterval;
        return false;
    }
    writeHosts(now);
    return true;
}

void StoreClient::writeHosts(Base::TimePoint now)
{
    const std::size_t n = std::min(m_rowsToWrite.size(), mostRowsOfCall);
    const std::vector<HostRow> rows(m_rowsToWrite.end() - static_cast<std::ptrdiff_t>(n),
                                    m_rowsToWrite.end());
    m_rowsToWrite.resize(m_rowsToWrite.size() - n);
    if (m_rowsToWrite.empty())
        m_nextHostWrite = now + hostWriteInterval;
    const Base::Milliseconds storeNow =
        m_storeTime + std::chrono::duration_cast<milliseconds>(now - m_storeTimeAt);
    m_readLane->call(m_protocol->writeHosts(rows, storeNow), readTimeout, now,
                     [this](const std::optional<HttpAnswer> &answer) {
                         if (!answer || answer->status != 200)
                             m_nextHostWrite = bootTimeNow() + m_hostPause.next();
                         else
                             m_hostPause.reset();
                     });
}

void StoreClient::hostsAnswered(const std::optional<HttpAnswer> &answer)
{
    m_listener->storeCallFinished("hosts", answer.has_value());
    if (!answer) {
        m_nextHostRead = bootTimeNow() + m_hostPause.next();
        return;
    }
    boost::leaf::try_handle_all(
        [&]() -> Base::Result<void> {
            BOOST_LEAF_AUTO(reading, m_protocol->hosts(*answer, hostRowFreshFor));
            if (m_storeTime == Base::Milliseconds(0))
                m_nextHostWrite = bootTimeNow() + firstHostWriteDelay;
            m_storeTime = reading.storeTime;
            m_storeTimeAt = bootTimeNow();
            m_hostPause.reset();
            m_listener->hostsRead(reading.hosts);
            return {};
        },
        [&] {
            m_log->write(LogLine("store.hosts_unread").add("status", answer->status),
                         bootTimeNow());
            m_nextHostRead = bootTimeNow() + m_hostPause.next();
        });
}

void StoreClient::noteLane(bool &isGood, bool isGoodNow, const char *what, const char *why)
{
    if (std::exchange(isGood, isGoodNow) == isGoodNow)
        return;
    m_log->write(
        LogLine(isGoodNow ? "store.regained" : "store.lost").add("what", what).add("why", why),
        bootTimeNow());
}

} // namespace Gateway
